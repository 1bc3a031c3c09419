"""Room that an endpoint keeps free for interactive calls."""

import datetime
import math

IDLE = datetime.timedelta(seconds=10)
"""Time without interactive calls after which no room is kept."""

WEIGHT = 0.02
"""Weight of the newest sample in the moving average."""

BURST = 2.0
"""Standard deviations of interactive work that room is kept for."""

MAX_SHARE = 0.5
"""At most this share of the endpoint is kept free."""


class InteractiveReservation:
    """Follows how many interactive calls run at once.

    Entries see an endpoint's load late, and each only its own calls; the
    agent is the one place where the last free slot can be kept.
    """

    def __init__(self, *, capacity: int) -> None:
        self.running = 0
        self._capacity = capacity
        self._mean = 0.0
        self._last: datetime.datetime | None = None

    def started(self, now: datetime.datetime) -> None:
        """An interactive call was accepted."""
        self._mean += (self.running - self._mean) * WEIGHT
        self.running += 1
        self._last = now

    def ended(self) -> None:
        """An interactive call ended."""
        self.running -= 1

    def max_other_calls(self, now: datetime.datetime) -> int | None:
        """Return how many other calls may run, None for no bound."""
        if self._last is None or now > self._last + IDLE:
            return None
        wanted = self._mean + BURST * math.sqrt(self._mean)
        room = min(max(1, math.ceil(wanted)), int(self._capacity * MAX_SHARE))
        return self._capacity - room
