"""A stand-in of a back end, which runs requests and lists itself."""

import asyncio
import dataclasses
import hashlib
import json
import time

from standins_2 import http
from standins_2 import store as store_module

HEARTBEAT_S = 1.2

REMOVAL_S = 3 * HEARTBEAT_S
"""Silence after which the store removes an entry."""

ATTEMPT_ID = 'X-Aspenfold-Attempt-Id'
SEAL = 'X-Aspenfold-Response-Seal'
EXPECTED = 'X-Aspenfold-Expect-Instance'
EXPECTED_VERSION = 'X-Aspenfold-Expect-Version'


@dataclasses.dataclass(kw_only=True)
class Run:
    """One run of a request, as the endpoint saw it.

    ``end`` is 'running', 'whole' or 'connection lost'.
    """

    attempt_id: str
    endpoint: str
    organisation: str
    begun_at: float
    events: int = 0
    end: str = 'running'


@dataclasses.dataclass(kw_only=True)
class Work:
    """How long a service's requests take: events, and time between them.

    Without events the answer is plain and takes ``interval_s``.
    """

    events: int = 0
    interval_s: float = 0.04


class Endpoint:
    """One endpoint; ``ranks`` is its group's size, 0 without a group."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: store_module.Store,
        work: Work,
        slots: int = 6,
        rank: int = 0,
        ranks: int = 0,
        experts: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self.version = 1
        self.ends_at = 0.0
        self._store = store
        self._work = work
        self._slots = slots
        self._rank = rank
        self._ranks = ranks
        self._experts = experts
        self._sequence = 0
        self._born = 0
        self._server = http.Server(self._handle)
        self._heartbeat: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The address that the endpoint listens on."""
        return self._server.address

    async def start(self, host: str, port: int = 0) -> None:
        """Start, listen and write the entry."""
        self._born = int(time.time() * 1000)
        await self._server.start(host, port)
        self._heartbeat = asyncio.create_task(self._write_heartbeats())

    async def crash(self) -> None:
        """End at once: reset all connections, send nothing more."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self._server.stop()

    async def restart(self) -> None:
        """Start again under the same id, at the same address."""
        await self.start(self._server.host, self._server.port)

    async def stop(self) -> None:
        """End at the end of a case."""
        await self.crash()

    def entry(self) -> dict[str, object]:
        """Return the endpoint's entry in the list."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }

    async def _write_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            await self._store.put_json(
                store_module.SERVERS, self.name, self.entry()
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bool | None:
        if request.target.startswith('/api/'):
            return self._handle_engine(request, writer)
        if request.header(EXPECTED) not in ('', self.name):
            return self._misdirect(writer)
        if request.header(EXPECTED_VERSION) not in ('', str(self.version)):
            return self._misdirect(writer)
        run = Run(
            attempt_id=request.header(ATTEMPT_ID),
            endpoint=self.name,
            organisation=request.header('X-Aspenfold-Tenant'),
            begun_at=time.monotonic(),
        )
        self.runs.append(run)
        try:
            last_id = int(request.header('Last-Event-Id') or 0)
            await self._run(run, last_id, writer)
        except (OSError, http.Closed):
            run.end = 'connection lost'
            return False
        return None

    def _misdirect(self, writer: asyncio.StreamWriter) -> None:
        headers = [
            ('X-Aspenfold-Instance-Id', self.name),
            ('At-Server', self.name),
        ]
        writer.write(http.encode_response(421, headers, b''))

    async def _run(
        self, run: Run, last_id: int, writer: asyncio.StreamWriter
    ) -> None:
        headers = [
            (ATTEMPT_ID, run.attempt_id),
            (SEAL, seal(run.attempt_id, self.name)),
            ('X-Aspenfold-Instance-Id', self.name),
        ]
        if not self._work.events:
            await asyncio.sleep(self._work.interval_s)
            if writer.transport.is_closing():
                raise http.Closed
            writer.write(http.encode_response(200, headers, b'answer\n' * 20))
            run.end = 'whole'
            return
        headers += [
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
            ('X-Aspenfold-Weight-Versions', str(self.version)),
        ]
        writer.write(http.encode('HTTP/1.1 200 OK', headers))
        for number in range(last_id + 1, self._work.events + 1):
            await asyncio.sleep(self._work.interval_s)
            if writer.transport.is_closing():
                raise http.Closed
            event = f'id: {number}\ndata: {run.attempt_id}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            run.events += 1
        writer.write(b'0\r\n\r\n')
        run.end = 'whole'

    def _handle_engine(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as a rank of an idle group with map 0."""
        if not self._ranks or request.method != 'GET':
            writer.write(http.encode_response(404, [], b''))
            return
        if request.target.startswith('/api/report'):
            body = {
                'stage': 'unified',
                'models': [],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'running': 0,
                'kv_used': 0,
                'kv_total': 140000,
                'handles': 0,
                'born': self._born,
                'group': {
                    'name': f'{self.service}-g',
                    'epoch': 1,
                    'rank': self._rank,
                    'state': 'open',
                },
                'size': self._ranks,
                'pace': 1.0,
                'step': 1,
                'map': 0,
            }
        else:
            counts = [0] * self._experts
            body = {'step': 1, 'epoch': 1, 'counts': counts}
        content = json.dumps(body).encode()
        writer.write(http.encode_response(200, [], content))


def seal(attempt_id: str, endpoint: str) -> str:
    """Return an endpoint's signature of an answer."""
    text = f'{attempt_id}/{endpoint}'.encode()
    return hashlib.sha256(text).hexdigest()[:24]
