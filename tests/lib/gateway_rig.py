"""A gateway with real sockets between a client and stand-ins."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import datetime
import itertools
import typing

from aspenfold_standins import metadata_store
from aspenfold_standins import platform_worker
import h11

from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock
from aspenfold._internal.processes import gateway
from aspenfold.platform import config
from aspenfold.platform import endpoint_records
from aspenfold.platform import factory
from aspenfold.platform import headers

HOST = 'shop.example'
KEY = 'key-of-one'
LOOPBACK = '127.0.0.1'
WAIT_S = 10.0
SECOND = datetime.timedelta(seconds=1)
"""Longest wait on a condition; far over what any takes."""


@dataclasses.dataclass
class Answer:
    """What a client got; ``whole`` is False if it ended early."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False


def route(path: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        'name': path.strip('/'),
        'host': HOST,
        'path_prefix': path,
        'kind': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 100,
        'service': 'plain',
        'max_attempts': 2,
        **more,
    }


def plan(version: int = 1, **more: object) -> dict[str, object]:
    """Return a configuration with a route of each kind."""
    return {
        'version': version,
        'routes': [
            route('/safe/', 'safe'),
            route('/unsafe/', 'unsafe'),
            route('/once/', 'unsafe', max_attempts=1),
            route('/stream/', 'streaming', resume_streams=True),
            route('/song/', 'streaming'),
            route('/open/', 'safe', allow_anonymous=True),
            route('/short/', 'safe', timeout_ms=300),
            route('/model/', 'streaming', service='model'),
        ],
        'services': [
            {'name': 'plain'},
            {
                'name': 'model',
                'engine': {'sets': 1, 'experts': 4, 'placements': 2},
            },
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 10000,
            'header_timeout_ms': 400,
            'idle_timeout_ms': 3000,
        },
        'tenants': [{'name': 'one', 'api_keys': [KEY]}],
        **more,
    }


def process(
    *,
    store_port: int,
    name: str = 'gateway-1',
    address: str = LOOPBACK,
    peer_port: int = 0,
    agent_port: int = 0,
) -> gateway.GatewayProcess:
    """Return a gateway that is not started yet."""
    anywhere = settings.TcpAddress(host=address, port=0)
    cfg = settings.GatewaySettings(
        name=name,
        availability_zone='zone-a',
        address=address,
        peer_port=peer_port,
        agent_port=agent_port,
        callers=anywhere,
        health=anywhere,
        metrics=anywhere,
        store=settings.TcpAddress(host=LOOPBACK, port=store_port),
        grace_s=2.0,
        retry_ratio=0.2,
        retry_slack=90.0,
    )
    return gateway.GatewayProcess(
        cfg=cfg,
        platform=factory.create_platform(cfg.store),
        header_names=headers.HEADER_NAMES,
        clock=clock.MonotonicClock(),
    )


class Rig:
    """Holds the store, the endpoints and the gateway of one test."""

    def __init__(self) -> None:
        self.store = metadata_store.MetadataStore()
        self.workers: list[platform_worker.Worker] = []
        self.process: gateway.GatewayProcess
        self._ids = itertools.count(1)

    async def add_worker(
        self,
        name: str,
        script: platform_worker.Script = platform_worker.complete,
        service: str = 'plain',
    ) -> platform_worker.Worker:
        """Start an endpoint and list it."""
        worker = platform_worker.Worker(name)
        worker.script = script
        await worker.start()
        self.workers.append(worker)
        await self.store.put(
            endpoint_records.TOPIC, name, worker.store_record(service)
        )
        return worker

    async def configure(self, value: dict[str, object]) -> None:
        """Write a configuration."""
        await self.store.put(config.TOPIC, config.KEY, value)

    async def start(self) -> None:
        """Start the gateway."""
        self.process = process(store_port=self.store.port)
        await self.process.start()

    async def ready(self) -> None:
        """Wait until the gateway says that it can serve."""
        await until(lambda: self.process.ready)

    # -- as a client -----------------------------------------------------

    def head(
        self, path: str, key: str = KEY, **more: str
    ) -> tuple[str, bytes]:
        """Return a new attempt's id and the head of its request."""
        attempt = f'attempt-{next(self._ids)}'
        lines = [
            f'{"POST" if "body" in more else "GET"} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Aspenfold-Attempt-Id: {attempt}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        if 'body' in more:
            lines.append(f'Content-Length: {len(more.pop("body"))}')
        lines += [f'{n.replace("_", "-")}: {v}' for n, v in more.items()]
        return attempt, '\r\n'.join([*lines, '', '']).encode()

    async def ask(self, path: str, key: str = KEY, **more: str) -> Answer:
        """Send a request on a connection of its own."""
        body = more.get('body', '').encode()
        _, head = self.head(path, key, **more)
        return await self.send(head + body)

    async def send(self, data: bytes) -> Answer:
        """Send raw bytes and read one answer."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection as a client."""
        return await asyncio.open_connection(LOOPBACK, self.process.port)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, whole or broken off."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('host', 'x')]))
    parser.send(h11.EndOfMessage())
    answer = Answer()
    with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
        async with asyncio.timeout(WAIT_S):
            await _read(reader, parser, answer)
    return answer


async def _read(
    reader: asyncio.StreamReader, parser: h11.Connection, answer: Answer
) -> None:
    while not answer.whole:
        event: typing.Any = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
        else:
            return


def time_left(seconds: float) -> dict[str, str]:
    """Return the header that tells how long a caller still waits."""
    return {'X_Aspenfold_Deadline_Remaining_Ms': f'{seconds * 1000:.0f}'}


def asked(worker: platform_worker.Worker, path: str) -> int:
    """Return how many requests of callers came there.

    A leader asks ranks for their reports, too, some time after a start.
    """
    return sum(request.target == path for request in worker.requests)


async def until(condition: abc.Callable[[], object]) -> None:
    """Wait on a condition."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running(
    value: dict[str, object] | None = None,
) -> abc.AsyncIterator[Rig]:
    """Give a rig whose gateway runs; it has no endpoints yet."""
    rig = Rig()
    await rig.store.start()
    await rig.configure(value or plan())
    try:
        await rig.start()
        yield rig
    finally:
        await close(rig)


async def close(rig: Rig) -> None:
    """Stop everything."""
    await rig.process.abort()
    for worker in rig.workers:
        await worker.stop()
    await rig.store.stop()
