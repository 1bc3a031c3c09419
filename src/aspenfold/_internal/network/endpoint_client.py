"""Calls an endpoint with urllib3, in worker threads.

The threads make no decisions; they pass what they read to the event
loop.
"""

import asyncio
from collections import abc
import concurrent.futures
import dataclasses
import threading
import typing

import orjson
import sseclient
import urllib3

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.network import event_splitter
from aspenfold._internal.network import http

STREAM_END = '[DONE]'
"""Data of the event with which an engine ends a complete stream."""

STREAM_CHUNK_BYTES = 4096
READ_TIMEOUT_S = 600.0
"""Seconds without a byte, or from the head to the end, after which a response
counts as lost."""

MAX_POSTED = 64
"""Callbacks that wait for the loop at once; threads wait for them, so that a
fast endpoint does not hold the loop."""

POST_TIMEOUT_S = 10.0
"""Seconds after which a loop that runs no callbacks counts as stopped."""

ENGINE_PRIORITIES = {'interactive': 0, 'generation': 1, 'batch': 2}
"""Engine priority by call priority; lower is more urgent."""


class ResponseSink(typing.Protocol):
    """Receives the endpoint's responses, on the event loop's thread."""

    def on_head(self, attempt_id: str, head: frames.Head) -> None:
        """Handle the status and content type of a response."""

    def on_items(self, attempt_id: str, items: tuple[bytes, ...]) -> None:
        """Handle the next items of a response."""

    def on_end(self, attempt_id: str) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, attempt_id: str, failure: exceptions.Failure) -> None:
        """Handle a missing or incomplete response."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointConfig:
    """Address of an endpoint, and the paths of its operations.

    ``operations`` maps an operation's name to a path below ``path``.
    """

    base_url: str
    path: str
    kind: str
    operations: dict[str, str]


class EndpointClient:
    """Calls one endpoint, with at most ``threads`` requests at a time."""

    def __init__(
        self,
        *,
        config: EndpointConfig,
        threads: int,
        loop: asyncio.AbstractEventLoop,
        sink: ResponseSink,
    ) -> None:
        self._config = config
        self._loop = loop
        self._sink = sink
        self._pool = http.connection_pool(config.base_url, size=threads)
        self._posts = threading.BoundedSemaphore(MAX_POSTED)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix='endpoint'
        )

    def start(self, request: frames.AttemptRequest) -> None:
        """Start an attempt; its response goes to the sink."""
        self._executor.submit(self._run, request)

    def cancel(self, attempt_id: str) -> None:
        """Ask a model engine to abort an attempt; ignore errors."""
        if self._config.kind == 'model':
            path = f'{self._config.path}/requests/{attempt_id}'
            self._executor.submit(self._call_json, 'DELETE', path, None)

    async def send_order(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        """Send an order to the engine and return its response.

        Return None if the engine did not accept the order.
        """
        path = f'{self._config.path}/orders'
        return await self._loop.run_in_executor(
            self._executor, self._call_json, 'POST', path, body
        )

    async def fetch_state(self) -> dict[str, typing.Any] | None:
        """Return the engine's state of this rank, or None on an error."""
        path = f'{self._config.path}/state'
        return await self._loop.run_in_executor(
            self._executor, self._call_json, 'GET', path, None
        )

    def close(self) -> None:
        """Discard queued requests and accept no more."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call_json(
        self, method: str, path: str, body: object
    ) -> dict[str, typing.Any] | None:
        try:
            response: dict[str, typing.Any] = http.call_json(
                self._pool,
                method,
                path,
                body=body,
                read_timeout=READ_TIMEOUT_S,
            )
        except http.ServiceError:
            return None
        return response

    def _run(self, request: frames.AttemptRequest) -> None:
        if request.operation not in self._config.operations:
            # The fleet and this agent's settings differ.
            failure = exceptions.Failure(
                code=exceptions.Code.UNKNOWN_OPERATION,
                detail=f'the agent has no operation {request.operation!r}',
            )
            self._post(self._sink.on_failure, request, failure)
            return
        try:
            self._request(request)
        except urllib3.exceptions.HTTPError as exc:
            self._post(
                self._sink.on_failure, request, _connection_failure(exc)
            )
        except Exception as exc:
            # Any error must end the attempt, or its caller would wait.
            failure = exceptions.Failure(
                code=exceptions.Code.ENDPOINT_FAILED,
                detail=f'the endpoint sent an invalid response: {exc!r:.100}',
            )
            self._post(self._sink.on_failure, request, failure)

    def _request(self, request: frames.AttemptRequest) -> None:
        response = self._pool.request(
            'POST',
            self._config.path + self._config.operations[request.operation],
            body=self._request_body(request),
            headers={
                'Content-Type': 'application/json',
                'X-Request-Id': request.call_id,
                'Aspenfold-Attempt': request.attempt_id,
            },
            preload_content=False,
            timeout=urllib3.Timeout(
                connect=http.CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )
        content_type = response.headers.get('Content-Type', '')
        head = frames.Head(status=response.status, content_type=content_type)
        streamed = event_splitter.is_event_stream(content_type)
        if not streamed:
            # Pass on the status only once the body is complete.
            body = b''.join(
                http.read_parts(response, timeout_s=READ_TIMEOUT_S)
            )
            self._post(self._sink.on_head, request, head)
            self._post(self._sink.on_items, request, (body,))
            self._post(self._sink.on_end, request)
            return
        self._post(self._sink.on_head, request, head)
        self._read_stream(request, response)

    def _read_stream(
        self,
        request: frames.AttemptRequest,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        chunks = http.read_parts(
            response, timeout_s=READ_TIMEOUT_S, size=STREAM_CHUNK_BYTES
        )
        complete = False
        for event in sseclient.SSEClient(_whole_events(chunks)).events():
            if event.data == STREAM_END:
                complete = True
                break
            item = event.data.encode()
            self._post(self._sink.on_items, request, (item,))
        response.release_conn()
        if complete:
            self._post(self._sink.on_end, request)
            return
        failure = exceptions.Failure(
            code=exceptions.Code.ENDPOINT_LOST,
            detail='the endpoint closed its stream before the end marker',
        )
        self._post(self._sink.on_failure, request, failure)

    def _request_body(self, request: frames.AttemptRequest) -> bytes:
        if self._config.kind != 'model':
            return request.body
        body = orjson.loads(request.body)
        body['request_id'] = request.attempt_id
        body['resume_from'] = request.resume_from
        body['priority'] = ENGINE_PRIORITIES[request.priority]
        return orjson.dumps(body)

    def _post(
        self,
        callback: abc.Callable[..., None],
        request: frames.AttemptRequest,
        *arguments: object,
    ) -> None:
        if not self._posts.acquire(timeout=POST_TIMEOUT_S):
            raise RuntimeError('the event loop runs no callbacks')
        self._loop.call_soon_threadsafe(
            self._deliver, callback, request.attempt_id, *arguments
        )

    def _deliver(
        self,
        callback: abc.Callable[..., None],
        attempt_id: str,
        *arguments: object,
    ) -> None:
        self._posts.release()
        callback(attempt_id, *arguments)


def _whole_events(chunks: abc.Iterable[bytes]) -> abc.Iterator[bytes]:
    """Yield the events of a stream; sseclient would yield a part of one."""
    splitter = event_splitter.EventSplitter()
    for chunk in chunks:
        yield from splitter.feed(chunk)


def _connection_failure(
    exc: urllib3.exceptions.HTTPError,
) -> exceptions.Failure:
    if http.may_have_been_sent(exc):
        return exceptions.Failure(
            code=exceptions.Code.FATE_UNKNOWN,
            detail='the connection to the endpoint was lost',
        )
    return exceptions.Failure(
        code=exceptions.Code.ENDPOINT_UNREACHABLE,
        detail='the endpoint is unreachable',
        retry_after=None,
    )
