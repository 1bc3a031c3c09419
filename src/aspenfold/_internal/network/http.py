"""Calling HTTP services by urllib3, with plain errors."""

import typing

import orjson
import urllib3

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0

NO_RETRY = urllib3.Retry(0, redirect=0)


def connection_pool(
    base_url: str, *, size: int = 4
) -> urllib3.HTTPConnectionPool:
    """Return a connection pool for one service, without retries."""
    return urllib3.connection_from_url(
        base_url,
        maxsize=size,
        retries=NO_RETRY,
        timeout=urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
        ),
    )


class ServiceError(Exception):
    """The service did not answer, or with an error status.

    ``sent`` is False only if the request cannot have reached it.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


def call_json(
    connections: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    *,
    body: object = None,
    read_timeout: float = READ_TIMEOUT_S,
    headers: dict[str, str] | None = None,
) -> typing.Any:
    """Call a JSON service and return its decoded answer."""
    data = None if body is None else orjson.dumps(body)
    try:
        answer = connections.request(
            method,
            path,
            body=data,
            headers=headers,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=read_timeout
            ),
        )
    except urllib3.exceptions.HTTPError as exc:
        raise ServiceError(str(exc), sent=may_have_been_sent(exc)) from exc
    if answer.status >= 400:
        raise ServiceError(
            f'{method} {path} answered {answer.status}', sent=True
        )
    return orjson.loads(answer.data)


def may_have_been_sent(exc: urllib3.exceptions.HTTPError) -> bool:
    """Return whether a request that failed so may have reached its peer."""
    reason = getattr(exc, 'reason', None) or exc
    return not isinstance(
        reason,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError,
    )
