"""A client: one connection for each request, and what came back on it."""

import asyncio
import dataclasses
import time

from lib import deployment
from lib import http11

MAX_READ_BYTES = 65_536


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One client attempt; times are of the monotonic clock.

    ``answered_at`` is when the whole answer was there, None if it never was.
    """

    id: str
    address: str
    timeout_s: float
    sent_at: float = 0.0
    status: int = 0
    seal: str = ''
    body: bytes = b''
    answered_at: float | None = None
    ended: str = ''

    def is_unanswered_at(self, age_s: float) -> bool:
        """Return whether it had no whole answer at this age."""
        if self.answered_at is None:
            return True
        return self.answered_at - self.sent_at > age_s

    def describe(self) -> str:
        """Return a line for the record."""
        took = 'never answered'
        if self.answered_at is not None:
            took = f'answered after {self.answered_at - self.sent_at:.3f} s'
        return (
            f'{self.id} at {self.address}: status {self.status}, seal '
            f'{self.seal!r}, {len(self.body)} bytes, {took}, {self.ended}'
        )


async def send(
    attempt: Attempt,
    *,
    method: str,
    target: str,
    deadline_s: float,
    body: bytes = b'',
) -> None:
    """Send a request and read its answer until the client's deadline."""
    host, _, port = attempt.address.rpartition(':')
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {deployment.HOST_NAME}',
        f'X-Aspenfold-Attempt-Id: {attempt.id}',
        f'X-Aspenfold-Deadline-Remaining-Ms: {int(deadline_s * 1000)}',
        f'Authorization: Bearer {deployment.API_KEY}',
        f'Content-Length: {len(body)}',
        '',
        '',
    ]
    attempt.sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join(lines).encode() + body)
            await _read_answer(reader, attempt)
        attempt.answered_at = time.monotonic()
        attempt.ended = 'whole'
    except TimeoutError:
        attempt.ended = 'the client has given up'
    except (OSError, EOFError) as exc:
        attempt.ended = f'broken off: {exc!r}'
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader, attempt: Attempt) -> None:
    first, headers = await http11.read_head(reader)
    attempt.status = int(first.split(' ')[1])
    attempt.seal = headers.get(deployment.SEAL.lower(), '')
    if headers.get('transfer-encoding', '') != 'chunked':
        length = int(headers['content-length'])
        attempt.body = await reader.readexactly(length)
        return
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        attempt.body += chunk[:-2]
