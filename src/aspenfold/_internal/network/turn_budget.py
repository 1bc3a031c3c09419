"""Bounds what a server parses before the event loop's other tasks run."""

import asyncio
import collections
from collections import abc

LIMIT = 65_536
"""Cost of one turn: some fifty ordinary requests, or four of the largest
heads, which take tens of milliseconds."""

EVENT_COST = 256
"""Cost of what the parser finds beside heads, as a chunk of a body.  A head
costs its bytes."""


class TurnBudget:
    """What is left in this turn of the loop, for all connections together."""

    def __init__(self) -> None:
        self._left = LIMIT
        self._waiting: collections.deque[abc.Callable[[], None]] = (
            collections.deque()
        )
        self._scheduled = False

    @property
    def is_spent(self) -> bool:
        """Whether no more should be parsed in this turn."""
        return self._left <= 0

    def spend(self, cost: int) -> None:
        """Take the cost of what was parsed."""
        self._left -= cost
        self._schedule()

    def wait(self, go_on: abc.Callable[[], None]) -> None:
        """Call ``go_on`` in a later turn, after those that already wait."""
        self._waiting.append(go_on)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._scheduled = False
        self._left = LIMIT
        while self._waiting and not self.is_spent:
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()
