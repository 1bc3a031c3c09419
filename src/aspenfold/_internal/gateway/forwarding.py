"""Selects the headers to forward to endpoints and to callers."""

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import header_names as header_names_module
from aspenfold._internal.network import http1_client
from aspenfold._internal.network import http1_server

Headers = http1_client.Headers

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
"""Headers that apply to a single connection only."""

BEARER_PREFIX = b'bearer '


def api_key(request: http1_server.Request) -> bytes:
    """Return the caller's API key, empty if it sent none."""
    value = request.header(b'authorization')
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return b''
    return value[len(BEARER_PREFIX) :].strip()


def host_name(request: http1_server.Request) -> str:
    """Return the host of the Host header, without the port."""
    return request.header(b'host').decode('latin-1').partition(':')[0]


class Forwarding:
    """Builds the headers of forwarded requests and responses."""

    def __init__(
        self, *, header_names: header_names_module.HeaderNames
    ) -> None:
        self._names = header_names
        # Dropped from requests; the gateway sets some of them itself.
        self._dropped_headers = HOP_BY_HOP | {
            b'authorization',
            b'content-length',
            header_names.expected_endpoint,
            header_names.organisation,
            header_names.priority,
            header_names.time_left_ms,
        }

    def request_headers(
        self,
        request: http1_server.Request,
        *,
        endpoint: directory.Endpoint,
        organisation: str,
        remaining_ms: int,
        last_event_id: bytes,
    ) -> Headers:
        """Return the headers of an attempt at ``endpoint``.

        ``remaining_ms`` is the time to the deadline in milliseconds.
        ``last_event_id`` is empty unless the attempt resumes a stream.
        """
        dropped = self._dropped_headers | _connection_headers(request.headers)
        if last_event_id:
            dropped = dropped | {self._names.last_event_id}
        headers = [(n, v) for n, v in request.headers if n not in dropped]
        headers += [
            (self._names.time_left_ms, str(remaining_ms).encode()),
            (self._names.expected_endpoint, endpoint.name.encode()),
            (b'connection', b'close'),
        ]
        if organisation:
            value = organisation.encode()
            headers.append((self._names.organisation, value))
        if last_event_id:
            headers.append((self._names.last_event_id, last_event_id))
        if request.body or request.method not in (b'GET', b'HEAD'):
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        return headers

    def response_headers(
        self, headers: Headers, *, length: int | None
    ) -> Headers:
        """Return the headers of an endpoint's response for the caller.

        ``length`` is the size of the body, None for a stream.
        """
        dropped = HOP_BY_HOP | _connection_headers(headers)
        dropped = dropped | {b'content-length'}
        kept = [(n, v) for n, v in headers if n not in dropped]
        if length is not None:
            kept.append((b'content-length', str(length).encode()))
        return kept


def header(headers: Headers, name: bytes) -> bytes:
    """Return a header's value, empty if it is absent."""
    for known, value in headers:
        if known == name:
            return value
    return b''


def content_length(headers: Headers) -> int | None:
    """Return the content length of a response, None if it states none."""
    value = header(headers, b'content-length')
    return int(value) if value else None


def _connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the header names that the Connection header lists."""
    value = header(headers, b'connection')
    return frozenset(n.strip().lower() for n in value.split(b',') if n)
