"""An HTTP/1.1 server that lets stand-ins send malformed responses."""

import asyncio
from collections import abc
import dataclasses
import socket
import struct
import time
import typing

import h11

LINGER_RESET = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""


@dataclasses.dataclass
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float = 0.0
    """When the body was complete, in seconds of ``time.monotonic``."""


class Exchange:
    """A request and the connection on which to respond."""

    def __init__(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.request = request
        self._writer = writer

    async def write(self, data: bytes) -> None:
        """Write raw bytes to the connection."""
        self._writer.write(data)
        await self._writer.drain()

    async def respond(
        self,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> None:
        """Write a complete, well-formed response."""
        lines = [f'HTTP/1.1 {status} Status']
        lines += [f'{n}: {v}' for n, v in (headers or {}).items()]
        lines += [f'content-length: {len(body)}', '', '']
        await self.write('\r\n'.join(lines).encode() + body)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self._writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    @property
    def closed(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._writer.is_closing()


Handler = abc.Callable[[Exchange], abc.Awaitable[None]]


PORT_RETRY_S = 0.1

Listener = typing.TypeVar('Listener')


async def listen_again(
    listen: abc.Callable[[], abc.Awaitable[Listener]],
) -> Listener:
    """Listen on a port as before, once no connection of this host has it."""
    while True:
        try:
            return await listen()
        except OSError:
            await asyncio.sleep(PORT_RETRY_S)


class Server:
    """Reads complete requests and passes each to ``handler``."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.connection_count = 0

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback address; port 0 picks a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def start_again(self) -> None:
        """Listen on the same port as before, once no connection has it."""
        await listen_again(lambda: self.start(self.port))

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open stay."""
        assert self._server is not None
        self._server.close()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                request = await _read_request(reader)
                if request is None:
                    break
                await self._run_handler(Exchange(request, writer), reader)
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        except asyncio.CancelledError:
            # The event loop shuts down at the end of a test.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run_handler(
        self, exchange: Exchange, reader: asyncio.StreamReader
    ) -> None:
        """Run the handler until it returns or the client disconnects."""
        handling = asyncio.ensure_future(self._handler(exchange))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            {handling, disconnected}, return_when='FIRST_COMPLETED'
        )
        if not handling.done():
            handling.cancel()
            await asyncio.gather(
                handling, disconnected, return_exceptions=True
            )
            raise ConnectionResetError
        disconnected.cancel()
        await asyncio.gather(disconnected, return_exceptions=True)
        handling.result()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    parser = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65536)
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(
                method=head.method.decode(),
                target=head.target.decode(),
                headers={n.decode(): v.decode() for n, v in head.headers},
                body=body,
                arrived_at=time.monotonic(),
            )
        else:
            return None
