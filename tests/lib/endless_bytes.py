"""Endpoints that send bytes without end until their caller closes."""

import asyncio
import contextlib
import dataclasses
import re

from aspenfold_standins import platform_worker as workers

PIECE_BYTES = 65_536
"""About how much is written at once."""

STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
EVENTS = b'Content-Type: text/event-stream\r\n'

_ATTEMPT = re.compile(rb'(?i)x-aspenfold-attempt-id: *([^\r\n]*)')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Form:
    """What is sent: ``head``, an empty line if it ``ends``, then ``unit``.

    ``unit`` is repeated without end, behind ``body``.
    """

    head: bytes = b''
    ends: bool = True
    body: bytes = b''
    unit: bytes

    def begin(self, attempt: bytes) -> bytes:
        """Return what comes before the endless part."""
        if not self.head:
            return b''
        echo = b'X-Aspenfold-Attempt-Id: ' + attempt + b'\r\n'
        return self.head + echo + b'\r\n' * self.ends + self.body

    def piece(self) -> bytes:
        """Return a piece of the endless part."""
        return self.unit * max(1, PIECE_BYTES // len(self.unit))


FORMS = {
    'noise': Form(unit=bytes(range(128, 256))),
    'one line': Form(unit=b'x'),
    'empty lines': Form(unit=b'\r\n'),
    'interim responses': Form(unit=b'HTTP/1.1 100 Continue\r\n\r\n'),
    'one header': Form(head=STATUS, ends=False, unit=b'x'),
    'headers': Form(head=STATUS, ends=False, unit=b'a: b\r\n'),
    'body': Form(head=STATUS, unit=b'x'),
    'chunks': Form(head=STATUS + CHUNKED, unit=b'1\r\nx\r\n'),
    'chunk size': Form(head=STATUS + CHUNKED, unit=b'0'),
    'chunk extension': Form(head=STATUS + CHUNKED, body=b'1;', unit=b'x'),
    'trailers': Form(head=STATUS + CHUNKED, body=b'0\r\n', unit=b'a: b\r\n'),
    'event': Form(head=STATUS + EVENTS, unit=b'x'),
    'line ends': Form(head=STATUS + EVENTS, unit=b'\n'),
    'comments': Form(head=STATUS + EVENTS, unit=b':\n\n'),
    'events': Form(head=STATUS + EVENTS, unit=b'data\n\n'),
    'events in chunks': Form(
        head=STATUS + EVENTS + CHUNKED, unit=b'6\r\ndata\n\n\r\n'
    ),
    'behind a response': Form(
        head=STATUS + b'Content-Length: 1\r\n', body=b'x', unit=b'x'
    ),
}


class EndlessServer:
    """Sends a form to each request; ``sent`` counts bytes by connection."""

    def __init__(self, form: Form) -> None:
        self._form = form
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: list[int] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and stop to send."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def store_record(self, name: str, service: str) -> dict[str, object]:
        """Return an endpoint's record in the platform's store."""
        record = workers.Worker(name).store_record(service)
        return {**record, 'address': f'127.0.0.1:{self.port}'}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        number = len(self.sent)
        self.sent.append(0)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            request = await reader.readuntil(b'\r\n\r\n')
            found = _ATTEMPT.search(request)
            writer.write(self._form.begin(found.group(1) if found else b''))
            piece = self._form.piece()
            while True:
                writer.write(piece)
                await writer.drain()
                self.sent[number] += len(piece)
        self._tasks.discard(task)
        writer.close()
