"""An HTTP/1.1 server on the process's own loop, over the parser h11.

A request is read whole before it is handed on.  The task that answers
it is cancelled as soon as the caller closes its connection, also
before the first byte of the answer.
"""

import asyncio
from collections import abc
import dataclasses
import datetime
import http
import socket
import typing

import h11

from aspenfold._internal.gateway import plan
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

MAX_UNSENT_BYTES = 65_536
"""Bytes that may wait for a slow reader before its answer pauses."""

SLOW_READER_TIMEOUT = datetime.timedelta(seconds=10)
"""How long an answer may wait for its reader; over every timeout."""

MAX_PIPELINED_BYTES = 65_536
"""Bytes of a next request that may wait while one is answered."""

TCP_USER_TIMEOUT_MS = 10_000
"""How long sent bytes may stay unacknowledged by a caller."""

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A whole request; header names are in lower case.

    ``remote_ip`` is the IP address that it came from.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: datetime.datetime
    connection_reused: bool
    remote_ip: str = ''

    def header(self, name: bytes) -> bytes:
        """Return the header's value, empty if it is absent."""
        for known, value in self.headers:
            if known == name:
                return value
        return b''


class CallerDisconnected(Exception):
    """The caller closed its connection or does not read."""


class ResponseWriter(typing.Protocol):
    """Where the answer to one request is written."""

    @property
    def started(self) -> bool:
        """Whether the head was sent."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the head; without a length the body is chunked."""

    def write(self, body: bytes) -> None:
        """Send a piece of the body."""

    def end(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """End the connection so that the answer looks incomplete."""

    async def drain(self) -> None:
        """Wait until the caller has read enough.

        Raises CallerDisconnected.
        """


RequestHandler = abc.Callable[[Request, ResponseWriter], abc.Awaitable[None]]


class ConnectionOwner(typing.Protocol):
    """What a connection needs of its server."""

    clock: clock_module.Clock
    handler: RequestHandler
    closing: bool
    connections: 'set[ServerConnection]'

    def limits(self) -> plan.Limits:
        """Return the limits that are in force now."""


class ServerConnection(asyncio.Protocol):
    """One caller's connection: requests in, answers out, in order."""

    def __init__(self, *, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._limits = owner.limits()
        self._parser = self._new_parser()
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._served = 0
        self._receiving = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._remote_ip = ''
        self.started = False

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.header_bytes + 1024,
        )

    # -- called by the loop ----------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
        peer = transport.get_extra_info('peername')
        if peer is not None:
            self._remote_ip = peer[0]
        self._owner.connections.add(self)
        self._wait(self._limits.idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Parse; a request that is complete starts its task."""
        self._parser.receive_data(data)
        if self._task is not None:
            if len(self._parser.trailing_data[0]) > MAX_PIPELINED_BYTES:
                self._pause()
            return
        if not self._receiving:
            self._receiving = True
            self._wait(self._limits.header_timeout)
        self._parse()

    def eof_received(self) -> bool:
        """The caller sends no more: it has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller is gone; its request is given up."""
        self._owner.connections.discard(self)
        self._stop_timer()
        self._writable.set()
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """The caller reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """The caller has read enough."""
        self._writable.set()

    # -- requests --------------------------------------------------------

    def _parse(self) -> None:
        try:
            self._parse_events()
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint or 400)

    def _parse_events(self) -> None:
        while self._task is None and self._transport is not None:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._continue_if_asked()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._start()

    def _take_head(self, head: h11.Request) -> None:
        size = sum(len(n) + len(v) + 4 for n, v in head.headers)
        if size + len(head.target) > self._limits.header_bytes:
            self._refuse(431)
            return
        self._head = head
        self._body = []
        self._body_bytes = 0
        for name, value in head.headers:
            too_long = (
                name == b'content-length'
                and int(value) > self._limits.body_bytes
            )
            if too_long:
                self._refuse(413)
        self._wait(self._limits.idle_timeout)

    def _take_body(self, data: bytes) -> None:
        self._body.append(bytes(data))
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(413)

    def _continue_if_asked(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _start(self) -> None:
        self._stop_timer()
        head = self._head
        assert head is not None
        request = Request(
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            body=b''.join(self._body),
            received_at=self._owner.clock.now(),
            connection_reused=self._served > 0,
            remote_ip=self._remote_ip,
        )
        self._body = []
        self.started = False
        self._served += 1
        self._task = self._loop.create_task(self._answer(request))

    async def _answer(self, request: Request) -> None:
        try:
            await self._owner.handler(request, self)
        except CallerDisconnected:
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception as exc:
            events.emit(events.Event.UNEXPECTED, error=repr(exc))
            self._fail()
        finally:
            self._task = None
        self._next_request()

    def _fail(self) -> None:
        if self.started:
            self.abort()
            return
        self._short_answer(500)

    def _next_request(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        parser = self._parser
        if not (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        ):
            self._transport.close()
            return
        parser.start_next_cycle()
        self._limits = self._owner.limits()
        self._receiving = bool(parser.trailing_data[0])
        self._wait(self._limits.idle_timeout)
        self._transport.resume_reading()
        self._parse()

    def _refuse(self, status: int) -> None:
        """Refuse what is not a proper request, and close."""
        self._stop_timer()
        if not self.started:
            self._short_answer(status)
        if self._transport is not None:
            self._transport.close()

    def _short_answer(self, status: int) -> None:
        phrase = http.HTTPStatus(status).phrase.encode()
        headers = [
            (b'content-length', str(len(phrase)).encode()),
            (b'content-type', b'text/plain'),
            (b'connection', b'close'),
        ]
        try:
            self.start(status, headers)
            self.write(phrase)
            self.end()
        except h11.LocalProtocolError:
            # The answer had begun, or the request is beyond repair.
            self.abort()

    def _pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    # -- timers ----------------------------------------------------------

    def _wait(self, limit: datetime.timedelta) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(
            limit.total_seconds(), self._timed_out
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self._receiving:
            self._refuse(408)
        elif self._transport is not None:
            self._transport.close()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head; without a length the body is chunked."""
        reason = http.HTTPStatus(status).phrase.encode()
        if self._owner.closing:
            headers = [*headers, (b'connection', b'close')]
        self.started = True
        self._send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    def write(self, body: bytes) -> None:
        """Send a piece of the body."""
        self._send(h11.Data(data=body))

    def end(self) -> None:
        """End the answer as complete."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """End the connection so that the answer looks incomplete."""
        if self._transport is not None:
            self._transport.close()

    async def drain(self) -> None:
        """Wait until the caller has read enough.

        Raises CallerDisconnected.
        """
        if self._writable.is_set():
            return
        try:
            async with asyncio.timeout(SLOW_READER_TIMEOUT.total_seconds()):
                await self._writable.wait()
        except TimeoutError:
            raise CallerDisconnected from None
        if self._transport is None:
            raise CallerDisconnected

    def _send(self, event: typing.Any) -> None:
        data = self._parser.send(event)
        transport = self._transport
        # A write that failed shows here before connection_lost is called.
        if data and transport is not None and not transport.is_closing():
            transport.write(data)

    # -- for the server --------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._task is None and not self._receiving

    def close_if_idle(self) -> None:
        """Close a kept connection on which no request is under way."""
        if self.idle and self._transport is not None:
            self._transport.close()


class Server:
    """Listens on one address."""

    def __init__(
        self,
        *,
        handler: RequestHandler,
        clock: clock_module.Clock,
        limits: abc.Callable[[], plan.Limits],
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port, which may have been given as 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(owner=self),
            host,
            port,
            backlog=ACCEPT_BACKLOG,
            reuse_address=True,
        )
        return int(self._server.sockets[0].getsockname()[1])

    def close_idle(self) -> None:
        """Close connections that wait for a next request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


ACCEPT_BACKLOG = 512
"""Connections that may wait to be accepted: a burst of all callers."""
