"""HTTP/1.1 server on asyncio, parsed by h11.

The handler is called with a complete request.  Its task is cancelled
as soon as the caller closes the connection, even if the response has
not started.
"""

import asyncio
from collections import abc
import dataclasses
import datetime
import http
import socket
import struct
import typing

import h11

from aspenfold._internal.gateway import plan
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import caller_memory
from aspenfold._internal.network import connection_table
from aspenfold._internal.network import hangup_watch
from aspenfold._internal.network import input_buffer
from aspenfold._internal.network import reader_watch
from aspenfold._internal.network import turn_budget
from aspenfold._internal.observability import events

MAX_UNSENT_BYTES = 16_384
"""Writing a response pauses while more bytes wait to be sent."""

PARSED_AT_ONCE_BYTES = 8_192
"""Size of the pieces in which received bytes get to the parser."""

TCP_USER_TIMEOUT_MS = 10_000
"""The connection is reset if sent bytes stay unacknowledged for longer."""

UNREAD_CLOSE_DELAY = datetime.timedelta(milliseconds=200)
"""Time for a caller to read the response to a request that is not read."""

UNREAD_BYTES = 65_536
"""What the system holds, at least, for a connection that is not read."""

LINGER_RESET = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

LINGER_DEFAULT = struct.pack('ii', 0, 0)

Headers = caller_memory.Headers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request with lower-case header names.

    ``connection_reused`` is True if the connection has carried an
    earlier request; ``remote_ip`` is the peer's IP address.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: datetime.datetime
    connection_reused: bool
    remote_ip: str = ''

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes."""
        for key, value in self.headers:
            if key == name:
                return value
        return b''


class CallerDisconnected(Exception):
    """The caller closed its connection or stopped reading."""


class ResponseWriter(typing.Protocol):
    """Writes the response to one request."""

    @property
    def started(self) -> bool:
        """Whether the status line and headers were sent."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the head.

        Without a content-length the body is chunked, or ends with the
        connection if the caller speaks HTTP/1.0.
        """

    def write(self, body: bytes) -> None:
        """Send a part of the body."""

    def end(self) -> None:
        """Mark the response as complete."""

    def abort(self) -> None:
        """Close the connection, leaving the response incomplete."""

    async def drain(self) -> None:
        """Wait while the write buffer is over its limit.

        Raises CallerDisconnected.
        """


RequestHandler = abc.Callable[[Request, ResponseWriter], abc.Awaitable[None]]


class ConnectionOwner(typing.Protocol):
    """The server as its connections use it."""

    clock: clock_module.Clock
    handler: RequestHandler
    memory: caller_memory.CallerMemory
    closing: bool
    hangups: hangup_watch.HangupWatch
    turns: turn_budget.TurnBudget
    connections: 'connection_table.ConnectionTable[ServerConnection]'

    def limits(self) -> plan.Limits:
        """Return the current size limits and timeouts."""


class ServerConnection(asyncio.Protocol):
    """A caller's connection; serves its requests one after the other."""

    def __init__(self, *, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._limits = owner.limits()
        self._parser = self._new_parser()
        self._input = input_buffer.InputBuffer()
        self._reading_paused = False
        self._transport: asyncio.Transport | None = None
        self._reader: reader_watch.ReaderWatch | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._body_memory = caller_memory.Reservation(
            budget=owner.memory.bodies
        )
        self._head_memory = caller_memory.Reservation(
            budget=owner.memory.input
        )
        self._input_memory = caller_memory.Reservation(
            budget=owner.memory.input
        )
        self._task: asyncio.Task[None] | None = None
        self._awaits_reader = False
        self._awaits_turn = False
        self._closes_after_response = False
        self._timer: asyncio.TimerHandle | None = None
        self._request_count = 0
        self._receiving = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._remote_ip = ''
        self._resets_on_close = False
        self._refused = False
        self.started = False

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.header_bytes + 1024,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and start the idle timer."""
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
        self._reader = reader_watch.ReaderWatch(
            transport=self._transport,
            budget=self._owner.memory.input,
            remote_ip=self._remote_ip,
        )
        self._start_timer(self._limits.idle_timeout)
        surplus = self._owner.connections.add(self)
        if surplus is not None:
            surplus.close_for_another()

    def data_received(self, data: bytes) -> None:
        """Parse ``data`` and start the handler of a complete request.

        What comes during a request is kept until its response is sent; no
        more is read then, so that the caller waits, too.
        """
        self._input.put(data)
        if not (self._is_responding or self._awaits_turn):
            if not self._receiving:
                self._receiving = True
                self._start_timer(self._limits.header_timeout)
            self._parse()
        if self._is_open():
            self._hold_input()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._owner.connections.remove(self)
        self._watch_hangup(False)
        self._stop_timer()
        if self._reader is not None:
            self._reader.stop()
        self._writable.set()
        self._transport = None
        self._drop_input()
        if self._task is None:
            self._drop_request()
            return
        # A task that is cancelled before its first step does nothing itself.
        self._task.add_done_callback(lambda _: self._drop_request())
        self._task.cancel()

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let :meth:`drain` return, or go on with the next request."""
        self._writable.set()
        if self._awaits_reader:
            self._awaits_reader = False
            self._next_request()

    @property
    def _is_responding(self) -> bool:
        """Whether a response is due, or not sent yet."""
        return self._task is not None or self._awaits_reader

    def _parse(self) -> None:
        try:
            self._parse_events()
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint or 400)

    def _parse_events(self) -> None:
        while self._task is None and self._is_open():
            if self._owner.turns.is_spent:
                self._awaits_turn = True
                self._pause_reading()
                self._owner.turns.wait(self._parse_in_turn)
                return
            event = self._parser.next_event()
            self._owner.turns.spend(turn_budget.EVENT_COST)
            if event is h11.NEED_DATA:
                piece = self._input.take(PARSED_AT_ONCE_BYTES)
                if not piece:
                    self._send_continue_if_expected()
                    self._resume_reading()
                    return
                self._parser.receive_data(piece)
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self._on_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._start_handler()

    def _parse_in_turn(self) -> None:
        """Go on with what was received, in a later turn of the loop."""
        self._awaits_turn = False
        if not self._is_open():
            return
        self._parse()
        if self._is_open():
            self._hold_input()

    def _is_open(self) -> bool:
        """Return whether nothing has closed the connection, as a refusal."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._refused
        )

    def _on_head(self, head: h11.Request) -> None:
        headers = list(head.headers)
        size = caller_memory.head_bytes(head.target, headers)
        self._owner.turns.spend(size)
        if size > self._limits.header_bytes:
            self._reject(431)
            return
        self._head = head
        self._body.clear()
        length = 0
        for name, value in headers:
            if name == b'content-length':
                length = int(value)
        if length > self._limits.body_bytes:
            self._reject(413)
            return
        self._start_timer(self._limits.idle_timeout)
        taken = caller_memory.parsed_head_bytes(head.target, headers)
        if not (
            self._head_memory.resize(taken)
            and self._body_memory.resize(length)
        ):
            self._refuse_unread()

    def _on_body(self, data: bytes) -> None:
        self._body += data
        size = len(self._body)
        if size > self._limits.body_bytes:
            self._reject(413)
        elif size > self._body_memory.size and not self._body_memory.resize(
            size
        ):
            self._refuse_unread()

    def _refuse_unread(self) -> None:
        """Refuse a request for which there is no memory."""
        self._stop_timer()
        headers = [] if self._head is None else list(self._head.headers)
        refusal = self._owner.memory.refuse(headers)
        self._drop_request()
        self._send_whole_response(
            refusal.status, refusal.headers, refusal.body
        )
        self._close_unread()

    def _hold_input(self) -> None:
        """Keep what came early, or an incomplete head, if there is room.

        Nothing is read before it is used.  The connection is closed where
        there is no room; a request in progress has its response first.
        """
        early = len(self._input)
        incomplete = 0
        if early:
            self._pause_reading()
        elif self._receiving and self._head is None:
            incomplete = len(self._parser.trailing_data[0])
        if early and self._is_responding:
            early += UNREAD_BYTES
            if self._task is not None:
                self._owner.connections.note_ahead(self)
        else:
            # The rest of a body has its memory already.
            early -= min(early, self._body_memory.size - len(self._body))
        if self._input_memory.resize(early + incomplete):
            return
        self._drop_input()
        if self._is_responding:
            self._closes_after_response = True
            return
        self._refuse_unread()

    def _drop_request(self) -> None:
        """Give back the memory of the request that has ended."""
        self._body.clear()
        self._body_memory.resize(0)
        self._head_memory.resize(0)

    def _drop_input(self) -> None:
        self._input.clear()
        self._input_memory.resize(0)

    def _close_unread(self) -> None:
        """Close a connection whose request is not read to its end.

        A close resets it if bytes are unread, and the response may be lost
        then, so that the caller gets some time to read it.
        """
        transport = self._transport
        if transport is None:
            return
        self._pause_reading()
        transport.write_eof()
        self._refused = True
        self._loop.call_later(UNREAD_CLOSE_DELAY.total_seconds(), self._close)

    def _send_continue_if_expected(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _start_handler(self) -> None:
        self._stop_timer()
        head = self._head
        assert head is not None
        request = Request(
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            body=bytes(self._body),
            received_at=self._owner.clock.now(),
            connection_reused=self._request_count > 0,
            remote_ip=self._remote_ip,
        )
        self._body.clear()
        self.started = False
        self._request_count += 1
        self._owner.connections.begin_request(self)
        self._task = self._loop.create_task(self._handle(request))

    async def _handle(self, request: Request) -> None:
        try:
            await self._owner.handler(request, self)
        except CallerDisconnected:
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception as exc:
            events.emit(events.Event.UNEXPECTED, error=repr(exc))
            self._send_internal_error()
        finally:
            self._task = None
            self._drop_request()
            self._owner.connections.end_request(self)
        self._next_request()

    def _send_internal_error(self) -> None:
        if self.started:
            self.abort()
            return
        self._send_short_response(500)

    def _next_request(self) -> None:
        """Go on once the caller has most of the last response."""
        if self._transport is None or not self._is_open():
            return
        if self._reader is not None:
            self._reader.start()
        if not self._is_open():
            return
        if not self._writable.is_set():
            self._awaits_reader = True
            return
        parser = self._parser
        if self._closes_after_response or not (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        ):
            self._close()
            return
        parser.start_next_cycle()
        self._head = None
        self._limits = self._owner.limits()
        self._receiving = bool(self._input or parser.trailing_data[0])
        self._start_timer(self._limits.idle_timeout)
        self._parse()
        if self._is_open():
            self._hold_input()

    def _reject(self, status: int) -> None:
        """Respond to an invalid request with ``status``, and close."""
        self._stop_timer()
        self._drop_request()
        if not self.started:
            self._send_short_response(status)
        self._close()

    def _send_short_response(self, status: int) -> None:
        phrase = http.HTTPStatus(status).phrase.encode()
        self._send_whole_response(status, [], phrase)

    def _send_whole_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a short text, the last response of the connection."""
        headers = [
            *headers,
            (b'content-length', str(len(body)).encode()),
            (b'content-type', b'text/plain'),
            (b'connection', b'close'),
        ]
        try:
            self.start(status, headers)
            self.write(body)
            self.end()
        except h11.LocalProtocolError:
            # h11 accepts no response in this state.
            self.abort()

    def _close(self) -> None:
        """Close the connection once the caller has what is unsent."""
        if self._transport is None:
            return
        self._transport.close()
        if self._reader is not None:
            self._reader.start()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
            self._watch_hangup(True)

    def _resume_reading(self) -> None:
        if self._transport is not None and self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
            self._watch_hangup(False)

    def _watch_hangup(self, watches: bool) -> None:
        """Watch for the end of a caller from whom nothing is read."""
        transport = self._transport
        if transport is None:
            return
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        if watches:
            self._owner.hangups.add(sock, transport.abort)
        else:
            self._owner.hangups.remove(sock)

    def _start_timer(self, timeout: datetime.timedelta) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(
            timeout.total_seconds(), self._on_timeout
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._receiving:
            self._reject(408)
        else:
            self._close()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head.

        Without a content-length the body is chunked, or ends with the
        connection if the caller speaks HTTP/1.0.
        """
        reason = http.HTTPStatus(status).phrase.encode()
        if self._owner.closing or self._closes_after_response:
            headers = [*headers, (b'connection', b'close')]
        self.started = True
        self._resets_on_close = self._ends_with_connection(headers)
        if self._resets_on_close:
            # The end of this process before end() is a reset, too.
            self._set_linger(LINGER_RESET)
        self._send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    def write(self, body: bytes) -> None:
        """Send a part of the body; a response to HEAD has none."""
        if self._head is not None and self._head.method == b'HEAD':
            return
        self._send(h11.Data(data=body))

    def end(self) -> None:
        """Mark the response as complete."""
        self._send(h11.EndOfMessage())
        if self._resets_on_close:
            self._resets_on_close = False
            self._set_linger(LINGER_DEFAULT)

    def _ends_with_connection(self, headers: Headers) -> bool:
        """Return whether an orderly close would complete the response."""
        version = self._parser.their_http_version or b''
        has_length = any(name == b'content-length' for name, _ in headers)
        return version < b'1.1' and not has_length

    def _set_linger(self, value: bytes) -> None:
        if self._transport is None:
            return
        sock = self._transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def abort(self) -> None:
        """Close the connection, leaving the response incomplete.

        If an orderly close would complete it, the connection is reset.
        """
        self._close()

    async def drain(self) -> None:
        """Wait while the write buffer is over its limit.

        Raises CallerDisconnected.
        """
        if self._writable.is_set():
            return
        try:
            async with asyncio.timeout(
                reader_watch.STALL_TIMEOUT.total_seconds()
            ):
                await self._writable.wait()
        except TimeoutError:
            raise CallerDisconnected from None
        if self._transport is None:
            raise CallerDisconnected

    def _send(self, event: typing.Any) -> None:
        data = self._parser.send(event)
        # After a failed write the transport is closing, but
        # connection_lost has not been called yet.
        if data and self._transport is not None and self._is_open():
            self._transport.write(data)

    @property
    def idle(self) -> bool:
        """Whether no request is being received or served."""
        return self._task is None and not self._receiving

    @property
    def busy(self) -> bool:
        """Whether a response is due, or the system has yet to take some."""
        transport = self._transport
        return self._task is not None or (
            transport is not None and transport.get_write_buffer_size() > 0
        )

    def close_for_another(self) -> None:
        """Close the connection, as there is no room for another one.

        A request in progress has its response first.
        """
        events.emit(
            events.Event.CONNECTION_CLOSED,
            remote=self._remote_ip,
            requests=self._request_count,
            connections=self._owner.connections.limit,
        )
        self._closes_after_response = True
        transport = self._transport
        if transport is None or self._task is not None:
            return
        if transport.get_write_buffer_size() > 0:
            transport.abort()
        else:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection if it is idle."""
        if self.idle:
            self._close()


class Server:
    """Accepts connections on one address.

    Set ``closing`` to have responses ask callers to close their
    connections.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        clock: clock_module.Clock,
        limits: abc.Callable[[], plan.Limits],
        memory: caller_memory.CallerMemory,
        max_connections: int,
    ) -> None:
        """Keep up to ``max_connections`` open."""
        self.handler = handler
        self.memory = memory
        self.clock = clock
        self.limits = limits
        self.closing = False
        self.hangups = hangup_watch.HangupWatch()
        self.turns = turn_budget.TurnBudget()
        self.connections: connection_table.ConnectionTable[
            ServerConnection
        ] = connection_table.ConnectionTable(limit=max_connections)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port, which 0 leaves to the system."""
        loop = asyncio.get_running_loop()
        sock = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._server = await loop.create_server(
            lambda: ServerConnection(owner=self),
            sock=sock,
            backlog=MAX_ACCEPTED_PER_TURN,
        )
        # The loop has taken its own limit for the system's queue, too.
        sock.listen(LISTEN_BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    def count_busy(self) -> int:
        """Return how many connections would be cut if the process ended."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections that are idle."""
        for connection in self.connections:
            connection.close_if_idle()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()


LISTEN_BACKLOG = 512
"""Connections that the system queues until they are accepted."""

MAX_ACCEPTED_PER_TURN = 16
"""Connections that a turn of the loop accepts.  Those for which there is no
room are closed some turns later."""
