"""HTTP statuses and Retry-After delays of failed requests."""

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
    Code.ENDPOINTS_AT_LIMIT: 503,
    Code.ENDPOINTS_BACKED_OFF: 503,
    Code.QUARANTINED: 503,
    Code.NO_MEMORY: 503,
    Code.DRAINING: 503,
    Code.GROUP_DOWN: 503,
    Code.CONDITION_NOT_MET: 421,
    Code.ENDPOINT_LOST: 502,
    Code.FATE_UNKNOWN: 504,
}
"""HTTP status by result code.  Of these, only 421 and 503 promise that the
request has not run."""

RETRY_AFTER: dict[Code, datetime.timedelta] = {
    # A new process reads the first plan within milliseconds.
    Code.NO_FLEET: datetime.timedelta(milliseconds=500),
    # The list of endpoints is polled every 0.9 s.
    Code.NO_ENDPOINT: datetime.timedelta(seconds=1),
    Code.OVERLOADED: datetime.timedelta(milliseconds=250),
    # Streams take 1 to 3 s, after which a slot is free.
    Code.NO_PLACE: datetime.timedelta(seconds=2),
    # Long enough that the limit in retry_after() applies.
    Code.GROUP_DOWN: datetime.timedelta(seconds=10),
    # Another process accepts the next connection.
    Code.DRAINING: datetime.timedelta(milliseconds=50),
    Code.NO_MEMORY: datetime.timedelta(milliseconds=50),
}
"""Delay after which a retry can succeed, by result code."""


def status(code: Code) -> int:
    """Return the HTTP status of a result code."""
    return HTTP_STATUS[code]


def retry_after(
    delay: datetime.timedelta | None, remaining: datetime.timedelta
) -> datetime.timedelta | None:
    """Return the Retry-After delay for a retry that can succeed later.

    ``remaining`` is the time to the request's deadline.  The delay is at
    most a third of it, because callers wait no longer than that.
    """
    if delay is None:
        return None
    return max(datetime.timedelta(0), min(delay, remaining / 3))


def body(failure: exceptions.Failure) -> bytes:
    """Return the text of a response to a request that failed."""
    return f'[{int(failure.code)}] {failure.detail}\n'.encode()


def retry_after_headers(
    delay: datetime.timedelta | None,
) -> list[tuple[bytes, bytes]]:
    """Return the header that asks for a delay, none without one."""
    if delay is None:
        return []
    return [(b'retry-after', f'{delay.total_seconds():.3f}'.encode())]
