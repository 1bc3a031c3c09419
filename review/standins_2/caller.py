"""A stand-in of a caller on a kept connection."""

import asyncio
import contextlib
import dataclasses
import secrets
import time

from standins_2 import endpoint
from standins_2 import http


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One attempt of a caller, and how it ended.

    ``end`` is 'whole', 'cut' (the connection ended inside an answer), 'no
    answer' (it ended without one) or 'left' (the caller's time was over).
    """

    id: str
    sent_at: float
    kept_connection: bool
    status: int = 0
    seal: str = ''
    body: bytes = b''
    end: str = 'waiting'
    ended_at: float = 0.0

    @property
    def events(self) -> int:
        """The number of events received."""
        return self.body.count(b'\n\n')


class Caller:
    """Sends requests to one gateway, one after the other."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        *,
        method: str,
        host: str,
        path: str,
        key: str,
        deadline_ms: int,
        headers: http.Headers | None = None,
        body: bytes = b'',
    ) -> Attempt:
        """Send one request and receive its answer."""
        kept = self._writer is not None
        attempt = Attempt(
            id=secrets.token_hex(8),
            sent_at=time.monotonic(),
            kept_connection=kept,
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._send(
                    attempt,
                    f'{method} {path} HTTP/1.1',
                    [
                        ('Host', host),
                        (endpoint.ATTEMPT_ID, attempt.id),
                        (
                            'X-Aspenfold-Deadline-Remaining-Ms',
                            f'{deadline_ms}',
                        ),
                        ('Authorization', f'Bearer {key}'),
                        ('Content-Length', str(len(body))),
                        *(headers or []),
                    ],
                    body,
                )
                await self._receive(attempt)
        except TimeoutError:
            attempt.end = 'left'
            self.close()
        except (http.Closed, OSError):
            attempt.end = 'cut' if attempt.status else 'no answer'
            self.close()
        attempt.ended_at = time.monotonic()
        return attempt

    async def _send(
        self, attempt: Attempt, start: str, headers: http.Headers, body: bytes
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._ip, self._port
            )
        attempt.sent_at = time.monotonic()
        self._writer.write(http.encode(start, headers, body))
        await self._writer.drain()

    async def _receive(self, attempt: Attempt) -> None:
        reader = self._reader
        assert reader is not None
        head = await http.read_head(reader)
        attempt.status = head.status
        attempt.seal = head.header(endpoint.SEAL)
        if head.header('transfer-encoding') == 'chunked':
            while data := await http.read_chunk(reader):
                attempt.body += data
        else:
            length = int(head.header('content-length') or 0)
            try:
                attempt.body = await reader.readexactly(length)
            except asyncio.IncompleteReadError as exc:
                raise http.Closed from exc
        attempt.end = 'whole'
        if head.header('connection').lower() == 'close':
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._reader = self._writer = None
