"""Tracks the outage of one group of ranks and limits waits for its end.

A group is unavailable while any of its ranks is missing, and refuses all
requests.  A caller that is refused retries once; if the group is still
unavailable then, its request fails.  A request therefore waits in the
gateway if that lets it or its retry meet the recovery, and is otherwise
refused immediately.
"""

import asyncio
import datetime

from aspenfold._internal.gateway import admission
from aspenfold._internal.gateway import plan

MIN_FIRST_EVENT_TIMEOUT = datetime.timedelta(seconds=2)
"""Callers give up on a stream without a first event after this time, or
after ``TIMEOUT_OBJECTIVES`` times the route's objective or
``TIMEOUT_PAUSE_OBJECTIVES`` times its pause objective, whichever is
longest."""

TIMEOUT_OBJECTIVES = 4

TIMEOUT_PAUSE_OBJECTIVES = 8

FIRST_EVENT_MARGIN = datetime.timedelta(milliseconds=500)
"""Time that a group needs for a first event after its recovery, which takes
0.2 to 0.5 s."""

EXPECTED_OUTAGE_DURATION = datetime.timedelta(milliseconds=4700)
"""Time from the first refusal to the group's next pass.  Hosts and links come
back after 4.5 to 6.5 s; a group forms 0.6 s later and refuses only from 1.5 s
after the fault on."""

EXPECTED_OUTAGE_MARGIN = datetime.timedelta(milliseconds=300)
"""Time by which an outage may exceed EXPECTED_OUTAGE_DURATION."""

RETRY_DELAY_DIVISOR = 3
"""Callers retry after at most their remaining time divided by this."""

REFUSAL_TIMEOUT = datetime.timedelta(milliseconds=100)
"""A request that was not refused within this time was accepted: an
unavailable group refuses within some 10 ms."""

RECOVERY_UPDATE_DURATION = datetime.timedelta(seconds=1)
"""How long peer updates report a recovery."""

NO_WAIT = datetime.timedelta(0)


def first_event_timeout(route: plan.Route) -> datetime.timedelta:
    """Return how long a caller of a route waits for the first event."""
    return max(
        MIN_FIRST_EVENT_TIMEOUT,
        TIMEOUT_OBJECTIVES * route.objective,
        TIMEOUT_PAUSE_OBJECTIVES * route.pause_objective,
    )


def max_wait(route: plan.Route, age: datetime.timedelta) -> datetime.timedelta:
    """Return how long a request may wait and still be served.

    ``age`` is the time since the request was read.
    """
    available = first_event_timeout(route) - FIRST_EVENT_MARGIN - age
    return max(NO_WAIT, available)


def retry_wait(
    time_to_recovery: datetime.timedelta, limit: datetime.timedelta
) -> datetime.timedelta:
    """Return how long a retry waits; its caller does not retry again.

    ``time_to_recovery`` is an estimate, ``limit`` the longest wait that is
    useful.
    """
    if time_to_recovery > limit + EXPECTED_OUTAGE_MARGIN:
        return NO_WAIT
    return limit


def first_request_wait(
    time_to_recovery: datetime.timedelta,
    limit: datetime.timedelta,
    remaining: datetime.timedelta,
    retry_limit: datetime.timedelta,
) -> datetime.timedelta:
    """Return how long a first request waits; its caller retries once.

    ``time_to_recovery`` is an estimate, ``limit`` the longest wait that is
    useful, ``remaining`` the time to the deadline and ``retry_limit`` the
    longest wait of the retry.  The request waits only as long as needed
    for its retry to meet the recovery, and not at all if no wait achieves
    that.
    """
    needed = time_to_recovery + EXPECTED_OUTAGE_MARGIN
    reachable = remaining / RETRY_DELAY_DIVISOR + retry_limit
    if needed <= reachable:
        return NO_WAIT
    # A wait shortens the delay of the retry by a third of its length.
    wait = (
        (needed - reachable) * RETRY_DELAY_DIVISOR / (RETRY_DELAY_DIVISOR - 1)
    )
    return wait if wait <= limit else NO_WAIT


class Outage:
    """The current or latest outage of one group, as seen by this gateway."""

    def __init__(self) -> None:
        self._recovered = asyncio.Event()
        self._recovered.set()
        self.began_at: datetime.datetime | None = None
        self.ended_at: datetime.datetime | None = None

    @property
    def is_ongoing(self) -> bool:
        """Whether the group is known to be unavailable."""
        return self.began_at is not None

    def time_to_recovery(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the expected time to the recovery, zero if it is overdue."""
        if self.began_at is None:
            return NO_WAIT
        return max(NO_WAIT, EXPECTED_OUTAGE_DURATION - (now - self.began_at))

    def record_refusal(self, now: datetime.datetime) -> bool:
        """Record that the group refused a request.

        Return whether this started an outage.
        """
        if self.began_at is not None:
            return False
        self.began_at = now
        self._recovered.clear()
        return True

    def record_recovery(
        self, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Record that the group accepted a request.

        Return the outage's duration, None if there was no outage.
        """
        if self.began_at is None:
            return None
        duration = now - self.began_at
        self.began_at = None
        self.ended_at = now
        self._recovered.set()
        return duration

    def record_peer_recovery(
        self, age: datetime.timedelta, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Record a recovery that a peer saw ``age`` ago.

        It is ignored if it is older than the outage.  Return the same as
        :meth:`record_recovery`.
        """
        if self.began_at is None or now - age < self.began_at:
            return None
        return self.record_recovery(now)

    def recent_recovery_age(
        self, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return the age of the recovery, None once it is not reported."""
        age = self.recovery_age(now)
        return (
            age
            if age is not None and age <= RECOVERY_UPDATE_DURATION
            else None
        )

    def recovery_age(
        self, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return the time since the latest outage ended.

        Return None during an outage and before the first one.
        """
        if self.ended_at is None or self.began_at is not None:
            return None
        return now - self.ended_at

    def wait_limit(
        self,
        route: plan.Route,
        *,
        age: datetime.timedelta,
        remaining: datetime.timedelta,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return how long a request may wait for the recovery.

        ``age`` is the time since the request was read, ``remaining`` the
        time to its deadline.  Only streams wait.
        """
        if self.began_at is None or route.kind is not plan.Kind.STREAMING:
            return NO_WAIT
        limit = max_wait(route, age)
        time_to_recovery = self.time_to_recovery(now)
        if admission.is_retry(route, remaining + age):
            return retry_wait(time_to_recovery, limit)
        retry_limit = max_wait(route, NO_WAIT)
        return first_request_wait(
            time_to_recovery, limit, remaining, retry_limit
        )

    async def wait_for_recovery(self, limit: datetime.timedelta) -> bool:
        """Wait for the recovery; return False if ``limit`` passed first."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._recovered.wait()
        except TimeoutError:
            return False
        return True
