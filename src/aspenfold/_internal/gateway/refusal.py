"""What a caller is told when its request has not run."""

import datetime

from aspenfold._internal import exceptions

Code = exceptions.Code

HTTP_STATUS: dict[Code, int] = {
    Code.UNKNOWN_SERVICE: 404,
    Code.UNAUTHENTICATED: 401,
    Code.NO_FLEET: 503,
    Code.NO_ENDPOINT: 503,
    Code.OVERLOADED: 503,
    Code.NO_PLACE: 503,
    Code.DRAINING: 503,
    Code.GROUP_DOWN: 503,
    Code.ENDPOINT_LOST: 502,
    Code.FATE_UNKNOWN: 504,
}
"""HTTP status by code.  Only 503 promises that the request has not run."""

RETRY_AFTER: dict[Code, datetime.timedelta] = {
    # The first plan is read within some milliseconds of a start.
    Code.NO_FLEET: datetime.timedelta(milliseconds=500),
    # The list is read every 0.9 s.
    Code.NO_ENDPOINT: datetime.timedelta(seconds=1),
    # About as long as one request in six takes to end.
    Code.OVERLOADED: datetime.timedelta(milliseconds=250),
    # Streams take 1 to 3 s, so that a place is free again.
    Code.NO_PLACE: datetime.timedelta(seconds=2),
    # A group forms anew some seconds after its rank is back: more than
    # the third of their time that callers wait.
    Code.GROUP_DOWN: datetime.timedelta(seconds=10),
    # Another process takes the next connection.
    Code.DRAINING: datetime.timedelta(milliseconds=50),
}
"""When a refused caller may come back with a chance to be served."""


def status(code: Code) -> int:
    """Return the HTTP status of a code."""
    return HTTP_STATUS[code]


def retry_after(
    code: Code, left: datetime.timedelta
) -> datetime.timedelta | None:
    """Return when to come back; ``left`` is what the caller still waits.

    Callers follow it only up to a third of the time that they have.
    """
    wait = RETRY_AFTER.get(code)
    if wait is None:
        return None
    return max(datetime.timedelta(0), min(wait, left / 3))
