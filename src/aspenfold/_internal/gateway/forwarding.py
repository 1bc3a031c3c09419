"""Which headers go on, towards endpoints and towards callers."""

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
"""Headers that concern one connection only, by the HTTP standard."""

BEARER = b'bearer '


def api_key(request: http1_server.Request) -> bytes:
    """Return the caller's API key, empty if it sent none."""
    value = request.header(b'authorization')
    if value[: len(BEARER)].lower() != BEARER:
        return b''
    return value[len(BEARER) :].strip()


def host_name(request: http1_server.Request) -> str:
    """Return the host that the request names, without a port."""
    return request.header(b'host').decode('latin-1').partition(':')[0]


class Forwarding:
    """Builds the heads of requests and answers for one dialect."""

    def __init__(
        self, *, header_names: header_names_module.HeaderNames
    ) -> None:
        self._names = header_names
        # Set by this program; what a caller sent there is dropped.
        self._own = HOP_BY_HOP | {
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
        left_ms: int,
        last_event_id: bytes,
    ) -> Headers:
        """Return the headers of an attempt at ``endpoint``.

        ``last_event_id`` is not empty if the attempt resumes a stream.
        """
        dropped = self._own | _named_in_connection(request.headers)
        if last_event_id:
            dropped = dropped | {self._names.last_event_id}
        headers = [(n, v) for n, v in request.headers if n not in dropped]
        headers += [
            (self._names.time_left_ms, str(left_ms).encode()),
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
        """Return the headers of an endpoint's answer for its caller."""
        dropped = HOP_BY_HOP | _named_in_connection(headers)
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


def _named_in_connection(headers: Headers) -> frozenset[bytes]:
    """Return the names that a Connection header declares hop-by-hop."""
    value = header(headers, b'connection')
    return frozenset(n.strip().lower() for n in value.split(b',') if n)


def parse_load(value: bytes) -> directory.Load | None:
    """Return "running,waiting,capacity", None if it is not that."""
    parts = value.split(b',')
    if len(parts) != 3 or not all(p.strip().isdigit() for p in parts):
        return None
    running, waiting, capacity = (int(p) for p in parts)
    return directory.Load(running=running, waiting=waiting, capacity=capacity)
