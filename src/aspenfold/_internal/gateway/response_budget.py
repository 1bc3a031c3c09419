"""Bounds the memory that buffered responses take in a gateway.

A response is kept until its caller has it.  When all together have their
share of the memory, reading pauses, so that endpoints wait; only the response
that was begun first goes on, as its end makes room for the others.

This module does no I/O.
"""

import asyncio
import itertools

MEMORY_RATIO = 0.15
"""Part of a process's memory for buffered responses.  While one is written
to its caller there is a second copy of it."""

SMALL_RESPONSE_BYTES = 16_384

LARGE_RESPONSES_RATIO = 0.9
"""Part of the room for larger responses.  They leave the rest to small ones,
of which there are more."""


class ResponseBudget:
    """The bytes that responses hold, ``held`` of ``limit``."""

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self._numbers = itertools.count()
        # The sizes of holds by their numbers, in the order of their begin.
        self._sizes: dict[int, int] = {}
        self._waiting: set[asyncio.Future[None]] = set()

    def open(self) -> 'ResponseHold':
        """Return a hold of no bytes, for one response."""
        return ResponseHold(budget=self, number=next(self._numbers))

    async def grow(self, number: int, size: int) -> None:
        """Wait until there is room for ``size`` more bytes of a hold."""
        self._sizes.setdefault(number, 0)
        while not self._has_room(number, size):
            waiter = asyncio.get_running_loop().create_future()
            self._waiting.add(waiter)
            try:
                await waiter
            finally:
                self._waiting.discard(waiter)
        self._sizes[number] += size
        self.held += size

    def _has_room(self, number: int, size: int) -> bool:
        if number == next(iter(self._sizes)):
            return True
        limit = float(self.limit)
        if self._sizes[number] + size > SMALL_RESPONSE_BYTES:
            limit *= LARGE_RESPONSES_RATIO
        return self.held + size <= limit

    def close(self, number: int) -> None:
        """Give back what a hold has."""
        self.held -= self._sizes.pop(number, 0)
        for waiter in self._waiting:
            if not waiter.done():
                waiter.set_result(None)


class ResponseHold:
    """What one response takes of the budget."""

    def __init__(self, *, budget: ResponseBudget, number: int) -> None:
        self._budget = budget
        self._number = number

    async def grow(self, size: int) -> None:
        """Wait for room and take ``size`` more bytes."""
        await self._budget.grow(self._number, size)

    def close(self) -> None:
        """Give back all; further calls have no effect."""
        self._budget.close(self._number)


def for_memory(memory_bytes: int) -> ResponseBudget:
    """Return the budget of a process with so much memory."""
    return ResponseBudget(limit=int(memory_bytes * MEMORY_RATIO))
