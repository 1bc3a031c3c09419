"""One expert map in each step of a lock-step group; no I/O here.

The agent of a group's first rank is its leader.  It grants steps in
runs: "steps s to e use map v, under ballot b".  A rank executes no step
without a grant.  A new leader takes a higher ballot, has *every* rank
promise to heed nothing lower and report its grants, grants those again,
and goes on past any step that a lost rank alone may have been granted.
"""
