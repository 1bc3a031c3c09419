"""A stand-in of an endpoint as the users' platform has them.

A test scripts how it answers; it counts what it ran.
"""

import asyncio
import collections
from collections import abc

from aspenfold_standins import http11

SEAL = 'X-Aspenfold-Response-Seal'
ATTEMPT = 'x-aspenfold-attempt-id'

Script = abc.Callable[['Worker', http11.Exchange], abc.Awaitable[None]]


class Worker:
    """One incarnation of an endpoint."""

    def __init__(self, name: str, *, slots: int = 6) -> None:
        self.name = name
        self.slots = slots
        self.script: Script = whole
        self.arrivals: list[http11.Request] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled = 0
        self.events = 10
        self.gap_s = 0.0
        self._server = http11.Server(self._handle)

    async def start(self, port: int = 0) -> None:
        """Listen."""
        await self._server.start(port)

    async def stop(self) -> None:
        """End: reset all connections."""
        await self._server.stop()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.port

    def entry(self, service: str, state: str = 'ready') -> dict[str, object]:
        """Return its entry in the store."""
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'slots': self.slots,
            'state': state,
            'sequence': 1,
        }

    def headers(self, exchange: http11.Exchange) -> dict[str, str]:
        """Return what every answer of a run carries."""
        attempt = exchange.request.headers.get(ATTEMPT, '')
        return {SEAL: f'seal-{self.name}', ATTEMPT: attempt}

    def ran(self, exchange: http11.Exchange) -> None:
        """Count a run."""
        self.runs[exchange.request.headers.get(ATTEMPT, '')] += 1

    async def _handle(self, exchange: http11.Exchange) -> None:
        self.arrivals.append(exchange.request)
        expected = exchange.request.headers.get('x-aspenfold-expect-instance')
        if expected not in (None, self.name):
            await exchange.answer(421)
            return
        try:
            await self.script(self, exchange)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


async def whole(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and answer whole."""
    worker.ran(exchange)
    body = b'answer of ' + worker.name.encode()
    await exchange.answer(200, worker.headers(exchange), body)


async def failing(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and answer with a failure."""
    worker.ran(exchange)
    await exchange.answer(500, worker.headers(exchange), b'failed')


async def full(worker: Worker, exchange: http11.Exchange) -> None:
    """Refuse without running."""
    headers = worker.headers(exchange)
    del headers[SEAL]
    headers['X-Aspenfold-Not-Executed'] = '1'
    headers['X-Aspenfold-Instance-Load'] = f'{worker.slots},9,{worker.slots}'
    await exchange.answer(503, headers)


async def group_down(worker: Worker, exchange: http11.Exchange) -> None:
    """Refuse with all slots free: the group does not run."""
    headers = worker.headers(exchange)
    headers['X-Aspenfold-Not-Executed'] = '1'
    headers['X-Aspenfold-Instance-Load'] = f'0,0,{worker.slots}'
    await exchange.answer(503, headers)


async def silent_503(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and answer 503 without the word that it did not run."""
    worker.ran(exchange)
    await exchange.answer(503, worker.headers(exchange))


async def run_and_reset(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and lose the answer."""
    worker.ran(exchange)
    exchange.reset()


async def truncated(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and break off in the body."""
    worker.ran(exchange)
    lines = [f'{n}: {v}' for n, v in worker.headers(exchange).items()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, 'content-length: 50'])
    await exchange.write(head.encode() + b'\r\n\r\nhalf')
    exchange.close()


async def unframed(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and answer without a length."""
    worker.ran(exchange)
    lines = [f'{n}: {v}' for n, v in worker.headers(exchange).items()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
    await exchange.write(head.encode() + b'\r\n\r\nno length')
    exchange.close()


async def unframed_reset(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and reset an answer that has no length."""
    worker.ran(exchange)
    lines = [f'{n}: {v}' for n, v in worker.headers(exchange).items()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
    await exchange.write(head.encode() + b'\r\n\r\nno len')
    await asyncio.sleep(0.05)
    exchange.reset()


async def others_answer(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and send a late answer to another request."""
    worker.ran(exchange)
    headers = worker.headers(exchange)
    headers[ATTEMPT] = 'of-another-request'
    await exchange.answer(200, headers, b'not yours')


async def not_http(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and send bytes that are no answer."""
    worker.ran(exchange)
    await exchange.write(b'\x00\x01 nonsense\r\n\r\n')
    exchange.close()


async def hang(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and never answer."""
    worker.ran(exchange)
    await asyncio.Event().wait()


def event(number: int) -> bytes:
    """Return the event that every worker makes as this number."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


async def stream(worker: Worker, exchange: http11.Exchange) -> None:
    """Run, and give all events after the caller's last one."""
    await _stream(worker, exchange, worker.events)


async def stream_broken(worker: Worker, exchange: http11.Exchange) -> None:
    """Give four events and a half, then reset."""
    await _stream(worker, exchange, 4)
    await exchange.write(b'14\r\n' + event(5)[:9])
    await asyncio.sleep(0.05)
    exchange.reset()


async def _stream(
    worker: Worker, exchange: http11.Exchange, last: int
) -> None:
    worker.ran(exchange)
    lines = [f'{n}: {v}' for n, v in worker.headers(exchange).items()]
    lines += ['content-type: text/event-stream', 'transfer-encoding: chunked']
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
    await exchange.write(head.encode() + b'\r\n\r\n')
    after = int(exchange.request.headers.get('last-event-id', '0'))
    for number in range(after + 1, last + 1):
        data = event(number)
        await exchange.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')
        await asyncio.sleep(worker.gap_s)
    if last == worker.events:
        await exchange.write(b'0\r\n\r\n')
