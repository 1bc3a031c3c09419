"""Calls JSON services over HTTP with urllib3."""

from collections import abc
import time
import typing

import orjson
import urllib3

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0

MAX_RESPONSE_BYTES = 16_777_216
"""Size limit of a response's body."""

READ_SIZE_BYTES = 65_536

NO_RETRY = urllib3.Retry(0, redirect=0)


def connection_pool(
    base_url: str, *, size: int = 4
) -> urllib3.HTTPConnectionPool:
    """Return a pool without retries that keeps ``size`` connections."""
    return urllib3.connection_from_url(
        base_url,
        maxsize=size,
        retries=NO_RETRY,
        timeout=urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
        ),
    )


class ServiceError(Exception):
    """The service gave no response, an error status or an invalid body.

    ``sent`` is False only if the request cannot have reached it.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ResponseTooLong(urllib3.exceptions.HTTPError):
    """A body was larger, or took longer, than allowed."""


def read_parts(
    response: urllib3.BaseHTTPResponse,
    *,
    timeout_s: float,
    size: int = READ_SIZE_BYTES,
) -> abc.Iterator[bytes]:
    """Yield a body in parts of up to ``size`` bytes.

    Raises ResponseTooLong, after which the connection is closed, if there are
    more than MAX_RESPONSE_BYTES or they took longer than ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    received = 0
    try:
        for part in response.stream(size, decode_content=True):
            received += len(part)
            if received > MAX_RESPONSE_BYTES:
                raise ResponseTooLong(f'over {MAX_RESPONSE_BYTES} bytes')
            if time.monotonic() > deadline:
                raise ResponseTooLong(f'over {timeout_s} s')
            yield part
    except Exception:
        response.close()
        raise
    response.release_conn()


def call_json(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    *,
    body: object = None,
    read_timeout: float = READ_TIMEOUT_S,
    headers: dict[str, str] | None = None,
) -> typing.Any:
    """Send a request and return the decoded JSON response.

    Raises ServiceError.
    """
    data = None if body is None else orjson.dumps(body)
    try:
        response = pool.request(
            method,
            path,
            body=data,
            headers=headers,
            preload_content=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=read_timeout
            ),
        )
        content = b''.join(read_parts(response, timeout_s=read_timeout))
    except urllib3.exceptions.HTTPError as exc:
        raise ServiceError(str(exc), sent=may_have_been_sent(exc)) from exc
    if response.status >= 400:
        raise ServiceError(
            f'{method} {path} returned status {response.status}', sent=True
        )
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError as exc:
        # A body without a length may end early, with its connection.
        raise ServiceError(
            f'{method} {path} returned invalid JSON: {exc}', sent=True
        ) from exc


def may_have_been_sent(exc: urllib3.exceptions.HTTPError) -> bool:
    """Return whether a request that failed with ``exc`` may have arrived."""
    reason = getattr(exc, 'reason', None) or exc
    return not isinstance(
        reason,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError,
    )
