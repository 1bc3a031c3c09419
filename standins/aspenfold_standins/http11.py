"""A plain HTTP/1.1 server for stand-ins that may misbehave at will."""

import asyncio
from collections import abc
import dataclasses
import socket
import struct
import time

import h11

LINGER_RESET = struct.pack('ii', 1, 0)


@dataclasses.dataclass
class Request:
    """A request as it came; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float = 0.0
    """When it was read whole, by the machine's steady clock, in s."""


class Exchange:
    """One request, and the socket on which anything may be written."""

    def __init__(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.request = request
        self._writer = writer

    async def write(self, data: bytes) -> None:
        """Write raw bytes."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> None:
        """Write a whole, well-formed answer."""
        lines = [f'HTTP/1.1 {status} Status']
        lines += [f'{n}: {v}' for n, v in (headers or {}).items()]
        lines += [f'content-length: {len(body)}', '', '']
        await self.write('\r\n'.join(lines).encode() + body)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self._writer.get_extra_info('socket')
        # Without lingering a close is a reset, not an orderly end.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    @property
    def closed(self) -> bool:
        """Whether the other side has closed."""
        return self._writer.is_closing()


Handler = abc.Callable[[Exchange], abc.Awaitable[None]]


class Server:
    """Reads whole requests; one handler answers all."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.connections = 0

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                request = await _read(reader)
                if request is None:
                    break
                await self._handle(Exchange(request, writer), reader)
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        except asyncio.CancelledError:
            # The test is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, exchange: Exchange, reader: asyncio.StreamReader
    ) -> None:
        """Run the handler until it ends or the other side closes."""
        work = asyncio.ensure_future(self._handler(exchange))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when='FIRST_COMPLETED')
        if not work.done():
            work.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
            raise ConnectionResetError
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        work.result()


async def _read(reader: asyncio.StreamReader) -> Request | None:
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
