"""One HTTP/1.1 connection to a server, on the process's own loop.

The parser is h11; this module moves bytes between it and a socket.
"""

import asyncio
import collections
import socket
import typing

import h11

MAX_BUFFERED_BYTES = 262_144
"""Bytes received and not yet read at which reading pauses."""

MAX_HEAD_BYTES = 65_536
"""Largest head of an answer; larger ones count as broken."""

TCP_USER_TIMEOUT_MS = 4_000
"""How long sent bytes may stay unacknowledged: over the 1.5 s for which
endpoints stall, under the 8 s that callers wait."""

Headers = list[tuple[bytes, bytes]]

ResponseHead = h11.Response
"""Status and headers of an answer, see h11."""


class ConnectionLost(Exception):
    """The connection ended, or what came on it is not HTTP."""


class NotConnected(Exception):
    """No connection was made, so nothing was sent on it."""


class Connection(asyncio.Protocol):
    """Sends requests one after the other and gives their answers."""

    def __init__(self) -> None:
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._received: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._ended = False
        self._reset = False
        self._paused = False

    # -- called by the loop ----------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; bytes go out without delay."""
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
        """Keep bytes until they are asked for, up to a bound."""
        self._received.append(data)
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """The server sends no more."""
        self._ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; ``exc`` tells of a reset."""
        if exc is not None and not self._ended:
            self._reset = True
        self._ended = True
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # -- for callers -----------------------------------------------------

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            not self._ended
            and not self._received
            and self._parser.our_state is h11.IDLE
        )

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request; ``headers`` frame the body."""
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._parser.send(request) or b'']
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b'')
        parts.append(self._parser.send(h11.EndOfMessage()) or b'')
        if self._transport is not None and not self._ended:
            self._transport.write(b''.join(parts))

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer, past informational ones."""
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost(f'unexpected {event!r:.60}')

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the answer's body, None at its end."""
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLost(f'unexpected {event!r:.60}')

    async def request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> tuple[int, bytes]:
        """Send a request; return its answer's status and whole body.

        The connection is closed if that fails, else ready for the next.
        """
        try:
            self.send(method, target, headers, body)
            head = await self.read_head()
            parts = []
            while (data := await self.read_data()) is not None:
                parts.append(data)
        except BaseException:
            self.close()
            raise
        self.reset_for_reuse()
        return head.status_code, b''.join(parts)

    def reset_for_reuse(self) -> None:
        """Make the connection ready for the next request, if it can be."""
        if (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._parser.trailing_data[0]
        ):
            self._parser.start_next_cycle()
        else:
            self.close()

    def close(self) -> None:
        """Close at once; a request in progress is given up."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    async def _next(self) -> typing.Any:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise ConnectionLost(f'not HTTP: {exc}') from exc
            if event is h11.NEED_DATA:
                await self._feed()
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLost('closed before the end of the answer')
            return event

    async def _feed(self) -> None:
        """Hand the parser more bytes, or the end of the stream."""
        while not self._received:
            if self._reset:
                raise ConnectionLost('reset before the end of the answer')
            if self._ended:
                self._parser.receive_data(b'')
                return
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = self._received.popleft()
        self._buffered -= len(data)
        if self._paused and self._buffered <= MAX_BUFFERED_BYTES // 2:
            self._paused = False
            if self._transport is not None and not self._ended:
                self._transport.resume_reading()
        self._parser.receive_data(data)


async def connect(
    host: str, port: int, timeout_s: float, *, local_host: str = ''
) -> Connection:
    """Open a connection, or raise :class:`NotConnected`.

    It comes from the IP address ``local_host``, if that is given.
    """
    loop = asyncio.get_running_loop()
    local = (local_host, 0) if local_host else None
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                Connection, host, port, local_addr=local
            )
    except TimeoutError:
        raise NotConnected(f'no answer in {timeout_s} s') from None
    except OSError as exc:
        raise NotConnected(str(exc)) from exc
    return connection
