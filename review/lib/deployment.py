"""A small deployment: a store, plain endpoints and gateways."""

import asyncio
from collections import abc
import pathlib
import typing

from lib import http11
from lib import programs
from lib import store as store_module

HOST_NAME = 'tills.example'
API_KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'choir-shop'
HEARTBEAT_S = 1.2
GRACE_S = 8
ZONES = ('levis-a', 'levis-b', 'sainte-foy')

ATTEMPT_ID = 'x-aspenfold-attempt-id'
SEAL = 'X-Aspenfold-Response-Seal'

Script = abc.Callable[
    ['Endpoint', http11.Request, asyncio.StreamWriter],
    abc.Coroutine[None, None, None],
]


class Endpoint:
    """An endpoint that registers itself in the store.

    ``script`` answers what is meant for this endpoint; ``runs`` has the ids
    of the requests that it ran, in order.  Unless it ``is_up`` it does not
    register itself.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        host: str,
        zone: str,
        store: store_module.Store,
        script: Script,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.runs: list[str] = []
        self.is_up = True
        self.server = http11.Server(host=host, handler=self._handle)
        self._service = service
        self._zone = zone
        self._store = store
        self._script = script
        self._slots = slots
        self._sequence = 0

    async def _handle(
        self, request: http11.Request, writer: asyncio.StreamWriter
    ) -> None:
        if request.target == '/health':
            identity = {'X-Aspenfold-Instance-Id': self.name}
            writer.write(http11.response(200, identity))
            return
        expected = request.headers.get('x-aspenfold-expect-instance')
        if expected not in (None, self.name):
            identity = {'X-Aspenfold-Instance-Id': self.name}
            writer.write(http11.response(421, identity))
            return
        await self._script(self, request, writer)

    def run(self, request: http11.Request) -> dict[str, str]:
        """Note that a request runs; return the headers of its answer."""
        attempt_id = request.headers.get(ATTEMPT_ID, '')
        self.runs.append(attempt_id)
        return {
            'X-Aspenfold-Attempt-Id': attempt_id,
            SEAL: f'{self.name}.{attempt_id}',
        }

    async def register(self) -> None:
        """Write the endpoint's entry to the store."""
        self._sequence += 1
        entry = {
            'service': self._service,
            'address': self.server.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
        }
        await self._store.put('keyed.servers', self.name, entry)

    async def keep_registered(self) -> None:
        """Write the entry at each heartbeat while the endpoint is up."""
        while self.is_up:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)


def route(
    *,
    name: str,
    kind: str,
    service: str,
    timeout_ms: int,
    max_attempts: int = 1,
) -> dict[str, object]:
    """Return a route of a configuration, with the prefix ``/NAME/``."""
    return {
        'name': name,
        'host': HOST_NAME,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': max_attempts,
        'allow_anonymous': False,
    }


def configuration(
    *,
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
) -> dict[str, object]:
    """Return a configuration, with the limits of the sites' examples."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [API_KEY], 'priority': 1}],
    }


def plain_service(name: str) -> dict[str, object]:
    """Return a service of a configuration that is no model."""
    return {
        'name': name,
        'health_path': '/health',
        'max_connections': 100,
        'protocol': 'h1',
        'tls': False,
    }


class Deployment:
    """The store, the endpoints and the gateways of one case.

    Each gateway has a loopback address of its own.
    """

    def __init__(self, *, folder: pathlib.Path, gateway_count: int) -> None:
        network = programs.loopback_network()
        self.platform_host = f'{network}.1'
        self.gateway_hosts = [
            f'{network}.{10 + n}' for n in range(gateway_count)
        ]
        self.store = store_module.Store(host=self.platform_host)
        self.endpoints: list[Endpoint] = []
        self.gateways: list[programs.Program] = []
        self.front_addresses: list[str] = []
        self.ready_addresses: list[str] = []
        self._folder = folder
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._internal_ports = programs.free_port_range(self.gateway_hosts, 2)

    async def start_store(self, config: dict[str, object]) -> None:
        """Start the store with a first configuration."""
        await self.store.server.start()
        await self.store.put('keyed.op', 'config', config)

    async def add_endpoint(
        self, *, name: str, service: str, zone: str, script: Script
    ) -> Endpoint:
        """Start an endpoint that stays registered."""
        endpoint = Endpoint(
            name=name,
            service=service,
            host=self.platform_host,
            zone=zone,
            store=self.store,
            script=script,
        )
        await endpoint.server.start()
        await endpoint.register()
        self.spawn(endpoint.keep_registered())
        self.endpoints.append(endpoint)
        return endpoint

    def spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
        """Run a task until the deployment stops."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    def _common_settings(self, host: str, zone: str) -> dict[str, object]:
        return {
            'ip': host,
            'zone': zone,
            'region': 'qc-est',
            'zones': dict.fromkeys(ZONES, 'qc-est'),
            'internal_port_range': list(self._internal_ports),
            'bootstrap': True,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'bounds': {
                'stable_window_ms': 3000,
                'drain_ms': 2000,
                'grace_s': GRACE_S,
                'loss_slack_ms': 200,
                'config_apply_ms': 2000,
                'retry_budget_ratio': 0.2,
                'budget_window_s': 10,
                'retry_budget_slack': 90,
                'stall_ms': 1500,
                'enforce_fencing': True,
            },
            'platform': {
                'address': self.store.server.address,
                'form': 'log',
                'writes_per_s': 400,
                'reads_per_s': 2000,
            },
        }

    async def start_gateways(self) -> None:
        """Start all gateways; return once they are ready."""
        for number, host in enumerate(self.gateway_hosts):
            front = f'{host}:{programs.free_port(host)}'
            ready = f'{host}:{programs.free_port(host)}'
            zone = ZONES[number % len(ZONES)]
            settings = {
                **self._common_settings(host, zone),
                'node': f'front-{zone}-{1 + number // len(ZONES)}',
                'role': 'gateway',
                'machine_class': 'front',
                'serves': ['front'],
                'listen': {'front': front, 'ready': ready},
                'limits': {'memory_mb': 300, 'max_fds': 4200},
            }
            gateway = programs.Program(
                role='gateway', settings=settings, folder=self._folder
            )
            self.front_addresses.append(front)
            self.ready_addresses.append(ready)
            self.gateways.append(gateway)
            await gateway.start()
        await programs.wait_until_ready(self.ready_addresses)

    async def stop(self) -> None:
        """End all gateways, tasks and servers."""
        for gateway in self.gateways:
            await gateway.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for endpoint in self.endpoints:
            await endpoint.server.stop()
        await self.store.server.stop()
