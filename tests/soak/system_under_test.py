"""The system under soak: store, endpoints, and gateways as processes."""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
import time

from aspenfold_standins import http11
from aspenfold_standins import metadata_store
from aspenfold_standins import platform_worker

from aspenfold.platform import config
from aspenfold.platform import endpoint_records
from aspenfold.platform import settings
from tests.lib import free_ports
from tests.lib import gateway_rig
from tests.lib import signals
from tests.soak import links
from tests.soak import rank_group

ROOT = pathlib.Path(__file__).resolve().parents[2]

PROGRAM = (sys.executable, str(ROOT / 'deploy' / 'run.py'))
"""As the platform starts a program, which is named after it."""

GRACE_S = 3.0
GROUP_SIZE = 4
PLAIN_ENDPOINTS = 3
EVENTS = 8
EVENT_GAP_S = 0.04
WORK_S = 0.02
ORGANISATION = 'one'


@dataclasses.dataclass(kw_only=True)
class ProgramProcess:
    """One process of a gateway, from its start to its end."""

    gateway: str
    process: asyncio.subprocess.Process
    target: signals.ProcessHandle
    log: pathlib.Path
    asked_to_end: bool = False
    killed: bool = False
    status: int | None = None
    paused: bool = False
    reloaded_early: bool = False
    """SIGHUP came before the program's first line, which ignores it."""


class SupervisedProgram:
    """One program on one host: its settings, and its processes."""

    COMMAND: tuple[str, ...] = ()

    def __init__(self, *, name: str, host: str, folder: pathlib.Path) -> None:
        self.name = name
        self.host = host
        self.folder = folder
        self.incarnations: list[ProgramProcess] = []

    @property
    def current(self) -> ProgramProcess | None:
        """The process that runs, None between two."""
        if not self.incarnations:
            return None
        newest = self.incarnations[-1]
        return newest if newest.status is None else None

    def settings(self) -> dict[str, object]:
        """Return what the platform would write into the settings file."""
        raise NotImplementedError

    def write_settings(self) -> None:
        """Write the settings file."""
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()))

    async def start(self) -> ProgramProcess:
        """Start a process; its output goes to a file of its own."""
        number = len(self.incarnations) + 1
        log = self.folder / f'{self.name}-{number}.log'
        variables = {
            **os.environ,
            settings.PATH_VARIABLE: str(self.folder / f'{self.name}.json'),
        }
        with log.open('wb') as output:
            process = await asyncio.create_subprocess_exec(
                *self.COMMAND, env=variables, stdout=output, stderr=output
            )
        found = ProgramProcess(
            gateway=self.name,
            process=process,
            target=signals.ProcessHandle(pid=process.pid),
            log=log,
        )
        self.incarnations.append(found)
        return found

    async def keep_running(self) -> None:
        """Start a process again whenever it has ended."""
        while True:
            found = self.incarnations[-1]
            found.status = await found.process.wait()
            await asyncio.sleep(0.2)
            await self.start()

    async def end(self) -> None:
        """End the process that runs, by its id."""
        found = self.current
        if found is not None and found.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await found.process.wait()
        for incarnation in self.incarnations:
            incarnation.target.close()

    def signal(self, number: signal.Signals) -> None:
        """Signal the process that runs, if one does."""
        found = self.current
        if found is None or found.process.returncode is not None:
            return
        if number is signal.SIGTERM:
            found.asked_to_end = True
        if number is signal.SIGKILL:
            found.killed = True
        if number is signal.SIGHUP:
            pid = found.process.pid
            found.reloaded_early |= not signals.is_handled(pid, number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            found.paused = number is signal.SIGSTOP
        found.target.send(number)


class GatewayProgram(SupervisedProgram):
    """One gateway's host: its addresses, links and processes."""

    COMMAND = (*PROGRAM, 'gateway')

    def __init__(
        self, *, name: str, host: str, folder: pathlib.Path, internal: int
    ) -> None:
        super().__init__(name=name, host=host, folder=folder)
        self.internal = internal
        self.callers, self.health = free_ports.find_ports(host, 2)
        self.front = links.LinkProxy(
            target_host=host, target_port=self.callers
        )
        self.store: links.LinkProxy

    def settings(self) -> dict[str, object]:
        """Return what the platform would write into the settings file."""
        return {
            'node': self.name,
            'ip': self.host,
            'zone': 'zone-a',
            'listen': {
                'front': f'{self.host}:{self.callers}',
                'ready': f'{self.host}:{self.health}',
            },
            'internal_port_range': [self.internal, self.internal + 1],
            'bounds': {'grace_s': GRACE_S},
            'platform': {'address': f'127.0.0.1:{self.store.port}'},
        }

    async def ready(self) -> bool:
        """Ask for its health, as the balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.health
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                answer = await gateway_rig.read_response(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


class RankAgentProgram(SupervisedProgram):
    """One rank's host, with the agent beside its engine."""

    COMMAND = (*PROGRAM, 'rank_agent')

    def __init__(
        self, *, name: str, host: str, folder: pathlib.Path, internal: int
    ) -> None:
        super().__init__(name=name, host=host, folder=folder)
        self.internal = internal
        self.engine_port = 0

    def settings(self) -> dict[str, object]:
        """Return what the platform would write into the settings file."""
        return {
            'node': self.name,
            'ip': self.host,
            'zone': 'zone-a',
            'app': f'127.0.0.1:{self.engine_port}',
            'internal_port_range': [self.internal, self.internal + 1],
        }


@dataclasses.dataclass(kw_only=True)
class Endpoint:
    """One incarnation of an endpoint, behind its link."""

    worker: platform_worker.Worker
    link: links.LinkProxy
    service: str
    leaving_at: float | None = None
    troubled: list[float] = dataclasses.field(default_factory=list)

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        state = 'ready' if self.leaving_at is None else 'draining'
        found = self.worker.store_record(self.service, state)
        address = f'{self.link.listen_host}:{self.link.port}'
        return {**found, 'address': address}


class SystemUnderTest:
    """Everything that runs in one soak."""

    def __init__(
        self, *, folder: pathlib.Path, rng: random.Random, gateways: int
    ) -> None:
        self.rng = rng
        self.store = metadata_store.MetadataStore()
        self.group = rank_group.RankGroup(size=GROUP_SIZE, rng=rng)
        self.endpoints: list[Endpoint] = []
        self.gone: list[Endpoint] = []
        self._for_agents: list[rank_group.RankWorker] = []
        self.version = 0
        self.accepted_at = 0.0
        self.extra_routes: list[str] = []
        # Not from the seed: two soaks of one seed may run side by side.
        fresh = random.SystemRandom()
        network = f'127.{fresh.randrange(20, 250)}.{fresh.randrange(250)}'
        hosts = [f'{network}.{n + 1}' for n in range(gateways + GROUP_SIZE)]
        internal = free_ports.find_port_pair(hosts)
        self.gateways = [
            GatewayProgram(
                name=f'gateway-{n}',
                host=host,
                folder=folder,
                internal=internal,
            )
            for n, host in enumerate(hosts[:gateways])
        ]
        self.rank_hosts = [
            RankAgentProgram(
                name=f'rank-host-{n}',
                host=host,
                folder=folder,
                internal=internal,
            )
            for n, host in enumerate(hosts[gateways:])
        ]
        self._names = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything, the first plan included."""
        await self.store.start()
        self._spawn(self.group.run())
        for _ in range(PLAIN_ENDPOINTS):
            await self.add_endpoint()
        for rank, host in enumerate(self.rank_hosts):
            await self._add_rank(rank, host)
        await self.change_plan()
        for gateway in self.gateways:
            gateway.store = links.LinkProxy(
                target_host='127.0.0.1', target_port=self.store.port
            )
            await gateway.store.start()
            await gateway.front.start()
        for program in self.programs:
            program.write_settings()
            await program.start()
            self._spawn(program.keep_running())

    @property
    def programs(self) -> list[SupervisedProgram]:
        """All programs that run as processes."""
        return [*self.gateways, *self.rank_hosts]

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)

    async def stop(self) -> None:
        """End what was started, by its process id."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.group.stop()
        for program in self.programs:
            await program.end()
        for gateway in self.gateways:
            await gateway.front.stop()
            await gateway.store.stop()
        for worker in self._for_agents:
            await worker.stop()
        for endpoint in [*self.endpoints, *self.gone]:
            await endpoint.worker.stop()
            await endpoint.link.stop()
        await self.store.stop()

    # -- endpoints -------------------------------------------------------

    async def add_endpoint(self) -> Endpoint:
        """Start a plain endpoint and list it."""
        self._names += 1
        worker = platform_worker.Worker(f'plain-{self._names}')
        worker.script = sound
        return await self._list(worker, 'plain')

    async def _add_rank(self, rank: int, host: RankAgentProgram) -> None:
        worker = rank_group.RankWorker(
            f'rank-{rank}', group=self.group, rank=rank
        )
        worker.script = sound
        await self._list(worker, 'model', host.host)
        for_agent = rank_group.RankWorker(
            worker.name, group=self.group, rank=rank, fresh=True
        )
        await for_agent.start()
        self._for_agents.append(for_agent)
        host.engine_port = for_agent.port

    async def _list(
        self,
        worker: platform_worker.Worker,
        service: str,
        host: str = '127.0.0.1',
    ) -> Endpoint:
        worker.event_count = EVENTS
        worker.event_interval_s = EVENT_GAP_S
        await worker.start()
        link = links.LinkProxy(
            target_host='127.0.0.1', target_port=worker.port, listen_host=host
        )
        await link.start()
        found = Endpoint(worker=worker, link=link, service=service)
        self.endpoints.append(found)
        await self.tell(found)
        return found

    async def tell(self, endpoint: Endpoint) -> None:
        """Write an endpoint's entry."""
        name = endpoint.worker.name
        await self.store.put(endpoint_records.TOPIC, name, endpoint.entry())

    async def remove(self, endpoint: Endpoint) -> None:
        """End an endpoint and remove its entry."""
        self.endpoints.remove(endpoint)
        self.gone.append(endpoint)
        await endpoint.worker.stop()
        endpoint.link.start_fault(links.LinkFault.RESET)
        await self.store.remove(endpoint_records.TOPIC, endpoint.worker.name)

    # -- the plan --------------------------------------------------------

    @property
    def probe_path(self) -> str:
        """A path that only the newest plan has."""
        return f'/v{self.version}/'

    async def change_plan(self) -> None:
        """Write a newer plan, with a path that only it has."""
        self.version += self.rng.randrange(1, 4)
        found = gateway_rig.make_plan(self.version)
        routes = found['routes']
        assert isinstance(routes, list)
        probe = gateway_rig.make_route(self.probe_path, 'safe')
        found['routes'] = [*routes, {**probe, 'allow_anonymous': True}]
        services = found['services']
        assert isinstance(services, list)
        services[1]['engine'] = {
            'sets': 1,
            'experts': rank_group.EXPERTS,
            'placements': 4,
            'spare': 4,
        }
        await self.store.put(config.TOPIC, config.KEY, found)
        self.accepted_at = time.monotonic()


async def sound(
    worker: platform_worker.Worker, exchange: http11.Exchange
) -> None:
    """Work a while; the answer names its request."""
    attempt = exchange.request.headers.get(platform_worker.ATTEMPT_HEADER, '')
    target = exchange.request.target
    if target.startswith(('/stream/', '/song/', '/model/')):
        await platform_worker.stream_events(worker, exchange)
        return
    worker.record_execution(exchange)
    await asyncio.sleep(WORK_S)
    headers = worker.response_headers(exchange)
    await exchange.respond(200, headers, b'answer to ' + attempt.encode())
