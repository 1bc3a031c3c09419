"""HTTP/1.1 client connections on asyncio, parsed by h11."""

import asyncio
import collections
import socket
import typing

import h11

from aspenfold._internal.network import body_end

MAX_BUFFERED_BYTES = 262_144
"""Reading from the socket pauses while more unread bytes are buffered."""

MAX_HEAD_BYTES = 65_536
"""Responses whose status line and headers are larger are rejected; so are
lines of chunks and trailers."""

MAX_INTERIM_RESPONSES = 16
"""Responses with a status of 1xx that may come before the final one."""

MAX_BODY_BYTES = 4_194_304
"""Default size limit of a body that is read as a whole."""

PARSED_AT_ONCE_BYTES = 8_192

MAX_EVENTS_PER_TURN = 64
"""Heads, parts of bodies and ends that are parsed before other tasks run; a
peer may send them as fast as they are read."""

TCP_USER_TIMEOUT_MS = 4_000
"""The connection is reset if sent bytes stay unacknowledged for longer.

Longer than an endpoint may stall (1.5 s), shorter than callers wait (8 s).
"""

Headers = list[tuple[bytes, bytes]]

ResponseHead = h11.Response
"""Status and headers of a response."""


class ConnectionLost(Exception):
    """The connection ended early, or the peer sent invalid HTTP.

    ``end`` says in which way.
    """

    def __init__(self, detail: str, *, end: body_end.BodyEnd) -> None:
        super().__init__(detail)
        self.end = end


class NotConnected(Exception):
    """The connection could not be opened, so nothing was sent."""


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._received: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._closed = False
        self._reset = False
        self._abandoned = False
        self._paused = False
        self._events_this_turn = 0
        self._bytes_this_turn = 0
        self._method = b''
        self._complete_end = body_end.BodyEnd.LENGTH
        self.body_end: body_end.BodyEnd | None = None
        """How the last response's body ended, None while it is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options of the new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )

    def data_received(self, data: bytes) -> None:
        """Buffer ``data``; pause reading if too much is buffered."""
        for begin in range(0, len(data), PARSED_AT_ONCE_BYTES):
            self._received.append(data[begin : begin + PARSED_AT_ONCE_BYTES])
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the server has closed its side."""
        self._closed = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is closed; ``exc`` is set on a reset."""
        if exc is not None and not self._closed:
            self._reset = True
        self._closed = True
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    @property
    def reusable(self) -> bool:
        """Whether the connection is open, idle and has no unread bytes."""
        return (
            not self._closed
            and not self._received
            and self._parser.our_state is h11.IDLE
        )

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a request; ``headers`` must include the body's length."""
        self._method = method
        self.body_end = None
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._parser.send(request) or b'']
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b'')
        parts.append(self._parser.send(h11.EndOfMessage()) or b'')
        if self._transport is not None and not self._closed:
            self._transport.write(b''.join(parts))

    async def read_head(self) -> ResponseHead:
        """Return the final response's head, skipping 1xx responses.

        Raises ConnectionLost.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._complete_end = body_end.complete_end(event, self._method)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._lost(
                    f'unexpected {event!r:.60}', body_end.BodyEnd.INVALID
                )
        raise self._lost(
            f'over {MAX_INTERIM_RESPONSES} interim responses',
            body_end.BodyEnd.INVALID,
        )

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises ConnectionLost.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.body_end = self._complete_end
            return None
        raise self._lost(f'unexpected {event!r:.60}', body_end.BodyEnd.INVALID)

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> tuple[int, bytes]:
        """Send a request and return the response's status and body.

        Closes the connection on any error.  Raises ConnectionLost, also for
        a body that is larger than ``max_body_bytes``.
        """
        received = bytearray()
        try:
            self.send(method, target, headers, body)
            head = await self.read_head()
            while (data := await self.read_data()) is not None:
                received += data
                if len(received) > max_body_bytes:
                    raise self._lost(
                        f'body over {max_body_bytes} bytes',
                        body_end.BodyEnd.INVALID,
                    )
        except BaseException:
            self.close()
            raise
        self.reset_for_reuse()
        return head.status_code, bytes(received)

    def reset_for_reuse(self) -> None:
        """Prepare for the next request, or close if that is impossible."""
        if (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._parser.trailing_data[0]
        ):
            self._parser.start_next_cycle()
        else:
            self.close()

    def close(self) -> None:
        """Close at once, aborting a request in progress."""
        self._closed = True
        self._abandoned = True
        self._wake()
        if self._transport is not None:
            self._transport.abort()

    async def _next_event(self) -> typing.Any:
        while True:
            if (
                self._events_this_turn >= MAX_EVENTS_PER_TURN
                or self._bytes_this_turn >= PARSED_AT_ONCE_BYTES
            ):
                await asyncio.sleep(0)
                self._begin_turn()
            self._events_this_turn += 1
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._invalid(exc) from exc
            if event is h11.NEED_DATA:
                await self._feed_parser()
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise self._lost(
                    'connection closed before the end of the response',
                    body_end.BodyEnd.CUT,
                )
            return event

    def _begin_turn(self) -> None:
        """Note that other tasks have run."""
        self._events_this_turn = 0
        self._bytes_this_turn = 0

    def _invalid(self, exc: h11.RemoteProtocolError) -> ConnectionLost:
        """Return the error for what h11 rejected.

        h11 also rejects the end of the connection inside a response.
        """
        _, closed = self._parser.trailing_data
        end = body_end.BodyEnd.CUT if closed else body_end.BodyEnd.INVALID
        return self._lost(f'invalid HTTP from server: {exc}', end)

    def _lost(self, detail: str, end: body_end.BodyEnd) -> ConnectionLost:
        self.body_end = end
        return ConnectionLost(detail, end=end)

    async def _feed_parser(self) -> None:
        """Wait for bytes or the end of the stream, and pass them on."""
        while not self._received:
            if self._reset:
                raise self._lost(
                    'connection reset before the end of the response',
                    body_end.BodyEnd.RESET,
                )
            if self._abandoned:
                raise self._lost(
                    'connection closed by this side',
                    body_end.BodyEnd.ABANDONED,
                )
            if self._closed:
                self._parser.receive_data(b'')
                return
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._begin_turn()
        data = self._received.popleft()
        self._bytes_this_turn += len(data)
        self._buffered -= len(data)
        if self._paused and self._buffered <= MAX_BUFFERED_BYTES // 2:
            self._paused = False
            if self._transport is not None and not self._closed:
                self._transport.resume_reading()
        self._parser.receive_data(data)


async def connect(
    host: str, port: int, timeout_s: float, *, local_host: str = ''
) -> Connection:
    """Open a connection, from the IP address ``local_host`` if given.

    Raises NotConnected.
    """
    loop = asyncio.get_running_loop()
    local = (local_host, 0) if local_host else None
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                Connection, host, port, local_addr=local
            )
    except TimeoutError:
        raise NotConnected(
            f'connection not established within {timeout_s} s'
        ) from None
    except OSError as exc:
        raise NotConnected(str(exc)) from exc
    return connection
