"""Whether the group of ranks behind a service runs, and who waits for it.

A group stands still while any of its ranks is away, and refuses all that
is sent.  A caller that is refused comes back once; if the group still
stands, its request is lost.  So a request may wait here a while, where
that gives it a chance, and is refused at once where it does not.

Decisions only, but for the wait itself.
"""

import asyncio
import datetime

from aspenfold._internal.gateway import admission
from aspenfold._internal.gateway import plan

MIN_FIRST_EVENT_TIMEOUT = datetime.timedelta(seconds=2)
"""Callers leave a stream that shows no event for so long, or for
``OBJECTIVES_OF_PATIENCE`` objectives or ``PAUSES_OF_PATIENCE`` pauses,
whichever is longest; from the platform's pages."""

TIMEOUT_OBJECTIVES = 4

TIMEOUT_PAUSE_OBJECTIVES = 8

FIRST_EVENT_MARGIN = datetime.timedelta(milliseconds=500)
"""Kept of a caller's patience for the first event, which a group that
has just opened gives within 0.2 to 0.5 s."""

EXPECTED_OUTAGE_DURATION = datetime.timedelta(milliseconds=4700)
"""From the first refusal to the group's next pass.  Hosts and links come
back after 4.5 to 6.5 s by the users' lists of trouble; a group forms
0.6 s later, and refuses only from 1.5 s after the fault on."""

EXPECTED_OUTAGE_MARGIN = datetime.timedelta(milliseconds=300)
"""What the expectation may be off."""

RETRY_DELAY_DIVISOR = 3
"""Callers come back after at most this part of the time they have."""

REFUSAL_TIMEOUT = datetime.timedelta(milliseconds=100)
"""A group that stands refuses within some 10 ms, so that a request that
is not refused for so long was taken."""

RECOVERY_UPDATE_DURATION = datetime.timedelta(seconds=1)
"""How long other gateways are told that a group runs again."""

NO_WAIT = datetime.timedelta(0)


def first_event_timeout(route: plan.Route) -> datetime.timedelta:
    """Return how long a caller waits for a stream's first event."""
    return max(
        MIN_FIRST_EVENT_TIMEOUT,
        TIMEOUT_OBJECTIVES * route.objective,
        TIMEOUT_PAUSE_OBJECTIVES * route.pause_objective,
    )


def max_wait(route: plan.Route, age: datetime.timedelta) -> datetime.timedelta:
    """Return how long a request of this ``age`` may wait and be served."""
    rest = first_event_timeout(route) - FIRST_EVENT_MARGIN - age
    return max(NO_WAIT, rest)


def retry_wait(
    remaining: datetime.timedelta, longest: datetime.timedelta
) -> datetime.timedelta:
    """Return the wait of a request that will not come back again."""
    if remaining > longest + EXPECTED_OUTAGE_MARGIN:
        return NO_WAIT
    return longest


def first_request_wait(
    remaining: datetime.timedelta,
    longest: datetime.timedelta,
    left: datetime.timedelta,
    second: datetime.timedelta,
) -> datetime.timedelta:
    """Return the wait of a request that will come back once.

    ``left`` is the time to its deadline, ``second`` the longest wait of
    its return.  It waits only as long as it needs for its return to meet
    the group's opening, and not at all where that cannot be.
    """
    need = remaining + EXPECTED_OUTAGE_MARGIN
    reach = left / RETRY_DELAY_DIVISOR + second
    if need <= reach:
        return NO_WAIT
    # Each second of waiting takes a third of a second off the return.
    wait = (need - reach) * RETRY_DELAY_DIVISOR / (RETRY_DELAY_DIVISOR - 1)
    return wait if wait <= longest else NO_WAIT


class Outage:
    """What this gateway knows of one group that may stand still."""

    def __init__(self) -> None:
        self._opened = asyncio.Event()
        self._opened.set()
        self.began_at: datetime.datetime | None = None
        self.ended_at: datetime.datetime | None = None

    @property
    def is_ongoing(self) -> bool:
        """Whether the group is known to stand still."""
        return self.began_at is not None

    def remaining(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long it will last, as far as can be expected."""
        if self.began_at is None:
            return NO_WAIT
        return max(NO_WAIT, EXPECTED_OUTAGE_DURATION - (now - self.began_at))

    def record_refusal(self, now: datetime.datetime) -> bool:
        """The group refused a request; return whether that is news."""
        if self.began_at is not None:
            return False
        self.began_at = now
        self._opened.clear()
        return True

    def record_recovery(
        self, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """The group took a request; return how long it stood, if it did."""
        if self.began_at is None:
            return None
        stood = now - self.began_at
        self.began_at = None
        self.ended_at = now
        self._opened.set()
        return stood

    def record_peer_recovery(
        self, age: datetime.timedelta, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """A peer says that the group ran ``age`` ago; as :meth:`runs`."""
        if self.began_at is None or now - age < self.began_at:
            return None
        return self.record_recovery(now)

    def recent_recovery_age(
        self, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return how long ago it ended, if others should be told."""
        age = self.recovery_age(now)
        return (
            age
            if age is not None and age <= RECOVERY_UPDATE_DURATION
            else None
        )

    def recovery_age(
        self, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return how long ago the last one ended, None in one or before."""
        if self.ended_at is None or self.began_at is not None:
            return None
        return now - self.ended_at

    def wait_limit(
        self,
        route: plan.Route,
        *,
        age: datetime.timedelta,
        left: datetime.timedelta,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return how long a request may wait; ``left`` to its deadline."""
        if self.began_at is None or route.kind is not plan.Kind.STREAMING:
            return NO_WAIT
        longest = max_wait(route, age)
        remaining = self.remaining(now)
        if admission.is_retry(route, left + age):
            return retry_wait(remaining, longest)
        second = max_wait(route, NO_WAIT)
        return first_request_wait(remaining, longest, left, second)

    async def wait(self, limit: datetime.timedelta) -> bool:
        """Wait for the group to run; return whether it does."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._opened.wait()
        except TimeoutError:
            return False
        return True
