"""Decides whether to refuse a new stream when a group has no free slots.

All ranks of a group advance together and each runs a limited number of
requests at once.  A request sent while every slot is in use is queued at
a rank and delays those behind it.  If it is refused immediately, its
caller retries once, usually when slots are free again.

Retries are never refused here, because their callers do not retry again.
"""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import plan

RETRY_TIME_FRACTION = 0.85
"""A request with less than this fraction of the route's timeout left is a
retry; a first request has all of it."""

FULL_PRESSURE = 1.0
"""Pressure of the least loaded rank at which a new stream has to wait for
a slot."""

BACKLOG_DURATION = datetime.timedelta(milliseconds=2700)
"""Time after a recovery in which callers that were refused retry: they
wait for at most a third of their timeout, which is 8 s."""

BACKLOG_PRESSURE = 0.6
"""Mean pressure of the ranks at which first requests are refused to keep
slots for retries."""


def is_retry(route: plan.Route, remaining: datetime.timedelta) -> bool:
    """Return whether a request was probably refused before.

    ``remaining`` is the time to its deadline when it was read.
    """
    return remaining < RETRY_TIME_FRACTION * route.timeout


def is_full(endpoints: abc.Iterable[directory.Endpoint]) -> bool:
    """Return whether all endpoints are at FULL_PRESSURE or above."""
    return all(e.pressure >= FULL_PRESSURE for e in endpoints)


def has_backlog(
    endpoints: abc.Sequence[directory.Endpoint],
    time_since_recovery: datetime.timedelta | None,
) -> bool:
    """Return whether a group still works off the backlog of an outage.

    ``time_since_recovery`` is None if there was no outage.  A first
    request that is refused can be served when it is retried; sent now, it
    would also delay requests that cannot be.
    """
    if time_since_recovery is None or time_since_recovery > BACKLOG_DURATION:
        return False
    total_pressure = sum(e.pressure for e in endpoints)
    return total_pressure >= BACKLOG_PRESSURE * len(endpoints)


def should_refuse(
    route: plan.Route,
    remaining: datetime.timedelta,
    endpoints: abc.Sequence[directory.Endpoint],
    time_since_recovery: datetime.timedelta | None = None,
) -> bool:
    """Return whether a request should be refused and retried later.

    Only first requests of streams are refused.  ``remaining`` is the time
    to the request's deadline, ``endpoints`` are the ranks that it could be
    sent to, and ``time_since_recovery`` is as in :func:`has_backlog`.
    """
    if route.kind is not plan.Kind.STREAMING or not endpoints:
        return False
    if is_retry(route, remaining):
        return False
    return is_full(endpoints) or has_backlog(endpoints, time_since_recovery)
