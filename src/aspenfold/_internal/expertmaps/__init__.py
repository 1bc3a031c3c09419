"""One expert map in each step of a lock-step group; no I/O here.

The agent of a group's first rank is its leader.  It grants steps in
runs: "steps s to e use map v, under ballot b".  A rank's engine
executes no step without a grant.

Why no step is ever executed with two maps: a step number is granted
under one ballot only, and one ballot's leader grants it once.  A new
leader takes a higher ballot, has *every* rank promise to heed nothing
lower and say up to which step its engine was ever granted, and begins
beyond that by more than what earlier leaders may have granted to a rank
that is lost since.  Engines forget the grants that they have not
finished; a collective with a lost rank has to be aborted in any case.
So it does not matter whether an engine checks fencing numbers, nor
when a paused process sends an old order: its numbers are used up.
"""
