"""Expert maps: planning them, and the protocols that switch them.

In :mod:`.leader_machine`, :mod:`.rank_machine` and :mod:`.messages`, the
agent of a group's first rank is its leader.  It grants the ranks runs of
steps: "steps s to e use map v, under ballot b".  An engine executes no
step that it was not granted.

No step is executed with two maps, because each step number is granted at
most once.  A ballot has one leader, which grants each step once.  A new
leader takes a higher ballot, and *every* rank must promise to ignore lower
ones and report the last step that its engine was ever granted.  The new
leader starts after the highest of these steps, by a margin that covers
steps granted only to a rank that has been lost since.  Engines forget
unfinished grants; a collective with a lost rank has to be aborted in any
case.  This holds even if an engine does not check fencing tokens, or if a
paused process sends an old order: the step numbers in it are used up.

:mod:`.map_switch` and :mod:`.rank_protocol` are for engines that keep maps
themselves and switch at a pass that an order names.

Nothing here does I/O.
"""
