"""The entry's HTTP API, served by CherryPy.

CherryPy's worker threads make no decisions.  A worker passes the
request to the event loop, and sends the response parts that it takes
from a bounded queue.
"""

from collections import abc
import json
import logging
import math
import typing
import uuid

import cherrypy

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import settings
from aspenfold._internal.network import event_splitter
from aspenfold._internal.network import port_errors
from aspenfold._internal.network import request_validator
from aspenfold._internal.network import response_queue

DISCONNECT_CHECK_INTERVAL_S = 1.0
"""Seconds without a response part after which a stream is probed.

The probe shows whether the caller is still connected.
"""

JSON_CONTENT_TYPE = 'application/json'
ACCEPT_BACKLOG = 512
"""Connections that the system queues until they are accepted.

CherryPy's default of 5 let the system reset some of 24 callers that came at
once.
"""

SOCKET_TIMEOUT_S = 10
"""Seconds after which a connection without traffic is closed."""


class EntryLoop(typing.Protocol):
    """Thread-safe access to the entry on the event loop."""

    def submit(
        self, raw: request_validator.RawRequest
    ) -> response_queue.ResponseQueue:
        """Submit a request; its response arrives in the returned queue."""

    def on_caller_left(self, request_id: str) -> None:
        """Handle a caller that closed its connection."""

    def admin(
        self, name: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Run the administrative request ``name`` and return its result."""

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""


class HttpApi:
    """Routes requests; see ``docs/API.md``."""

    def __init__(
        self,
        *,
        loop: EntryLoop,
        cfg: settings.EntrySettings,
        clock: clock_module.Clock,
    ) -> None:
        self._loop = loop
        self._cfg = cfg
        self._clock = clock

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> typing.Any:
        """Serve a request on any path."""
        request = cherrypy.request
        headers = {k.lower(): v for k, v in request.headers.items()}
        request_id = _request_id(headers)
        cherrypy.response.headers['X-Request-Id'] = request_id
        try:
            return self._route(request.method, path, headers, request_id)
        except exceptions.AspenfoldError as exc:
            return _error_response(exc.failure, request_id)

    default._cp_config = {'response.stream': True}

    def _route(
        self,
        method: str,
        path: tuple[str, ...],
        headers: abc.Mapping[str, str],
        request_id: str,
    ) -> typing.Any:
        match (method, *path):
            case ('POST', 'v1', 'completions'):
                return self._serve_call(
                    '',
                    request_validator.COMPLETIONS_OPERATION,
                    headers,
                    request_id,
                )
            case ('POST', 'services', service, operation):
                return self._serve_call(
                    service, operation, headers, request_id
                )
            case ('POST', 'v1', 'tickets'):
                body = self._read_json(headers)
                return _json_response(
                    self._loop.admin('ticket', {**body, 'headers': headers})
                )
            case ('GET', 'health', 'live'):
                return _json_response({'live': True})
            case ('GET', 'health', 'ready'):
                return self._ready()
            case ('GET', 'metrics'):
                cherrypy.response.headers['Content-Type'] = 'text/plain'
                return self._loop.metrics_text()
            case ('GET', 'admin', 'status'):
                request_validator.check_operator(
                    headers, self._cfg.operator_key
                )
                return _json_response(self._loop.admin('status', {}))
            case ('POST', 'admin', 'explain'):
                request_validator.check_operator(
                    headers, self._cfg.operator_key
                )
                body = self._read_json(headers)
                return _json_response(self._loop.admin('explain', body))
        raise request_validator.request_error(
            exceptions.Code.NOT_FOUND,
            f'no route matches {method} /{"/".join(path)}',
            field='path',
            remedy='see docs/API.md for the routes',
        )

    def _ready(self) -> bytes:
        status = self._loop.admin('ready', {})
        if not status['ready']:
            cherrypy.response.status = 503
        return _json_response(status)

    def _serve_call(
        self,
        service: str,
        operation: str,
        headers: abc.Mapping[str, str],
        request_id: str,
    ) -> typing.Any:
        raw = request_validator.RawRequest(
            service=service,
            operation=operation,
            headers=headers,
            body=self._read_body(headers),
            received_at=self._clock.now(),
            request_id=request_id,
        )
        response = self._loop.submit(raw)
        first = self._next_part(response)
        if isinstance(first, response_queue.Failed):
            return _error_response(first.failure, request_id)
        assert isinstance(first, frames.Head)
        if event_splitter.is_event_stream(first.content_type):
            return self._streamed_response(response, first, request_id)
        return self._buffered_response(response, first, request_id)

    def _buffered_response(
        self,
        response: response_queue.ResponseQueue,
        head: frames.Head,
        request_id: str,
    ) -> bytes:
        parts: list[bytes] = []
        while True:
            part = self._next_part(response)
            if isinstance(part, response_queue.Failed):
                return _error_response(part.failure, request_id)
            if isinstance(part, response_queue.Complete):
                break
            if isinstance(part, response_queue.Chunk):
                parts.extend(part.items)
        cherrypy.response.status = head.status
        cherrypy.response.headers['Content-Type'] = head.content_type
        cherrypy.response.headers['Aspenfold-Outcome'] = 'ran'
        return b''.join(parts)

    def _streamed_response(
        self,
        response: response_queue.ResponseQueue,
        head: frames.Head,
        request_id: str,
    ) -> abc.Iterator[bytes]:
        first = self._next_part(response)
        if isinstance(first, response_queue.Failed):
            return iter((_error_response(first.failure, request_id),))
        cherrypy.response.status = head.status
        cherrypy.response.headers['Content-Type'] = event_splitter.MEDIA_TYPE
        cherrypy.response.headers['Cache-Control'] = 'no-store'
        cherrypy.response.headers['Aspenfold-Outcome'] = 'ran'
        return self._sse_events(response, first, request_id)

    def _sse_events(
        self,
        response: response_queue.ResponseQueue,
        first: response_queue.Part,
        request_id: str,
    ) -> abc.Iterator[bytes]:
        part: response_queue.Part | None = first
        ended = False
        try:
            while not ended:
                match part:
                    case None:
                        # Sending a comment line fails if the caller has
                        # disconnected.
                        yield b': waiting\n\n'
                    case response_queue.Chunk():
                        yield _sse_items(part)
                    case response_queue.Complete(total=total):
                        ended = True
                        yield _sse_end(total)
                        return
                    case response_queue.Failed(failure=failure):
                        ended = True
                        yield _sse_error(failure, request_id)
                        return
                part = response.take(DISCONNECT_CHECK_INTERVAL_S)
        finally:
            if not ended:
                self._loop.on_caller_left(request_id)

    def _next_part(
        self, response: response_queue.ResponseQueue
    ) -> response_queue.Part:
        while True:
            part = response.take(DISCONNECT_CHECK_INTERVAL_S)
            if part is not None:
                return part

    def _read_body(self, headers: abc.Mapping[str, str]) -> bytes:
        limit = self._cfg.max_body_bytes
        length = headers.get('content-length', '')
        if length.isdigit() and int(length) > limit:
            cherrypy.response.headers['Connection'] = 'close'
            raise _body_too_large(limit)
        data: bytes = cherrypy.request.rfile.read(limit + 1)
        if len(data) > limit:
            cherrypy.response.headers['Connection'] = 'close'
            raise _body_too_large(limit)
        return data

    def _read_json(
        self, headers: abc.Mapping[str, str]
    ) -> dict[str, typing.Any]:
        return request_validator.parse_object(self._read_body(headers))


def _unexpected_error_page(
    status: str, message: str, traceback: str, version: str
) -> str:
    """Return the body for an error that no route caught.

    Replaces CherryPy's HTML pages, which do not state the outcome.
    """
    failure = exceptions.Failure(
        code=exceptions.Code.INTERNAL,
        detail=f'{status}: {message}',
        remedy='please report it with the request id',
    )
    headers = cherrypy.response.headers
    request_id = str(headers.get('X-Request-Id', ''))
    headers['Content-Type'] = JSON_CONTENT_TYPE
    headers['Aspenfold-Outcome'] = failure.outcome.value
    headers['Aspenfold-Code'] = str(int(failure.code))
    return json.dumps(error_document(failure, request_id))


def _body_too_large(limit: int) -> exceptions.RequestError:
    return request_validator.request_error(
        exceptions.Code.BODY_TOO_LARGE,
        f'the body is larger than {limit} bytes',
        field='body',
        remedy='send a smaller body, or have max_body_bytes raised',
    )


def _request_id(headers: abc.Mapping[str, str]) -> str:
    # A random suffix keeps ids unique if callers choose the same one.
    given = headers.get(request_validator.REQUEST_ID_HEADER, '')
    unique = uuid.uuid4().hex
    if not given or not given.isprintable():
        return unique
    return f'{given[: request_validator.MAX_REQUEST_ID_LENGTH]}-{unique[:8]}'


def _json_response(value: object) -> bytes:
    cherrypy.response.headers['Content-Type'] = JSON_CONTENT_TYPE
    return json.dumps(value).encode()


def error_document(
    failure: exceptions.Failure, request_id: str
) -> dict[str, typing.Any]:
    """Return the JSON object that describes a failure to the caller."""
    return {
        'error': {
            'code': int(failure.code),
            'type': failure.code.name.lower(),
            'message': failure.detail,
            'param': failure.field or None,
            'remedy': failure.remedy or None,
            'outcome': failure.outcome.value,
            'request_id': request_id,
        }
    }


def _error_response(failure: exceptions.Failure, request_id: str) -> bytes:
    response = cherrypy.response
    response.status = failure.http_status
    response.headers['Aspenfold-Outcome'] = failure.outcome.value
    response.headers['Aspenfold-Code'] = str(int(failure.code))
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        response.headers['Retry-After'] = str(max(1, seconds))
    return _json_response(error_document(failure, request_id))


def _sse_items(chunk: response_queue.Chunk) -> bytes:
    return b''.join(
        b'id: %d\ndata: %s\n\n' % (number, item)
        for number, item in enumerate(chunk.items, start=chunk.first)
    )


def _sse_end(total: int) -> bytes:
    # The id is the number of items, so callers can detect missing ones.
    return b'id: %d\ndata: [DONE]\n\n' % total


def _sse_error(failure: exceptions.Failure, request_id: str) -> bytes:
    document = json.dumps(error_document(failure, request_id))
    return f'event: error\ndata: {document}\n\n'.encode()


class HttpServer:
    """Runs CherryPy's server for an :class:`HttpApi`."""

    def __init__(self, *, api: HttpApi, cfg: settings.EntrySettings) -> None:
        self._api = api
        self._cfg = cfg

    def start(self) -> int:
        """Start listening and return the port.

        Raises SettingsError if the port is unavailable.
        """
        logging.getLogger('cherrypy').setLevel(logging.CRITICAL)
        cfg = self._cfg
        cherrypy.config.update(
            {
                'environment': 'embedded',
                'log.screen': False,
                'server.socket_host': str(cfg.listen.address),
                'server.socket_port': cfg.listen.port,
                'server.thread_pool': cfg.http_threads,
                'server.socket_queue_size': ACCEPT_BACKLOG,
                'server.socket_timeout': SOCKET_TIMEOUT_S,
                'server.max_request_header_size': cfg.max_header_bytes,
                'server.max_request_body_size': 0,
                'request.process_request_body': False,
                'request.show_tracebacks': False,
                'error_page.default': _unexpected_error_page,
            }
        )
        cherrypy.tree.mount(self._api, '/')
        cherrypy.server.subscribe()
        try:
            cherrypy.engine.start()
        except Exception as exc:
            raise port_errors.port_unavailable(
                where=cfg.listen.url, field='listen.port', exc=exc
            ) from exc
        return int(cherrypy.server.httpserver.bind_addr[1])

    def stop(self) -> None:
        """Stop the server; let requests finish before calling this."""
        cherrypy.engine.exit()
