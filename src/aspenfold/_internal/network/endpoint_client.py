"""Hands attempts to an endpoint by urllib3, in threads of their own.

A thread only moves bytes: what it reads goes to the loop, which decides.
"""

import asyncio
from collections import abc
import concurrent.futures
import dataclasses
import typing

import orjson
import sseclient
import urllib3

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.network import http

STREAM_END = '[STREAM_END]'
"""The engine's mark that its stream is whole."""

STREAM_CHUNK_BYTES = 4096
READ_TIMEOUT_S = 600.0
"""Seconds without a byte after which an endpoint counts as lost."""

ENGINE_PRIORITIES = {'interactive': 0, 'generation': 1, 'batch': 2}
"""The engine's own priorities; lower is more urgent."""


class ResponseSink(typing.Protocol):
    """Where an attempt's answer goes; called on the loop's thread."""

    def on_head(self, attempt_id: str, head: frames.Head) -> None:
        """The endpoint began to answer."""

    def on_items(self, attempt_id: str, items: tuple[bytes, ...]) -> None:
        """The endpoint gave the next items."""

    def on_end(self, attempt_id: str) -> None:
        """The answer is whole."""

    def on_failure(self, attempt_id: str, failure: exceptions.Failure) -> None:
        """There is no whole answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointConfig:
    """Where the endpoint listens and what its operations are called."""

    base_url: str
    path: str
    kind: str
    operations: dict[str, str]


class EndpointClient:
    """Calls one endpoint; at most ``threads`` attempts at a time."""

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
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix='endpoint'
        )

    def start(self, request: frames.AttemptRequest) -> None:
        """Hand an attempt to the endpoint; its answer goes to the sink."""
        self._executor.submit(self._run, request)

    def cancel(self, attempt_id: str) -> None:
        """Stop the endpoint's work on an attempt; best effort."""
        if self._config.kind == 'model':
            path = f'{self._config.path}/requests/{attempt_id}'
            self._executor.submit(self._call, 'DELETE', path, None)

    async def send_order(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        """Give the engine an order; None if it did not take it."""
        path = f'{self._config.path}/orders'
        return await self._loop.run_in_executor(
            self._executor, self._call, 'POST', path, body
        )

    async def fetch_state(self) -> dict[str, typing.Any] | None:
        """Return the engine's state of this rank, None if it is silent."""
        path = f'{self._config.path}/state'
        return await self._loop.run_in_executor(
            self._executor, self._call, 'GET', path, None
        )

    def close(self) -> None:
        """Let no more attempts start."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(
        self, method: str, path: str, body: object
    ) -> dict[str, typing.Any] | None:
        try:
            answer: dict[str, typing.Any] = http.call_json(
                self._pool,
                method,
                path,
                body=body,
                read_timeout=READ_TIMEOUT_S,
            )
        except http.ServiceError:
            return None
        return answer

    # -- in a thread -----------------------------------------------------

    def _run(self, request: frames.AttemptRequest) -> None:
        if request.operation not in self._config.operations:
            # The fleet and this agent's settings differ; nothing was sent.
            failure = exceptions.Failure(
                code=exceptions.Code.UNKNOWN_OPERATION,
                detail=f'the agent knows no operation {request.operation!r}',
            )
            self._post(self._sink.on_failure, request, failure)
            return
        try:
            self._answer(request)
        except urllib3.exceptions.HTTPError as exc:
            self._post(self._sink.on_failure, request, _lost(exc))
        except Exception as exc:
            # A broken answer must end the attempt, whatever broke it.
            failure = exceptions.Failure(
                code=exceptions.Code.ENDPOINT_FAILED,
                detail=f'the endpoint broke its protocol: {exc!r:.100}',
            )
            self._post(self._sink.on_failure, request, failure)

    def _answer(self, request: frames.AttemptRequest) -> None:
        answer = self._pool.request(
            'POST',
            self._config.path + self._config.operations[request.operation],
            body=self._body(request),
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
        content_type = answer.headers.get('Content-Type', '')
        head = frames.Head(status=answer.status, content_type=content_type)
        streamed = content_type.startswith('text/event-stream')
        if not streamed:
            # The head goes on only with a whole body, so that a caller
            # never sees a status whose body is then lost.
            data = answer.read()
            answer.release_conn()
            self._post(self._sink.on_head, request, head)
            self._post(self._sink.on_items, request, (data,))
            self._post(self._sink.on_end, request)
            return
        self._post(self._sink.on_head, request, head)
        self._stream(request, answer)

    def _stream(
        self,
        request: frames.AttemptRequest,
        answer: urllib3.BaseHTTPResponse,
    ) -> None:
        chunks = answer.stream(STREAM_CHUNK_BYTES, decode_content=True)
        whole = False
        for event in sseclient.SSEClient(chunks).events():
            if event.data == STREAM_END:
                whole = True
                break
            item = event.data.encode()
            self._post(self._sink.on_items, request, (item,))
        answer.release_conn()
        if whole:
            self._post(self._sink.on_end, request)
            return
        failure = exceptions.Failure(
            code=exceptions.Code.ENDPOINT_LOST,
            detail='the endpoint ended its stream early',
        )
        self._post(self._sink.on_failure, request, failure)

    def _body(self, request: frames.AttemptRequest) -> bytes:
        if self._config.kind != 'model':
            return request.body
        body = orjson.loads(request.body)
        body['request_id'] = request.attempt_id
        body['resume_from'] = request.resume_from
        body['priority'] = ENGINE_PRIORITIES[request.priority]
        return orjson.dumps(body)

    def _post(
        self,
        method: abc.Callable[..., None],
        request: frames.AttemptRequest,
        *arguments: object,
    ) -> None:
        self._loop.call_soon_threadsafe(method, request.attempt_id, *arguments)


def _lost(exc: urllib3.exceptions.HTTPError) -> exceptions.Failure:
    if http.may_have_been_sent(exc):
        return exceptions.Failure(
            code=exceptions.Code.FATE_UNKNOWN,
            detail='the connection to the endpoint broke',
        )
    return exceptions.Failure(
        code=exceptions.Code.ENDPOINT_UNREACHABLE,
        detail='the endpoint cannot be reached',
        retry_after=None,
    )
