"""The HTTP/1.1 server, with a fake transport."""

import asyncio
import datetime
import tracemalloc
import typing

import pytest

from aspenfold._internal.gateway import body_budget
from aspenfold._internal.gateway import plan
from aspenfold._internal.kernel import clock
from aspenfold._internal.network import caller_memory
from aspenfold._internal.network import http1_server
from aspenfold._internal.network import reader_watch
from aspenfold._internal.network import turn_budget

MAX_CONNECTIONS = 100


class Memory:
    """The memory for what callers send."""

    def __init__(self, *, input_bytes: int = 10_000_000) -> None:
        self.bodies = body_budget.BodyBudget(limit=10_000_000)
        self.input = body_budget.BodyBudget(limit=input_bytes)

    def refuse(self, headers: caller_memory.Headers) -> caller_memory.Refusal:
        """Return a response with no text."""
        return caller_memory.Refusal(status=503, headers=[], body=b'')


class FakeTransport:
    """Records written bytes; fails on writes after ``lost`` is set."""

    connection: http1_server.ServerConnection

    def __init__(self) -> None:
        self.written = b''
        self.lost = False

    def write(self, data: bytes) -> None:
        """Record ``data``."""
        assert not self.lost, 'write to a lost connection'
        self.written += data

    def is_closing(self) -> bool:
        """Return whether the connection is lost."""
        return self.lost

    def close(self) -> None:
        """Mark the connection as lost."""
        self.lost = True

    def get_write_buffer_size(self) -> int:
        """Return that all is sent."""
        return 0

    def abort(self) -> None:
        """Close the connection, as if its end were known at once."""
        self.lost = True
        self.connection.connection_lost(None)

    def pause_reading(self) -> None:
        """Ignore it; tests pass all data themselves."""

    def resume_reading(self) -> None:
        """Ignore it."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limit."""

    def get_extra_info(self, name: str) -> None:
        """Return None for every name."""


def connect(
    handler: http1_server.RequestHandler,
    transport: FakeTransport,
    memory: Memory | None = None,
) -> http1_server.ServerConnection:
    """Return a connection of a server with the default limits."""
    return connect_to(make_server(handler, memory or Memory()), transport)


def make_server(
    handler: http1_server.RequestHandler, memory: Memory
) -> http1_server.Server:
    """Return a server with the default limits."""
    return http1_server.Server(
        handler=handler,
        clock=clock.MonotonicClock(),
        limits=lambda: plan.DEFAULT_LIMITS,
        memory=memory,
        max_connections=MAX_CONNECTIONS,
    )


def connect_to(
    server: http1_server.Server, transport: FakeTransport
) -> http1_server.ServerConnection:
    """Return a new connection of a server."""
    connection = http1_server.ServerConnection(owner=server)
    transport.connection = connection
    connection.connection_made(typing.cast(typing.Any, transport))
    return connection


def test_nothing_is_written_to_a_lost_connection() -> None:
    """The transport is closing before ``connection_lost`` is called."""

    async def run() -> None:
        handled = asyncio.Event()
        transport = FakeTransport()

        async def handler(
            request: http1_server.Request,
            response: http1_server.ResponseWriter,
        ) -> None:
            response.start(200, [])
            response.write(b'one')
            transport.lost = True
            for _ in range(9):
                response.write(b'more')
            handled.set()

        connection = connect(handler, transport)
        connection.data_received(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(5):
            await handled.wait()
        assert b'one' in transport.written

    asyncio.run(run())


@pytest.mark.parametrize(
    ('status', 'headers', 'body'),
    [
        (431, b'X: ' + b'y' * 17_000, b''),
        (
            413,
            b'Transfer-Encoding: chunked',
            b'500000\r\n' + b'x' * 0x500000 + b'\r\n0\r\n\r\n',
        ),
        (413, b'Content-Length: 5000000', b'x' * 5_000_000),
    ],
)
def test_a_refused_request_is_not_handled(
    status: int, headers: bytes, body: bytes
) -> None:
    """Its end may have been read with it, before the connection is closed."""
    handled: list[http1_server.Request] = []

    async def handler(
        request: http1_server.Request, response: http1_server.ResponseWriter
    ) -> None:
        handled.append(request)

    async def run() -> bytes:
        transport = FakeTransport()
        connection = connect(handler, transport)
        head = b'POST / HTTP/1.1\r\nHost: x\r\n' + headers + b'\r\n\r\n'
        connection.data_received(head + body)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return transport.written

    assert asyncio.run(run()).startswith(b'HTTP/1.1 %d ' % status)
    assert not handled


class UnreadTransport(FakeTransport):
    """A connection whose caller reads nothing before ``read``."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True
        self._high = 0

    def set_write_buffer_limits(self, high: int) -> None:
        """Set how many unsent bytes pause writing."""
        self._high = high

    def get_write_buffer_size(self) -> int:
        """Return how many bytes are unsent."""
        return len(self.written)

    def write(self, data: bytes) -> None:
        """Keep ``data``."""
        super().write(data)
        if len(self.written) > self._high:
            self.connection.pause_writing()

    def read(self) -> bytes:
        """Return what the caller reads now: all that is unsent."""
        data, self.written = self.written, b''
        self.connection.resume_writing()
        return data

    def write_eof(self) -> None:
        """Ignore the end."""

    def pause_reading(self) -> None:
        """Note that the server reads no more."""
        assert self.reading
        self.reading = False

    def resume_reading(self) -> None:
        """Note that the server reads again."""
        assert not self.reading
        self.reading = True


SHORT_GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
REQUESTS_AHEAD = 500
RESPONSE_BYTES = 1_000


def connect_unread(
    handler: http1_server.RequestHandler, memory: Memory | None = None
) -> tuple[http1_server.ServerConnection, UnreadTransport]:
    """Return a connection whose caller reads nothing yet."""
    transport = UnreadTransport()
    return connect(handler, transport, memory), transport


async def respond(
    request: http1_server.Request, response: http1_server.ResponseWriter
) -> None:
    """Respond at once."""
    response.start(200, [(b'content-length', b'%d' % RESPONSE_BYTES)])
    response.write(b'x' * RESPONSE_BYTES)
    response.end()


async def run_ready_tasks() -> None:
    """Run what can run; each request takes a few turns of the loop."""
    for _ in range(5 * REQUESTS_AHEAD):
        await asyncio.sleep(0)


def test_requests_sent_ahead_are_read_when_it_is_their_turn() -> None:
    """Issue 48: each response let in more than a request, without end."""

    served = 0

    async def handler(
        request: http1_server.Request, response: http1_server.ResponseWriter
    ) -> None:
        nonlocal served
        served += len(SHORT_GET)
        await respond(request, response)

    async def run() -> None:
        connection, transport = connect_unread(handler)
        piece = SHORT_GET * REQUESTS_AHEAD
        received = 0
        for _ in range(1_000):
            if transport.reading:
                connection.data_received(piece)
                received += len(piece)
            await asyncio.sleep(0)
            transport.read()
        assert served
        assert received - served <= 2 * len(piece)

    asyncio.run(run())


def test_responses_that_are_not_read_hold_up_the_next_requests() -> None:
    """Issue 48: responses to requests sent ahead filled the memory."""

    async def run() -> None:
        connection, transport = connect_unread(respond)
        connection.data_received(SHORT_GET * REQUESTS_AHEAD)
        await run_ready_tasks()
        limit = http1_server.MAX_UNSENT_BYTES + 2 * RESPONSE_BYTES
        assert transport.get_write_buffer_size() <= limit
        received = b''
        while data := transport.read():
            received += data
            await run_ready_tasks()
        assert received.count(b'HTTP/1.1 200') == REQUESTS_AHEAD
        assert transport.reading

    asyncio.run(run())


CALLERS = 40
INPUT_BYTES = 500_000


def test_what_all_callers_send_early_has_a_bound_together() -> None:
    """Issue 48: it had one for each connection only."""
    held = asyncio.Event()

    async def handler(
        request: http1_server.Request, response: http1_server.ResponseWriter
    ) -> None:
        await held.wait()
        await respond(request, response)

    async def run() -> None:
        memory = Memory(input_bytes=INPUT_BYTES)
        held.clear()
        callers = [connect_unread(handler, memory) for _ in range(CALLERS)]
        for connection, _ in callers:
            connection.data_received(SHORT_GET)
            connection.data_received(SHORT_GET * REQUESTS_AHEAD)
        early = [len(connection._input) for connection, _ in callers]
        assert sum(early) <= memory.input.held <= memory.input.limit
        assert 0 < early.count(0) < CALLERS
        held.set()
        for (_, transport), kept in zip(callers, early, strict=True):
            await run_ready_tasks()
            response = transport.read()
            assert response.count(b'HTTP/1.1 200')
            assert kept or b'connection: close' in response
            transport.close()
        for connection, _ in callers:
            connection.connection_lost(None)
        await run_ready_tasks()
        assert memory.input.held == memory.bodies.held == 0

    asyncio.run(run())


SHORT_HEADERS = 1_500


def test_heads_of_many_short_headers_count_with_what_they_take() -> None:
    """A head within its limit takes forty times its size once parsed."""

    async def run() -> None:
        memory = Memory(input_bytes=INPUT_BYTES)
        taken = []
        head = (
            b'GET / HTTP/1.1\r\nHost: x\r\n'
            + b'a:b\r\n' * SHORT_HEADERS
            + b'\r\n'
        )

        async def handler(
            request: http1_server.Request,
            response: http1_server.ResponseWriter,
        ) -> None:
            taken.append(memory.input.held)
            await asyncio.Event().wait()

        callers = [connect_unread(handler, memory) for _ in range(2)]
        for connection, _ in callers:
            connection.data_received(head)
            await run_ready_tasks()
        assert len(taken) == 1
        assert taken[0] > SHORT_HEADERS * caller_memory.HEADER_BYTES / 2
        assert callers[1][1].written.startswith(b'HTTP/1.1 503')

    asyncio.run(run())


def test_a_body_in_small_chunks_takes_no_more_than_its_size() -> None:
    """Issue 48: each chunk was kept as an object of its own."""
    size = 50_000

    async def run() -> None:
        connection, _ = connect_unread(respond)
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        piece = b'2\r\nxx\r\n' * 1_000
        tracemalloc.start()
        for _ in range(size // 2_000):
            connection.data_received(piece)
        taken, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert taken < 2 * size

    asyncio.run(run())


BODIES = 20


def test_bodies_in_small_chunks_leave_the_loop_to_others() -> None:
    """Issue 48: a hundred callers held it for ten seconds."""

    async def run() -> None:
        memory = Memory()
        server = make_server(respond, memory)
        transports = [UnreadTransport() for _ in range(BODIES)]
        connections = [connect_to(server, x) for x in transports]
        chunks = b'1\r\nx\r\n' * 500
        head = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked'
        for connection in connections:
            connection.data_received(
                head + b'\r\n\r\n' + chunks + b'0\r\n\r\n'
            )
        bytes_a_turn = []
        received = 0
        while any(not x.written for x in transports):
            before = received
            received = sum(len(x._body) for x in connections)
            bytes_a_turn.append(max(0, received - before))
            await asyncio.sleep(0)
        assert (
            max(bytes_a_turn)
            <= 2 * turn_budget.LIMIT // turn_budget.EVENT_COST
        )
        for transport in transports:
            assert transport.written.startswith(b'HTTP/1.1 200')

    asyncio.run(run())


LARGE_RESPONSE_BYTES = 60_000


async def respond_largely(
    request: http1_server.Request, response: http1_server.ResponseWriter
) -> None:
    """Respond at once with more than is sent to a slow reader."""
    response.start(200, [(b'content-length', b'%d' % LARGE_RESPONSE_BYTES)])
    response.write(b'x' * LARGE_RESPONSE_BYTES)
    response.end()


def test_what_all_callers_leave_unread_has_a_bound_together() -> None:
    """Issue 48: large responses stayed for callers that never read them."""

    async def run() -> None:
        memory = Memory(input_bytes=INPUT_BYTES)
        callers = [
            connect_unread(respond_largely, memory) for _ in range(CALLERS)
        ]
        for connection, _ in callers:
            connection.data_received(SHORT_GET)
            await run_ready_tasks()
        unsent = [len(x.written) for _, x in callers if not x.lost]
        assert 0 < sum(unsent) <= memory.input.held <= INPUT_BYTES
        assert all(size > LARGE_RESPONSE_BYTES for size in unsent)

    asyncio.run(run())


@pytest.mark.parametrize('request_count', [1, 2])
def test_a_connection_that_is_never_read_ends(
    request_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whether or not more requests wait, and also once it is closed."""
    moment = datetime.timedelta(milliseconds=5)
    monkeypatch.setattr(reader_watch, 'CHECK_INTERVAL', moment)
    monkeypatch.setattr(reader_watch, 'STALL_TIMEOUT', 4 * moment)

    async def run() -> None:
        memory = Memory()
        connection, transport = connect_unread(respond_largely, memory)
        connection.data_received(SHORT_GET * request_count)
        async with asyncio.timeout(5):
            while not transport.lost:
                await asyncio.sleep(0.001)
        await run_ready_tasks()
        assert memory.input.held == 0

    asyncio.run(run())


def test_a_slow_reader_that_goes_on_keeps_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has its response whole, however long that takes."""
    moment = datetime.timedelta(milliseconds=25)
    monkeypatch.setattr(reader_watch, 'CHECK_INTERVAL', moment)
    monkeypatch.setattr(reader_watch, 'STALL_TIMEOUT', 80 * moment)

    async def run() -> None:
        connection, transport = connect_unread(respond_largely)
        connection.data_received(SHORT_GET)
        await run_ready_tasks()
        received = b''
        while transport.written:
            received += transport.written[:600]
            transport.written = transport.written[600:]
            await asyncio.sleep(moment.total_seconds())
        assert not transport.lost
        assert received.endswith(b'x' * LARGE_RESPONSE_BYTES)

    asyncio.run(run())
