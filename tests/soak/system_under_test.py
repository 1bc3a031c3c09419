"""The system that a soak tests.

Gateways and rank agents run as processes; the store and the endpoints are
stand-ins in this process.
"""

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

REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parents[2]

RUN_COMMAND = (sys.executable, str(REPOSITORY_ROOT / 'deploy' / 'run.py'))
"""Starts the program that the last argument names."""

GRACE_S = 3.0
GROUP_SIZE = 4
PLAIN_ENDPOINT_COUNT = 3
EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.04
EXECUTION_S = 0.02
ORGANISATION = 'one'


@dataclasses.dataclass(kw_only=True)
class ProgramProcess:
    """One process of a program, and the signals that it was sent.

    ``exit_status`` is None while it runs.
    """

    program: str
    process: asyncio.subprocess.Process
    handle: signals.ProcessHandle
    log_path: pathlib.Path
    sigterm_sent: bool = False
    sigkill_sent: bool = False
    exit_status: int | None = None
    paused: bool = False
    sighup_unhandled: bool = False
    """SIGHUP was sent before the program ignored or handled it."""


class SupervisedProgram:
    """A program on one host, which is started again when it ends.

    ``processes`` holds all its processes, the newest last.
    """

    COMMAND: tuple[str, ...] = ()

    def __init__(self, *, name: str, host: str, folder: pathlib.Path) -> None:
        self.name = name
        self.host = host
        self.folder = folder
        self.processes: list[ProgramProcess] = []

    @property
    def current_process(self) -> ProgramProcess | None:
        """The running process, None if the program is not running."""
        if not self.processes:
            return None
        newest = self.processes[-1]
        return newest if newest.exit_status is None else None

    def settings(self) -> dict[str, object]:
        """Return the settings that the platform writes for the program."""
        raise NotImplementedError

    def write_settings(self) -> None:
        """Write the settings to the file that the program reads."""
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()))

    async def start(self) -> ProgramProcess:
        """Start a process that writes its output to its own log file."""
        number = len(self.processes) + 1
        log_path = self.folder / f'{self.name}-{number}.log'
        environment = {
            **os.environ,
            settings.PATH_VARIABLE: str(self.folder / f'{self.name}.json'),
        }
        with log_path.open('wb') as output:
            process = await asyncio.create_subprocess_exec(
                *self.COMMAND, env=environment, stdout=output, stderr=output
            )
        started = ProgramProcess(
            program=self.name,
            process=process,
            handle=signals.ProcessHandle(pid=process.pid),
            log_path=log_path,
        )
        self.processes.append(started)
        return started

    async def keep_running(self) -> None:
        """Start a new process whenever one has ended."""
        while True:
            current = self.processes[-1]
            current.exit_status = await current.process.wait()
            await asyncio.sleep(0.2)
            await self.start()

    async def kill(self) -> None:
        """Kill the running process and release all process handles."""
        current = self.current_process
        if current is not None and current.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await current.process.wait()
        for process in self.processes:
            process.handle.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the running process, if there is one."""
        current = self.current_process
        if current is None or current.process.returncode is not None:
            return
        if number is signal.SIGTERM:
            current.sigterm_sent = True
        if number is signal.SIGKILL:
            current.sigkill_sent = True
        if number is signal.SIGHUP:
            pid = current.process.pid
            current.sighup_unhandled |= not signals.is_handled(pid, number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            current.paused = number is signal.SIGSTOP
        current.handle.send(number)


class GatewayProgram(SupervisedProgram):
    """A gateway, with the link proxies to it and from it to the store.

    ``caller_link`` forwards callers' connections to the gateway,
    ``store_link`` the gateway's connections to the store.
    """

    COMMAND = (*RUN_COMMAND, 'gateway')

    def __init__(
        self, *, name: str, host: str, folder: pathlib.Path, internal_port: int
    ) -> None:
        super().__init__(name=name, host=host, folder=folder)
        self.internal_port = internal_port
        self.caller_port, self.health_port = free_ports.find_ports(host, 2)
        self.caller_link = links.LinkProxy(
            target_host=host, target_port=self.caller_port
        )
        self.store_link: links.LinkProxy

    def settings(self) -> dict[str, object]:
        """Return the settings that the platform writes for the program."""
        return {
            'node': self.name,
            'ip': self.host,
            'zone': 'zone-a',
            'listen': {
                'front': f'{self.host}:{self.caller_port}',
                'ready': f'{self.host}:{self.health_port}',
            },
            'internal_port_range': [
                self.internal_port,
                self.internal_port + 1,
            ],
            'bounds': {'grace_s': GRACE_S},
            'platform': {'address': f'127.0.0.1:{self.store_link.port}'},
        }

    async def is_ready(self) -> bool:
        """Return whether the gateway's health check succeeds."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.health_port
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                response = await gateway_rig.read_response(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return response.status == 200


class RankAgentProgram(SupervisedProgram):
    """The agent on the host of a rank.

    ``engine_port`` is where it reaches the rank's engine.
    """

    COMMAND = (*RUN_COMMAND, 'rank_agent')

    def __init__(
        self, *, name: str, host: str, folder: pathlib.Path, internal_port: int
    ) -> None:
        super().__init__(name=name, host=host, folder=folder)
        self.internal_port = internal_port
        self.engine_port = 0

    def settings(self) -> dict[str, object]:
        """Return the settings that the platform writes for the program."""
        return {
            'node': self.name,
            'ip': self.host,
            'zone': 'zone-a',
            'app': f'127.0.0.1:{self.engine_port}',
            'internal_port_range': [
                self.internal_port,
                self.internal_port + 1,
            ],
        }


@dataclasses.dataclass(kw_only=True)
class Endpoint:
    """A running endpoint, reached through a link proxy.

    ``draining_since`` is None while it is in service.
    """

    worker: platform_worker.Worker
    link: links.LinkProxy
    service: str
    draining_since: float | None = None
    fault_times: list[float] = dataclasses.field(default_factory=list)

    def store_record(self) -> dict[str, object]:
        """Return the endpoint's record in the platform's store."""
        state = 'ready' if self.draining_since is None else 'draining'
        record = self.worker.store_record(self.service, state)
        address = f'{self.link.listen_host}:{self.link.port}'
        return {**record, 'address': address}


class SystemUnderTest:
    """The store, the endpoints, a rank group, its agents and the gateways.

    ``plan_version`` is the version of the newest plan, ``plan_written_at``
    the monotonic time at which it was written.
    """

    def __init__(
        self, *, folder: pathlib.Path, rng: random.Random, gateway_count: int
    ) -> None:
        self.rng = rng
        self.store = metadata_store.MetadataStore()
        self.group = rank_group.RankGroup(size=GROUP_SIZE, rng=rng)
        self.endpoints: list[Endpoint] = []
        self.removed_endpoints: list[Endpoint] = []
        self._agent_workers: list[rank_group.RankWorker] = []
        self.plan_version = 0
        self.plan_written_at = 0.0
        self.extra_routes: list[str] = []
        # Not drawn from the seed, so that soaks with the same seed can run
        # at the same time.
        os_rng = random.SystemRandom()
        network = f'127.{os_rng.randrange(20, 250)}.{os_rng.randrange(250)}'
        hosts = [
            f'{network}.{n + 1}' for n in range(gateway_count + GROUP_SIZE)
        ]
        internal_port = free_ports.find_port_pair(hosts)
        self.gateways = [
            GatewayProgram(
                name=f'gateway-{n}',
                host=host,
                folder=folder,
                internal_port=internal_port,
            )
            for n, host in enumerate(hosts[:gateway_count])
        ]
        self.rank_agents = [
            RankAgentProgram(
                name=f'rank-host-{n}',
                host=host,
                folder=folder,
                internal_port=internal_port,
            )
            for n, host in enumerate(hosts[gateway_count:])
        ]
        self.fatal: platform_worker.FatalRequests | None = None
        self._endpoint_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything, and write the first plan."""
        await self.store.start()
        self._start_task(self.group.run())
        for _ in range(PLAIN_ENDPOINT_COUNT):
            await self.add_endpoint()
        for rank, agent in enumerate(self.rank_agents):
            await self._add_rank(rank, agent)
        await self.change_plan()
        for gateway in self.gateways:
            gateway.store_link = links.LinkProxy(
                target_host='127.0.0.1', target_port=self.store.port
            )
            await gateway.store_link.start()
            await gateway.caller_link.start()
        for program in self.programs:
            program.write_settings()
            await program.start()
            self._start_task(program.keep_running())

    @property
    def programs(self) -> list[SupervisedProgram]:
        """The programs that run as processes."""
        return [*self.gateways, *self.rank_agents]

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)

    async def stop(self) -> None:
        """Stop everything that ``start`` started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.group.stop()
        for program in self.programs:
            await program.kill()
        for gateway in self.gateways:
            await gateway.caller_link.stop()
            await gateway.store_link.stop()
        for worker in self._agent_workers:
            await worker.stop()
        for endpoint in [*self.endpoints, *self.removed_endpoints]:
            await endpoint.worker.stop()
            await endpoint.link.stop()
        await self.store.stop()

    async def add_endpoint(self) -> Endpoint:
        """Start a plain endpoint and write its record to the store."""
        self._endpoint_number += 1
        worker = platform_worker.Worker(f'plain-{self._endpoint_number}')
        worker.script = respond_normally
        return await self._start_endpoint(worker, 'plain')

    async def _add_rank(self, rank: int, agent: RankAgentProgram) -> None:
        worker = rank_group.RankWorker(
            f'rank-{rank}', group=self.group, rank=rank
        )
        worker.script = respond_normally
        await self._start_endpoint(worker, 'model', agent.host)
        agent_worker = rank_group.RankWorker(
            worker.name, group=self.group, rank=rank, fresh=True
        )
        await agent_worker.start()
        self._agent_workers.append(agent_worker)
        agent.engine_port = agent_worker.port

    async def _start_endpoint(
        self,
        worker: platform_worker.Worker,
        service: str,
        host: str = '127.0.0.1',
    ) -> Endpoint:
        if service == 'plain':
            worker.fatal = self.fatal
        worker.event_count = EVENT_COUNT
        worker.event_interval_s = EVENT_INTERVAL_S
        await worker.start()
        link = links.LinkProxy(
            target_host='127.0.0.1', target_port=worker.port, listen_host=host
        )
        await link.start()
        endpoint = Endpoint(worker=worker, link=link, service=service)
        self.endpoints.append(endpoint)
        await self.write_endpoint_record(endpoint)
        return endpoint

    async def write_endpoint_record(self, endpoint: Endpoint) -> None:
        """Write an endpoint's record to the store."""
        name = endpoint.worker.name
        await self.store.put(
            endpoint_records.TOPIC, name, endpoint.store_record()
        )

    async def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Stop an endpoint and remove its record from the store."""
        self.endpoints.remove(endpoint)
        self.removed_endpoints.append(endpoint)
        # A close in order could look like the end of a response.
        endpoint.link.start_fault(links.LinkFault.RESET)
        await endpoint.worker.stop()
        await self.store.remove(endpoint_records.TOPIC, endpoint.worker.name)

    @property
    def probe_path(self) -> str:
        """The path of a route that only the newest plan has."""
        return f'/v{self.plan_version}/'

    async def change_plan(self) -> None:
        """Write a newer plan, with a route for ``probe_path``."""
        self.plan_version += self.rng.randrange(1, 4)
        plan = gateway_rig.make_plan(self.plan_version)
        routes = plan['routes']
        assert isinstance(routes, list)
        probe = gateway_rig.make_route(self.probe_path, 'safe')
        plan['routes'] = [*routes, {**probe, 'allow_anonymous': True}]
        services = plan['services']
        assert isinstance(services, list)
        services[1]['engine'] = {
            'sets': 1,
            'experts': rank_group.EXPERTS,
            'placements': 4,
            'spare': 4,
        }
        await self.store.put(config.TOPIC, config.KEY, plan)
        self.plan_written_at = time.monotonic()


async def respond_normally(
    worker: platform_worker.Worker, exchange: http11.Exchange
) -> None:
    """Execute the request, and stream events or name its attempt."""
    attempt_id = exchange.request.headers.get(
        platform_worker.ATTEMPT_HEADER, ''
    )
    target = exchange.request.target
    if target.startswith(('/stream/', '/song/', '/model/')):
        await platform_worker.stream_events(worker, exchange)
        return
    worker.record_execution(exchange)
    await asyncio.sleep(EXECUTION_S)
    headers = worker.response_headers(exchange)
    await exchange.respond(200, headers, b'answer to ' + attempt_id.encode())
