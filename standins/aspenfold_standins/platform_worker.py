"""A stand-in of an endpoint on the platform, with scripted responses.

It records the requests that it received and the attempts that it
executed.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import enum
import time
import typing

from aspenfold_standins import http11

SEAL_HEADER = 'X-Aspenfold-Response-Seal'
ATTEMPT_HEADER = 'x-aspenfold-attempt-id'
RATE_LIMIT_HEADER = 'Server-Limit'
LEAVING_HEADER = 'Server-Leaving'
RETRY_AFTER_HEADER = 'Retry-After'
NAME_HEADER = 'X-Aspenfold-Instance-Id'
HEALTH_TARGET = '/health'
AT_FAULT_HEADER = 'At-Server'
PROMPT_HEADER = 'x-aspenfold-prompt-prefix-hash'

Script = abc.Callable[['Worker', http11.Exchange], abc.Awaitable[None]]


class FatalRequests(typing.Protocol):
    """Requests on which an endpoint crashes, and how."""

    def is_fatal(self, request: http11.Request) -> bool:
        """Return whether the endpoint crashes on a request."""

    async def __call__(
        self, worker: 'Worker', exchange: http11.Exchange
    ) -> None:
        """Crash."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A 503 that asked for no request for ``retry_after_s`` from ``at`` on.

    ``at`` is a time of the monotonic clock; ``attempt`` is the attempt that
    was refused.
    """

    at: float
    retry_after_s: float
    attempt: str


class Worker:
    """One incarnation of an endpoint.

    ``script`` writes the response to each request; ``executions`` counts
    the executions of each attempt id, ``health_checks`` those that it
    answered.  Requests may expect its ``version``, that of its weights; a
    refusal names the endpoint unless it is ``anonymous``.
    Unless it is None, responses state ``rate_limit``, the requests a second
    that it takes from all gateways.
    Unless it is None, a 503 states ``retry_after``, in seconds, and is added
    to ``refusals``.  All responses say so while the endpoint is ``leaving``.
    ``crashes`` has the times at which it crashed, by the monotonic clock.
    ``started_ms`` is the Unix time of its start, stated unless it is None.
    Unless it is None, ``fatal`` handles the requests that it names instead of
    ``script``.
    """

    def __init__(self, name: str, *, slots: int = 6) -> None:
        self.name = name
        self.slots = slots
        self.script: Script = complete
        self.requests: list[http11.Request] = []
        self.executions: collections.Counter[str] = collections.Counter()
        self.cancelled_count = 0
        self.event_count = 10
        self.event_interval_s = 0.0
        self.version = '1'
        self.anonymous = False
        self.health_checks = 0
        self.rate_limit: float | None = None
        self.retry_after: float | None = None
        self.refusals: list[Refusal] = []
        self.leaving = False
        self.crashes: list[float] = []
        self.started_ms: int | None = None
        self.fatal: FatalRequests | None = None
        self._server = http11.Server(self._handle)
        self._restart: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback address; port 0 picks a free port."""
        await self._server.start(port)

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._restart is not None:
            self._restart.cancel()
        await self._server.stop()

    def crash(self, down_s: float, *, silently: bool = False) -> None:
        """Reset every connection and listen again after ``down_s``.

        A silent crash leaves connections open and answers nothing on them.
        """
        if self._restart is None or self._restart.done():
            self.crashes.append(time.monotonic())
            self._restart = asyncio.create_task(self._crash(down_s, silently))

    async def _crash(self, down_s: float, silently: bool) -> None:
        if silently:
            self._server.stop_listening()
        else:
            await self._server.stop()
        await asyncio.sleep(down_s)
        await self._server.start_again()

    @property
    def port(self) -> int:
        """The TCP port of the endpoint."""
        return self._server.port

    def store_record(
        self, service: str, state: str = 'ready'
    ) -> dict[str, object]:
        """Return the endpoint's record in the platform's store."""
        born = {} if self.started_ms is None else {'born': self.started_ms}
        return {
            **born,
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
        }

    def response_headers(self, exchange: http11.Exchange) -> dict[str, str]:
        """Return the headers that mark a response of an executed attempt."""
        attempt = exchange.request.headers.get(ATTEMPT_HEADER, '')
        headers = {SEAL_HEADER: f'seal-{self.name}', ATTEMPT_HEADER: attempt}
        if self.rate_limit is not None:
            headers[RATE_LIMIT_HEADER] = str(self.rate_limit)
        if self.leaving:
            headers[LEAVING_HEADER] = '1'
        return headers

    async def respond_503(
        self, exchange: http11.Exchange, headers: dict[str, str]
    ) -> None:
        """Send a 503, with ``retry_after`` if there is one."""
        if self.retry_after is not None:
            headers[RETRY_AFTER_HEADER] = str(self.retry_after)
            self.refusals.append(
                Refusal(
                    at=time.monotonic(),
                    retry_after_s=self.retry_after,
                    attempt=headers[ATTEMPT_HEADER],
                )
            )
        await exchange.respond(503, headers)

    def record_execution(self, exchange: http11.Exchange) -> None:
        """Count an execution of the request's attempt."""
        self.executions[exchange.request.headers.get(ATTEMPT_HEADER, '')] += 1

    async def _handle(self, exchange: http11.Exchange) -> None:
        headers = exchange.request.headers
        is_health_check = exchange.request.target == HEALTH_TARGET
        if not is_health_check:
            self.requests.append(exchange.request)
        expected = headers.get('x-aspenfold-expect-instance', self.name)
        version = headers.get('x-aspenfold-expect-version', self.version)
        if (expected, version) != (self.name, self.version):
            own_name = {} if self.anonymous else {NAME_HEADER: self.name}
            await exchange.respond(421, own_name)
            return
        if is_health_check:
            self.health_checks += 1
            await exchange.respond(200, {NAME_HEADER: self.name})
            return
        script = self.script
        if self.fatal is not None and self.fatal.is_fatal(exchange.request):
            script = self.fatal
        try:
            await script(self, exchange)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise


EVENT_STREAM = 'content-type: text/event-stream'


def response_head(
    worker: Worker, exchange: http11.Exchange, *lines: str
) -> bytes:
    """Return the head of a 200 with the worker's headers and ``lines``."""
    headers = worker.response_headers(exchange)
    stated = [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join(['HTTP/1.1 200 OK', *stated, *lines, '', '']).encode()


async def complete(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then send a complete response."""
    worker.record_execution(exchange)
    body = b'answer of ' + worker.name.encode()
    await exchange.respond(200, worker.response_headers(exchange), body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashOn:
    """Crashes the endpoint as it begins certain answers.

    These are answers to requests whose prompt has the ``part``, but not as
    its last one, or that have the ``body``.  ``events`` of a stream are sent
    before.
    """

    part: str = ''
    body: bytes = b''
    events: int = 0
    down_s: float = 1.5
    silently: bool = False

    async def __call__(
        self, worker: Worker, exchange: http11.Exchange
    ) -> None:
        """Crash, after the events."""
        if self.events:
            await _send_events(worker, exchange, self.events)
        else:
            worker.record_execution(exchange)
        worker.crash(self.down_s, silently=self.silently)
        await asyncio.Event().wait()

    def is_fatal(self, request: http11.Request) -> bool:
        """Return whether the endpoint crashes on a request."""
        if self.body:
            return request.body == self.body
        value = request.headers.get(PROMPT_HEADER, '')
        parts = [entry.partition(':')[0] for entry in value.split(',')]
        return self.part in parts[:-1]


async def server_error(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then respond with status 500."""
    worker.record_execution(exchange)
    await exchange.respond(500, worker.response_headers(exchange), b'failed')


async def at_capacity(worker: Worker, exchange: http11.Exchange) -> None:
    """Refuse without executing: no free slot."""
    headers = worker.response_headers(exchange)
    del headers[SEAL_HEADER]
    headers['X-Aspenfold-Not-Executed'] = '1'
    headers['X-Aspenfold-Instance-Load'] = f'{worker.slots},9,{worker.slots}'
    await worker.respond_503(exchange, headers)


async def refuse_while_idle(worker: Worker, exchange: http11.Exchange) -> None:
    """Refuse without executing although all slots are free."""
    headers = worker.response_headers(exchange)
    del headers[SEAL_HEADER]
    headers['X-Aspenfold-Not-Executed'] = '1'
    headers['X-Aspenfold-Instance-Load'] = f'0,0,{worker.slots}'
    await worker.respond_503(exchange, headers)


async def group_unavailable(worker: Worker, exchange: http11.Exchange) -> None:
    """Refuse since another rank of the group is away."""
    headers = worker.response_headers(exchange)
    headers['X-Aspenfold-Not-Executed'] = '1'
    headers[AT_FAULT_HEADER] = 'another-rank'
    headers['X-Aspenfold-Instance-Load'] = f'0,0,{worker.slots}'
    await worker.respond_503(exchange, headers)


async def unmarked_503(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then respond 503 without the not-executed header."""
    worker.record_execution(exchange)
    await worker.respond_503(exchange, worker.response_headers(exchange))


async def run_and_reset(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then reset the connection."""
    worker.record_execution(exchange)
    exchange.reset()


async def truncated_body(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then close the connection in the middle of the body."""
    worker.record_execution(exchange)
    head = response_head(worker, exchange, 'content-length: 50')
    await exchange.write(head + b'half')
    exchange.close()


async def no_content_length(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then respond without a content length."""
    worker.record_execution(exchange)
    await exchange.write(response_head(worker, exchange) + b'no length')
    exchange.close()


async def no_content_length_reset(
    worker: Worker, exchange: http11.Exchange
) -> None:
    """Execute, then reset a response without a content length."""
    worker.record_execution(exchange)
    await exchange.write(response_head(worker, exchange) + b'no len')
    await asyncio.sleep(0.05)
    exchange.reset()


async def wrong_attempt_id(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then respond with the attempt id of another request."""
    worker.record_execution(exchange)
    headers = worker.response_headers(exchange)
    headers[ATTEMPT_HEADER] = 'of-another-request'
    await exchange.respond(200, headers, b'not yours')


async def invalid_http(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then send bytes that are not HTTP."""
    worker.record_execution(exchange)
    await exchange.write(b'\x00\x01 nonsense\r\n\r\n')
    exchange.close()


async def never_respond(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute without ever responding."""
    worker.record_execution(exchange)
    await asyncio.Event().wait()


def event_bytes(number: int) -> bytes:
    """Return the server-sent event with this id, equal on all workers."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


async def stream_events(worker: Worker, exchange: http11.Exchange) -> None:
    """Execute, then stream the events after the caller's last event id."""
    await _send_events(worker, exchange, worker.event_count)


async def stream_then_reset(worker: Worker, exchange: http11.Exchange) -> None:
    """Stream four complete events and a partial one, then reset."""
    await _send_events(worker, exchange, 4)
    await exchange.write(b'14\r\n' + event_bytes(5)[:9])
    await asyncio.sleep(0.05)
    exchange.reset()


async def _send_events(
    worker: Worker, exchange: http11.Exchange, last: int
) -> None:
    worker.record_execution(exchange)
    head = response_head(
        worker, exchange, EVENT_STREAM, 'transfer-encoding: chunked'
    )
    await exchange.write(head)
    after = int(exchange.request.headers.get('last-event-id', '0'))
    for number in range(after + 1, last + 1):
        data = event_bytes(number)
        await exchange.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')
        await asyncio.sleep(worker.event_interval_s)
    if last == worker.event_count:
        await exchange.write(b'0\r\n\r\n')


class Framing(enum.Enum):
    """How a response marks the end of its body."""

    CHUNKS = 'chunks'
    LENGTH = 'length'
    CLOSE = 'close'


class Ending(enum.Enum):
    """What an endpoint does after the last bytes of a response."""

    PROPER = 'proper'
    """Complete the body as its framing says."""

    CLOSED = 'closed'
    """Close the connection without completing the body."""

    RESET = 'reset'


@dataclasses.dataclass(frozen=True, kw_only=True)
class BrokenStream:
    """A script that executes, then sends the first bytes of a stream.

    It sends ``size`` of them, ``step`` at a time, and ends as ``framing`` and
    ``ending`` say.  ``content`` is the whole stream.
    """

    framing: Framing
    ending: Ending = Ending.PROPER
    size: int
    step: int = 65_536
    content: bytes = b''
    content_type: str = 'text/event-stream; charset=utf-8'
    status: int = 200

    async def __call__(
        self, worker: Worker, exchange: http11.Exchange
    ) -> None:
        """Execute and respond."""
        worker.record_execution(exchange)
        body = self.content[: self.size]
        await exchange.write(self._head(worker, exchange, len(body)))
        for start in range(0, len(body), self.step):
            await exchange.write(self._frame(body[start : start + self.step]))
            if self.step < len(body):
                await asyncio.sleep(0)
        if self.ending is Ending.RESET:
            # Let the bytes arrive first.
            await asyncio.sleep(0.05)
            exchange.reset()
            return
        if self.ending is Ending.PROPER and self.framing is Framing.CHUNKS:
            await exchange.write(b'0\r\n\r\n')
        exchange.close()

    def _head(
        self, worker: Worker, exchange: http11.Exchange, size: int
    ) -> bytes:
        headers = worker.response_headers(exchange)
        lines = [f'HTTP/1.1 {self.status} Status']
        lines += [f'{n}: {v}' for n, v in headers.items()]
        if self.content_type:
            lines.append(f'content-type: {self.content_type}')
        if self.framing is Framing.CHUNKS:
            lines.append('transfer-encoding: chunked')
        elif self.framing is Framing.LENGTH:
            missing = 0 if self.ending is Ending.PROPER else 100
            lines.append(f'content-length: {size + missing}')
        return '\r\n'.join([*lines, '', '']).encode()

    def _frame(self, data: bytes) -> bytes:
        if self.framing is not Framing.CHUNKS:
            return data
        return f'{len(data):x}\r\n'.encode() + data + b'\r\n'
