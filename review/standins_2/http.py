"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections import abc

MAX_HEAD_BYTES = 65_536

LINGER_RESET = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

REASONS = {200: 'OK', 421: 'Misdirected Request'}

Headers = list[tuple[str, str]]


class Closed(Exception):
    """The peer closed or reset the connection."""


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: Headers
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty text."""
        for known, value in self.headers:
            if known == name.lower():
                return value
        return ''

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.start.split(' ')[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers; raises Closed."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise Closed from exc
    start, *lines = data[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name.strip().lower(), value.strip()))
    return Message(start=start, headers=headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request, with its body; raises Closed."""
    request = await read_head(reader)
    length = int(request.header('content-length') or 0)
    if length:
        try:
            request.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError) as exc:
            raise Closed from exc
    return request


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk, empty for the last one; raises Closed."""
    try:
        size = int((await reader.readuntil(b'\r\n')).strip() or b'0', 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, OSError, ValueError) as exc:
        raise Closed from exc
    return data[:-2]


def encode(start: str, headers: Headers, body: bytes = b'') -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    start = f'HTTP/1.1 {status} {REASONS.get(status, "Status")}'
    headers = [*headers, ('Content-Length', str(len(body)))]
    return encode(start, headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


Handler = abc.Callable[
    [Message, asyncio.StreamWriter], abc.Awaitable[bool | None]
]
"""Answers a request; returns False to close the connection."""


class Server:
    """Serves one request after the other on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.host = ''
        self.port = 0

    @property
    def address(self) -> str:
        """The address as the platform writes it."""
        return f'{self.host}:{self.port}'

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.host = host
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self._handler(request, writer) is False:
                    return
                await writer.drain()
        except (Closed, OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()
