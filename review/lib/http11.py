"""A small HTTP/1.1 server whose handlers write raw responses."""

import asyncio
from collections import abc
import dataclasses

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = abc.Callable[
    [Request, asyncio.StreamWriter], abc.Coroutine[None, None, None]
]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


def response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Return a response with a content length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Server:
    """Reads complete requests and passes each to ``handler``.

    A request is cancelled when its client closes the connection.
    """

    def __init__(self, *, host: str, handler: Handler) -> None:
        self.host = host
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address in the form IP:PORT."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                request = await self._read(reader)
                await self._run(request, reader, writer)
                if request.headers.get('connection', '').lower() == 'close':
                    break
        except (OSError, asyncio.IncompleteReadError):
            # The client has closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Request:
        first, headers = await read_head(reader)
        method, target, _ = first.split(' ')
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length)
        return Request(
            method=method, target=target, headers=headers, body=body
        )

    async def _run(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        handling = asyncio.ensure_future(self._handler(request, writer))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            {handling, left}, return_when=asyncio.FIRST_COMPLETED
        )
        if not handling.done():
            handling.cancel()
            await asyncio.gather(handling, return_exceptions=True)
            raise ConnectionResetError
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        handling.result()
