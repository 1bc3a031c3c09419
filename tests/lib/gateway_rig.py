"""Runs a gateway in the test process, with simulated services around it.

The gateway, its client, the store and the endpoints use real sockets.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import datetime
import itertools
import typing

from aspenfold_standins import metadata_store
from aspenfold_standins import platform_worker
import eliot
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
TIMEOUT_S = 10.0
"""Limit of each wait, so that a failing test ends."""

MEMORY_BYTES = 300_000_000
MAX_SOCKETS = 4_000

SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass
class Response:
    """A response; ``complete`` is False if the connection ended early."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False


def make_route(path: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of a plan; ``fields`` sets further fields."""
    return {
        'name': path.strip('/'),
        'host': HOST,
        'path_prefix': path,
        'kind': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 100,
        'service': 'plain',
        'max_attempts': 2,
        **fields,
    }


def make_plan(version: int = 1, **fields: object) -> dict[str, object]:
    """Return a plan with a route of each kind, as the store holds it."""
    return {
        'version': version,
        'routes': [
            make_route('/safe/', 'safe'),
            make_route('/unsafe/', 'unsafe'),
            make_route('/once/', 'unsafe', max_attempts=1),
            make_route('/stream/', 'streaming', resume_streams=True),
            make_route('/song/', 'streaming'),
            make_route('/open/', 'safe', allow_anonymous=True),
            make_route('/short/', 'safe', timeout_ms=300),
            make_route('/model/', 'streaming', service='model'),
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
        **fields,
    }


def make_gateway(
    *,
    store_port: int,
    name: str = 'gateway-1',
    address: str = LOOPBACK,
    peer_port: int = 0,
    agent_port: int = 0,
    memory_bytes: int = MEMORY_BYTES,
) -> gateway.GatewayProcess:
    """Return a gateway, not started, that reads a store on loopback."""
    any_port = settings.TcpAddress(host=address, port=0)
    cfg = settings.GatewaySettings(
        name=name,
        availability_zone='zone-a',
        address=address,
        peer_port=peer_port,
        agent_port=agent_port,
        callers=any_port,
        health=any_port,
        metrics=any_port,
        store=settings.TcpAddress(host=LOOPBACK, port=store_port),
        grace_s=2.0,
        retry_ratio=0.2,
        retry_slack=90.0,
        memory_bytes=memory_bytes,
        max_sockets=MAX_SOCKETS,
    )
    return gateway.GatewayProcess(
        cfg=cfg,
        platform=factory.create_platform(cfg.store),
        header_names=headers.HEADER_NAMES,
        clock=clock.MonotonicClock(),
    )


class Rig:
    """The store, the endpoints and the gateway of one test."""

    def __init__(self) -> None:
        self.store = metadata_store.MetadataStore()
        self.workers: list[platform_worker.Worker] = []
        self.gateway: gateway.GatewayProcess
        self._ids = itertools.count(1)

    async def add_worker(
        self,
        name: str,
        script: platform_worker.Script = platform_worker.complete,
        service: str = 'plain',
        fatal: platform_worker.FatalRequests | None = None,
        started_ms: int | None = None,
        slots: int = 6,
    ) -> platform_worker.Worker:
        """Start an endpoint and write its record to the store."""
        worker = platform_worker.Worker(name, slots=slots)
        worker.script = script
        worker.fatal = fatal
        worker.started_ms = started_ms
        await worker.start()
        self.workers.append(worker)
        await self.store.put(
            endpoint_records.TOPIC, name, worker.store_record(service)
        )
        return worker

    async def write_plan(self, plan: dict[str, object]) -> None:
        """Write a plan to the store."""
        await self.store.put(config.TOPIC, config.KEY, plan)

    async def start(self, memory_bytes: int = MEMORY_BYTES) -> None:
        """Create and start the gateway."""
        self.gateway = make_gateway(
            store_port=self.store.port, memory_bytes=memory_bytes
        )
        await self.gateway.start()

    async def wait_until_ready(self) -> None:
        """Wait until the gateway reports that it can serve."""
        await wait_until(lambda: self.gateway.ready)

    def request_head(
        self, path: str, key: str = KEY, **fields: str
    ) -> tuple[str, bytes]:
        """Return a new attempt's id and the head of its request.

        ``fields`` holds headers, with ``_`` for ``-``; a ``body`` sets the
        method and the length only.
        """
        attempt = f'attempt-{next(self._ids)}'
        lines = [
            f'{"POST" if "body" in fields else "GET"} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Aspenfold-Attempt-Id: {attempt}',
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        if 'body' in fields:
            lines.append(f'Content-Length: {len(fields.pop("body"))}')
        lines += [f'{n.replace("_", "-")}: {v}' for n, v in fields.items()]
        return attempt, '\r\n'.join([*lines, '', '']).encode()

    async def request(
        self, path: str, key: str = KEY, **fields: str
    ) -> Response:
        """Send a request on a new connection and return the response."""
        body = fields.get('body', '').encode()
        _, head = self.request_head(path, key, **fields)
        return await self.send(head + body)

    async def send(self, data: bytes) -> Response:
        """Send raw bytes on a new connection and return the response."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await read_response(reader)
        finally:
            writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection to the gateway."""
        return await asyncio.open_connection(LOOPBACK, self.gateway.port)


async def read_next_response(reader: asyncio.StreamReader) -> Response:
    """Read a response with a length, and nothing of what follows it."""
    async with asyncio.timeout(TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        status, *lines = head.decode().split('\r\n')[:-2]
        pairs = [line.split(':', 1) for line in lines]
        headers = {name.lower(): value.strip() for name, value in pairs}
        body = await reader.readexactly(int(headers['content-length']))
    return Response(
        status=int(status.split()[1]),
        headers=headers,
        body=body,
        complete=True,
    )


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one response until it is complete or the connection ends."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('host', 'x')]))
    parser.send(h11.EndOfMessage())
    response = Response()
    with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
        async with asyncio.timeout(TIMEOUT_S):
            await _read(reader, parser, response)
    return response


async def _read(
    reader: asyncio.StreamReader, parser: h11.Connection, response: Response
) -> None:
    while not response.complete:
        event: typing.Any = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = {
                n.decode(): v.decode() for n, v in event.headers
            }
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.complete = True
        else:
            return


async def metrics(rig: Rig) -> bytes:
    """Return the gateway's metrics in Prometheus's text format."""
    reader, writer = await asyncio.open_connection(
        LOOPBACK, rig.gateway.metrics_port
    )
    writer.write(b'GET /metrics HTTP/1.1\r\nhost: m\r\n\r\n')
    try:
        return (await read_response(reader)).body
    finally:
        writer.close()


@contextlib.contextmanager
def recorded_events() -> abc.Iterator[list[dict[str, typing.Any]]]:
    """Yield a list that gets each log event of the test process."""
    lines: list[dict[str, typing.Any]] = []
    eliot.add_destinations(lines.append)
    # The first destination of a process gets what was logged before.
    lines.clear()
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def deadline_header(seconds: float) -> dict[str, str]:
    """Return the header with the remaining time of a caller's deadline."""
    return {'X_Aspenfold_Deadline_Remaining_Ms': f'{seconds * 1000:.0f}'}


def count_requests(worker: platform_worker.Worker, path: str) -> int:
    """Return how many requests for ``path`` a worker received.

    Other requests, such as those of a leader for reports, do not count.
    """
    return sum(request.target == path for request in worker.requests)


async def wait_until(condition: abc.Callable[[], object]) -> None:
    """Wait until ``condition`` is true.

    Raises TimeoutError if that takes too long.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running_rig(
    plan: dict[str, object] | None = None,
    memory_bytes: int = MEMORY_BYTES,
) -> abc.AsyncIterator[Rig]:
    """Yield a rig with a running gateway and no endpoints."""
    rig = Rig()
    await rig.store.start()
    await rig.write_plan(plan or make_plan())
    try:
        await rig.start(memory_bytes)
        yield rig
    finally:
        await close(rig)


async def close(rig: Rig) -> None:
    """Stop the gateway, the endpoints and the store."""
    await rig.gateway.abort()
    for worker in rig.workers:
        await worker.stop()
    await rig.store.stop()
