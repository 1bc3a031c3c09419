"""Slots of an endpoint that are reserved for interactive calls."""

import datetime
import math

RESERVATION_TIMEOUT = datetime.timedelta(seconds=10)
"""How long slots are reserved after an interactive call started."""

MOVING_AVERAGE_WEIGHT = 0.02
"""Weight of the newest sample in the mean of running interactive calls."""

RESERVED_STANDARD_DEVIATIONS = 2.0
"""Slots beyond the mean, in standard deviations of a Poisson load."""

MAX_RESERVED_FRACTION = 0.5
"""Largest fraction of the endpoint's capacity that is reserved."""


class InteractiveReservation:
    """Reserves slots by the mean number of running interactive calls.

    Only the agent can do this: an entry learns the endpoint's load late
    and sees only its own calls.
    """

    def __init__(self, *, capacity: int) -> None:
        self.running = 0
        self._capacity = capacity
        self._mean = 0.0
        self._last_started_at: datetime.datetime | None = None

    def on_started(self, now: datetime.datetime) -> None:
        """Record that an interactive call was accepted at ``now``."""
        self._mean += (self.running - self._mean) * MOVING_AVERAGE_WEIGHT
        self.running += 1
        self._last_started_at = now

    def on_ended(self) -> None:
        """Record that an interactive call ended."""
        self.running -= 1

    def max_other_calls(self, now: datetime.datetime) -> int | None:
        """Return how many other calls may run, None for no limit."""
        if (
            self._last_started_at is None
            or now > self._last_started_at + RESERVATION_TIMEOUT
        ):
            return None
        wanted = self._mean + RESERVED_STANDARD_DEVIATIONS * math.sqrt(
            self._mean
        )
        reserved = min(
            max(1, math.ceil(wanted)),
            int(self._capacity * MAX_RESERVED_FRACTION),
        )
        return self._capacity - reserved
