"""Bounds the memory that the bodies of requests take in a gateway.

A body is kept from its first byte to the end of its response, as another
attempt may need it.  If most callers come to one gateway, their bodies may be
more than its memory; a request that has no room is refused before it is read,
so that its caller can go to another gateway at once.

This module only makes decisions: it does no I/O.
"""

MEMORY_RATIO = 0.3
"""Part of a process's memory for bodies.  While one is sent to an endpoint
there is a second copy of it, and for a moment a third."""

INPUT_RATIO = 0.1
"""Part of a process's memory for heads, and for what callers send before it
is its turn."""

SMALL_BODY_BYTES = 16_384

LARGE_BODIES_RATIO = 0.9
"""Part of the room for larger bodies.  They leave the rest to small ones, of
which there are more."""


class BodyBudget:
    """The bytes that requests have reserved, ``held`` of ``limit``."""

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.held = 0

    def reserve(self, size: int, *, total: int) -> bool:
        """Reserve ``size`` bytes for a body that has ``total`` so far.

        Return False if there is no room.
        """
        limit = float(self.limit)
        if total > SMALL_BODY_BYTES:
            limit *= LARGE_BODIES_RATIO
        if self.held + size > limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Give back what was reserved."""
        self.held -= size


def for_memory(memory_bytes: int) -> BodyBudget:
    """Return the budget for bodies of a process with so much memory."""
    return BodyBudget(limit=int(memory_bytes * MEMORY_RATIO))


def for_input(memory_bytes: int) -> BodyBudget:
    """Return the budget for heads and for what callers send early."""
    return BodyBudget(limit=int(memory_bytes * INPUT_RATIO))
