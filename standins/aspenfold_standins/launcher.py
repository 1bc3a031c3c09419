"""Starts a whole deployment as processes; a developers' tool.

The system's own processes start no others: this launcher stands in for
the platform that starts them.  It ends only what it started, by pid.
"""

import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import time
import typing

import urllib3

from aspenfold._internal.models import fleet as fleet_model

SYSTEM_KEY = 'demo-system-key-0123456789'
OPERATOR_KEY = 'demo-operator-key-0123456789'
READY_TIMEOUT = 40.0
STOP_TIMEOUT = 20.0
LOOPBACK = '127.0.0.1'


class LaunchError(Exception):
    """A process did not become ready."""


class Child:
    """One started process; ``info`` is the JSON line it printed."""

    def __init__(self, name: str, argv: list[str], errors: typing.Any) -> None:
        self.name = name
        self.info: dict[str, typing.Any] = {}
        self._process = subprocess.Popen(
            argv, stdout=subprocess.PIPE, stderr=errors, text=True
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def port(self) -> int:
        """The port that the process said it listens on."""
        return int(self.info['port'])

    @property
    def url(self) -> str:
        """The base URL of its HTTP server."""
        return f'http://{LOOPBACK}:{self.port}'

    def wait_ready(self) -> None:
        """Wait for the JSON line that tells the port."""
        assert self._process.stdout is not None
        ready, _, _ = select.select(
            [self._process.stdout], [], [], READY_TIMEOUT
        )
        line = self._process.stdout.readline() if ready else ''
        if not line:
            raise LaunchError(f'{self.name} did not become ready')
        self.info = json.loads(line)

    def send(self, number: int) -> None:
        """Send a signal to exactly this process."""
        if self._process.poll() is None:
            os.kill(self._process.pid, number)

    def freeze(self) -> None:
        """Stop the process without its knowledge."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self._process.wait(STOP_TIMEOUT)

    def terminate(self) -> None:
        """Ask the process to shut down; do not wait."""
        self.send(signal.SIGTERM)

    def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """Wait for the process to end and return its status."""
        return self._process.wait(timeout)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None


class Deployment:
    """The platform's stand-ins, endpoints with agents, and entries."""

    def __init__(
        self, *, fleet_file: pathlib.Path, directory: pathlib.Path
    ) -> None:
        self.fleet_file = fleet_file
        self.directory = directory
        document = json.loads(fleet_file.read_text(encoding='utf-8'))
        self.fleet = fleet_model.Fleet.model_validate(document)
        self.http = urllib3.PoolManager(
            retries=urllib3.Retry(0), timeout=urllib3.Timeout(60.0)
        )
        self.children: dict[str, Child] = {}
        self.hosts: dict[str, dict[str, typing.Any]] = {}
        self.entry_peers: list[int] = []
        self._agent_argv: dict[str, list[str]] = {}
        self.engine_options: tuple[str, ...] = ()
        self._errors = open(  # noqa: SIM115
            directory / 'stderr.txt', 'a', encoding='utf-8'
        )

    # -- whole -----------------------------------------------------------

    def start(self, *, entries_per_zone: int = 1) -> None:
        """Start everything and wait until all entries are ready."""
        self.start_platform()
        self._start_endpoints()
        for zone in sorted(self.fleet.zones()):
            for number in range(entries_per_zone):
                self.start_entry(f'entry-{zone}-{number}', zone)
        self._await_started()

    def stop(self) -> None:
        """Kill every process that this deployment started."""
        for child in self.children.values():
            child.thaw()
            child.kill()
        self._errors.close()

    def start_platform(self) -> None:
        """Start the log service, the host list and the weight store."""
        for name in ('log', 'hosts', 'weights'):
            self._spawn(name, self._standin(name))
        for name in ('log', 'hosts', 'weights'):
            self.children[name].wait_ready()

    # -- parts -----------------------------------------------------------

    def start_entry(self, name: str, zone: str) -> Child:
        """Start an entry; it is listed once ready."""
        settings = {
            'name': name,
            'availability_zone': zone,
            'listen': {'address': LOOPBACK, 'port': 0},
            'peer_listen': {'address': LOOPBACK, 'port': 0},
            'platform': self.platform(),
            'peers': [
                {'address': LOOPBACK, 'port': port}
                for port in self.entry_peers
            ],
            'system_key': SYSTEM_KEY,
            'operator_key': OPERATOR_KEY,
            'log_file': str(self.directory / f'{name}.log'),
        }
        path = self._write(name, settings)
        child = self._spawn(name, [_program('aspenfold-entry'), path])
        self.hosts[name] = {
            'name': name,
            'availability_zone': zone,
            'role': 'entry',
            'address': LOOPBACK,
        }
        return child

    def start_agent(
        self,
        name: str,
        zone: str,
        service: fleet_model.Service,
        endpoint: Child,
        *,
        group: str = '',
        rank: int = 0,
    ) -> Child:
        """Start an agent beside an endpoint that is ready."""
        settings = {
            'name': name,
            'availability_zone': zone,
            'listen': {'address': LOOPBACK, 'port': 0},
            'endpoint': {'address': LOOPBACK, 'port': endpoint.port},
            'endpoint_path': f'/ranks/{rank}' if group else '',
            'service': service.name,
            'kind': service.kind.value,
            'operations': {op.name: op.path for op in service.operations},
            'system_key': SYSTEM_KEY,
            'group': group,
            'rank': rank,
            'drain_limit_ms': 15_000,
            'log_file': str(self.directory / f'{name}.log'),
        }
        path = self._write(name, settings)
        argv = [_program('aspenfold-agent'), path]
        self._agent_argv[name] = argv
        child = self._spawn(name, argv)
        self.hosts[name] = {
            'name': name,
            'availability_zone': zone,
            'role': 'endpoint',
            'address': LOOPBACK,
            'service': service.name,
            'group': group,
            'rank': rank,
        }
        return child

    def restart_agent(self, name: str) -> None:
        """Kill an agent, start it anew with its settings, and list it."""
        self.children[name].kill()
        self._spawn(name, self._agent_argv[name]).wait_ready()
        self.list_host(name)

    def list_host(self, name: str, **changes: object) -> None:
        """Put a host, once ready, on the host list, with changes."""
        child = self.children[name]
        host = self.hosts[name]
        host['port'] = child.port
        if 'peer_port' in child.info:
            host['peer_port'] = child.info['peer_port']
        host.update(changes)
        self.call('PUT', self.children['hosts'].url + '/hosts', host)

    def platform(self) -> dict[str, typing.Any]:
        """Return the platform's addresses as in settings files."""
        return {
            'log': {'address': LOOPBACK, 'port': self.children['log'].port},
            'host_list': {
                'address': LOOPBACK,
                'port': self.children['hosts'].port,
            },
        }

    def operator_settings(self) -> str:
        """Write settings for ``aspenfold`` and return their path."""
        return self._write(
            'operator',
            {
                'operator': 'demo',
                'platform': self.platform(),
                'operator_key': OPERATOR_KEY,
            },
        )

    def operate(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an ``aspenfold`` command and return what it printed."""
        return subprocess.run(
            [
                _program('aspenfold'),
                f'--settings={self.operator_settings()}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    def call(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Call an HTTP service, for example to switch a fault on."""
        return self.http.request(
            method, url, json=body, headers=headers, retries=False
        )

    def fault(self, name: str, **faults: object) -> None:
        """Switch faults of a stand-in on or off."""
        self.call('POST', self.children[name].url + '/faults', faults)

    def record(self, name: str) -> dict[str, typing.Any]:
        """Return what a stand-in really executed."""
        answer = self.call('GET', self.children[name].url + '/record')
        result: dict[str, typing.Any] = answer.json()
        return result

    def wait_for(
        self,
        what: str,
        check: typing.Callable[[], bool],
        timeout: float = 30.0,
    ) -> None:
        """Wait until ``check()`` holds."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if check():
                return
            time.sleep(0.1)
        raise LaunchError(f'waited {timeout} s for {what}')

    def entry_status(self, name: str) -> dict[str, typing.Any] | None:
        """Return an entry's status page, None if it does not answer."""
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        url = self.children[name].url + '/admin/status'
        try:
            answer = self.call('GET', url, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None
        return answer.json() if answer.status == 200 else None

    def entries(self) -> list[str]:
        """Return the names of all entries."""
        return [
            name
            for name, host in self.hosts.items()
            if host['role'] == 'entry'
        ]

    def steps(self) -> bool:
        """Return whether every rank reports a map in use."""
        status = self.entry_status(self.entries()[0])
        if status is None:
            return False
        ranks = [e for e in status['endpoints'] if e['group']]
        return bool(ranks) and all(e['map_in_use'] for e in ranks)

    # -- details ---------------------------------------------------------

    def _start_endpoints(self) -> None:
        plans = self._plan_endpoints()
        for name, argv in plans.items():
            self._spawn(name, argv)
        for name in plans:
            self.children[name].wait_ready()
        for service in self.fleet.services:
            if service.kind is fleet_model.ServiceKind.MODEL:
                self._start_rank_agents(service)
            else:
                self._start_plain_agents(service)

    def _plan_endpoints(self) -> dict[str, list[str]]:
        weights = self.children['weights'].url
        plans = {
            f'engine-{group.name}': self._standin(
                'engine',
                f'--ranks={group.ranks}',
                f'--weights={weights}',
                *self.engine_options,
            )
            for group in self.fleet.groups
        }
        for service in self.fleet.services:
            if service.kind is fleet_model.ServiceKind.PLAIN:
                for zone in service.workers:
                    name = f'plain-{service.name}-{zone}'
                    plans[name] = self._standin('plain')
        return plans

    def _start_rank_agents(self, service: fleet_model.Service) -> None:
        groups = [g for g in self.fleet.groups if g.service == service.name]
        zones = [
            zone
            for zone, count in service.workers.items()
            for _ in range(count)
        ]
        for group in groups:
            for rank in range(group.ranks):
                self.start_agent(
                    f'{group.name}-{rank}',
                    zones.pop(0),
                    service,
                    self.children[f'engine-{group.name}'],
                    group=group.name,
                    rank=rank,
                )

    def _start_plain_agents(self, service: fleet_model.Service) -> None:
        for zone, count in service.workers.items():
            for number in range(count):
                self.start_agent(
                    f'{service.name}-{zone}-{number}',
                    zone,
                    service,
                    self.children[f'plain-{service.name}-{zone}'],
                )

    def _await_started(self) -> None:
        for name in self.hosts:
            self.children[name].wait_ready()
        for name in self.hosts:
            self.list_host(name)

    def _spawn(self, name: str, argv: list[str]) -> Child:
        child = Child(name, argv, self._errors)
        self.children[name] = child
        return child

    def _standin(self, *arguments: str) -> list[str]:
        return [_program('aspenfold-standin'), *arguments]

    def _write(self, name: str, settings: object) -> str:
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2), encoding='utf-8')
        return str(path)


def _program(name: str) -> str:
    return str(pathlib.Path(sys.executable).parent / name)
