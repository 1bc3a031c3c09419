"""Starts a whole deployment as local processes, for tests and demos.

The launcher takes the place of the platform, which starts the product's
processes in production.  It signals only processes that it started.
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
READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 20.0
LOOPBACK = '127.0.0.1'


class LaunchError(Exception):
    """A process did not become ready, or a wait timed out."""


class ChildProcess:
    """A process started by the launcher.

    ``ready_message`` is the JSON object that it prints once it is ready.
    """

    def __init__(self, name: str, argv: list[str], stderr: typing.Any) -> None:
        self.name = name
        self.ready_message: dict[str, typing.Any] = {}
        self._process = subprocess.Popen(
            argv, stdout=subprocess.PIPE, stderr=stderr, text=True
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def port(self) -> int:
        """The port that the process listens on."""
        return int(self.ready_message['port'])

    @property
    def url(self) -> str:
        """The base URL of its HTTP server."""
        return f'http://{LOOPBACK}:{self.port}'

    def wait_ready(self) -> None:
        """Wait for the ready message; raise LaunchError without one."""
        assert self._process.stdout is not None
        readable, _, _ = select.select(
            [self._process.stdout], [], [], READY_TIMEOUT_S
        )
        line = self._process.stdout.readline() if readable else ''
        if not line:
            raise LaunchError(f'{self.name} did not become ready')
        self.ready_message = json.loads(line)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it has not ended."""
        if self._process.poll() is None:
            os.kill(self._process.pid, number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self._process.wait(STOP_TIMEOUT_S)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the process to end."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit status."""
        return self._process.wait(timeout)

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self._process.poll() is None


class Deployment:
    """Stand-ins of the platform and endpoints, with agents and entries."""

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
        self.processes: dict[str, ChildProcess] = {}
        self.hosts: dict[str, dict[str, typing.Any]] = {}
        self.entry_peer_ports: list[int] = []
        self._agent_argv: dict[str, list[str]] = {}
        self.engine_options: tuple[str, ...] = ()
        self._stderr_file = open(  # noqa: SIM115
            directory / 'stderr.txt', 'a', encoding='utf-8'
        )

    def start(self, *, entries_per_zone: int = 1) -> None:
        """Start every process and register the hosts once ready."""
        self.start_platform()
        self._start_endpoints()
        for zone in sorted(self.fleet.zones()):
            for number in range(entries_per_zone):
                self.start_entry(f'entry-{zone}-{number}', zone)
        self._register_hosts()

    def stop(self) -> None:
        """Kill every process that this deployment started."""
        for process in self.processes.values():
            process.thaw()
            process.kill()
        self._stderr_file.close()

    def start_platform(self) -> None:
        """Start the log service, the host list and the weight store."""
        for name in ('log', 'hosts', 'weights'):
            self._spawn(name, self._standin_command(name))
        for name in ('log', 'hosts', 'weights'):
            self.processes[name].wait_ready()

    def start_entry(self, name: str, zone: str) -> ChildProcess:
        """Start an entry; the caller waits for it and registers it."""
        settings = {
            'name': name,
            'availability_zone': zone,
            'listen': {'address': LOOPBACK, 'port': 0},
            'peer_listen': {'address': LOOPBACK, 'port': 0},
            'platform': self.platform_settings(),
            'peers': [
                {'address': LOOPBACK, 'port': port}
                for port in self.entry_peer_ports
            ],
            'system_key': SYSTEM_KEY,
            'operator_key': OPERATOR_KEY,
            'log_file': str(self.directory / f'{name}.log'),
        }
        path = self._write_settings(name, settings)
        process = self._spawn(name, [_program_path('aspenfold-entry'), path])
        self.hosts[name] = {
            'name': name,
            'availability_zone': zone,
            'role': 'entry',
            'address': LOOPBACK,
        }
        return process

    def start_agent(
        self,
        name: str,
        zone: str,
        service: fleet_model.Service,
        endpoint: ChildProcess,
        *,
        group: str = '',
        rank: int = 0,
    ) -> ChildProcess:
        """Start the agent of an endpoint that is ready."""
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
        path = self._write_settings(name, settings)
        argv = [_program_path('aspenfold-agent'), path]
        self._agent_argv[name] = argv
        process = self._spawn(name, argv)
        self.hosts[name] = {
            'name': name,
            'availability_zone': zone,
            'role': 'endpoint',
            'address': LOOPBACK,
            'service': service.name,
            'group': group,
            'rank': rank,
        }
        return process

    def restart_agent(self, name: str) -> None:
        """Kill an agent, start it with the same settings and register it."""
        self.processes[name].kill()
        self._spawn(name, self._agent_argv[name]).wait_ready()
        self.register_host(name)

    def register_host(self, name: str, **changes: object) -> None:
        """Put a ready host on the host list.

        ``changes`` override fields of its record.
        """
        process = self.processes[name]
        host = self.hosts[name]
        host['port'] = process.port
        if 'peer_port' in process.ready_message:
            host['peer_port'] = process.ready_message['peer_port']
        host.update(changes)
        self.request('PUT', self.processes['hosts'].url + '/hosts', host)

    def platform_settings(self) -> dict[str, typing.Any]:
        """Return the ``platform`` section of a settings file."""
        return {
            'log': {'address': LOOPBACK, 'port': self.processes['log'].port},
            'host_list': {
                'address': LOOPBACK,
                'port': self.processes['hosts'].port,
            },
        }

    def write_operator_settings(self) -> str:
        """Write the settings file of ``aspenfold`` and return its path."""
        return self._write_settings(
            'operator',
            {
                'operator': 'demo',
                'platform': self.platform_settings(),
                'operator_key': OPERATOR_KEY,
            },
        )

    def run_operator_command(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run an ``aspenfold`` command; return its output and status."""
        return subprocess.run(
            [
                _program_path('aspenfold'),
                f'--settings={self.write_operator_settings()}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    def request(
        self,
        method: str,
        url: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send an HTTP request with a JSON body and no retries."""
        return self.http.request(
            method, url, json=body, headers=headers, retries=False
        )

    def set_faults(self, name: str, **faults: object) -> None:
        """Set faults of the stand-in ``name``."""
        self.request('POST', self.processes[name].url + '/faults', faults)

    def fetch_record(self, name: str) -> dict[str, typing.Any]:
        """Return what a stand-in recorded, from ``GET /record``."""
        response = self.request('GET', self.processes[name].url + '/record')
        result: dict[str, typing.Any] = response.json()
        return result

    def wait_for(
        self,
        description: str,
        condition: typing.Callable[[], bool],
        timeout: float = 30.0,
    ) -> None:
        """Poll until ``condition()`` is true; raise LaunchError if late."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.1)
        raise LaunchError(
            f'timed out after {timeout} s waiting for {description}'
        )

    def fetch_entry_status(self, name: str) -> dict[str, typing.Any] | None:
        """Return an entry's status, or None if it gives no 200 response."""
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        url = self.processes[name].url + '/admin/status'
        try:
            response = self.request('GET', url, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None
        return response.json() if response.status == 200 else None

    def entry_names(self) -> list[str]:
        """Return the names of all entries."""
        return [
            name
            for name, host in self.hosts.items()
            if host['role'] == 'entry'
        ]

    def all_ranks_have_map(self) -> bool:
        """Return whether every rank reports a map in use."""
        status = self.fetch_entry_status(self.entry_names()[0])
        if status is None:
            return False
        ranks = [e for e in status['endpoints'] if e['group']]
        return bool(ranks) and all(e['map_in_use'] for e in ranks)

    def _start_endpoints(self) -> None:
        commands = self._endpoint_commands()
        for name, argv in commands.items():
            self._spawn(name, argv)
        for name in commands:
            self.processes[name].wait_ready()
        for service in self.fleet.services:
            if service.kind is fleet_model.ServiceKind.MODEL:
                self._start_rank_agents(service)
            else:
                self._start_plain_agents(service)

    def _endpoint_commands(self) -> dict[str, list[str]]:
        weights = self.processes['weights'].url
        commands = {
            f'engine-{group.name}': self._standin_command(
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
                    commands[name] = self._standin_command('plain')
        return commands

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
                    self.processes[f'engine-{group.name}'],
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
                    self.processes[f'plain-{service.name}-{zone}'],
                )

    def _register_hosts(self) -> None:
        for name in self.hosts:
            self.processes[name].wait_ready()
        for name in self.hosts:
            self.register_host(name)

    def _spawn(self, name: str, argv: list[str]) -> ChildProcess:
        process = ChildProcess(name, argv, self._stderr_file)
        self.processes[name] = process
        return process

    def _standin_command(self, *arguments: str) -> list[str]:
        return [_program_path('aspenfold-standin'), *arguments]

    def _write_settings(self, name: str, settings: object) -> str:
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2), encoding='utf-8')
        return str(path)


def _program_path(name: str) -> str:
    return str(pathlib.Path(sys.executable).parent / name)
