"""Whether a new stream is better refused than queued at a full group.

All ranks of a group advance together and each takes a number of requests
at once.  Where all places of all ranks are taken, a request that is sent
waits there, is late, and holds up those behind it.  Refused at once it
comes back a while later, mostly to free places.

A caller that came back is never refused here: it asks only once more.
"""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import plan

RETRY_TIME_FRACTION = 0.85
"""A caller that has less than this of the route's time left has asked
before; a first request has all of it."""

FULL_PRESSURE = 1.0
"""Work of the least loaded rank over its places, from which on a new
stream would wait for a place."""


BACKLOG_DURATION = datetime.timedelta(milliseconds=2700)
"""After a group runs again, those who were refused come back for so
long: callers return after a third of their time at most, of 8 s."""

BACKLOG_PRESSURE = 0.6
"""Mean work of the ranks over their places, from which on a first stream
leaves room for those.  Over one half, under which nobody is refused."""


def is_retry(route: plan.Route, left: datetime.timedelta) -> bool:
    """Return whether a request with ``left`` to go was refused before."""
    return left < RETRY_TIME_FRACTION * route.timeout


def is_full(endpoints: abc.Iterable[directory.Endpoint]) -> bool:
    """Return whether no endpoint has a place free."""
    return all(e.pressure >= FULL_PRESSURE for e in endpoints)


def has_backlog(
    endpoints: abc.Sequence[directory.Endpoint],
    since_outage: datetime.timedelta | None,
) -> bool:
    """Return whether a group has a backlog, ``since_outage`` after one.

    A first request is served in time when it comes back; sent on now it
    would be late, and with it those who have no other try.
    """
    if since_outage is None or since_outage > BACKLOG_DURATION:
        return False
    work = sum(e.pressure for e in endpoints)
    return work >= BACKLOG_PRESSURE * len(endpoints)


def should_refuse(
    route: plan.Route,
    left: datetime.timedelta,
    endpoints: abc.Sequence[directory.Endpoint],
    since_outage: datetime.timedelta | None = None,
) -> bool:
    """Return whether a stream is to come back later.

    ``endpoints`` are the ranks that it could be sent to.
    """
    if route.kind is not plan.Kind.STREAMING or not endpoints:
        return False
    if is_retry(route, left):
        return False
    return is_full(endpoints) or has_backlog(endpoints, since_outage)
