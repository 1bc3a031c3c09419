"""Runs the project's gateways as the deploy file says."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import tomllib

from standins_2 import http

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

GRACE_S = 8.0

START_TIMEOUT_S = 20.0


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    text = (REPOSITORY / 'deploy' / 'system.toml').read_text()
    return tomllib.loads(text)['roles'][role]['run'].split(' ')


def environment(settings_path: pathlib.Path) -> dict[str, str]:
    """Return the environment in which the platform starts a program."""
    names = ('PATH', 'HOME', 'LANG')
    kept = {name: os.environ[name] for name in names if name in os.environ}
    return {
        **kept,
        'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
        'ASPENFOLD_SETTINGS': str(settings_path),
    }


class Gateway:
    """One gateway on one entry host."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        zone: str,
        peer_port: int,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self.port = free_port(ip)
        self.ready_port = free_port(ip)
        self._zone = zone
        self._peer_port = peer_port
        self._settings_path = folder / f'{name}.json'
        self._log_path = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store_address: str) -> None:
        """Write the settings file in one step."""
        settings = {
            'node': self.name,
            'role': 'gateway',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.ip,
            'zone': self._zone,
            'region': 'ke-central',
            'listen': {
                'front': f'{self.ip}:{self.port}',
                'ready': f'{self.ip}:{self.ready_port}',
            },
            'internal_port_range': [self._peer_port, self._peer_port + 15],
            'seeds': [],
            'bootstrap': True,
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300},
            'data_dir': None,
            'heartbeat_ms': 1200,
            'bounds': {
                'stable_window_ms': 3000,
                'drain_ms': 2000,
                'grace_s': GRACE_S,
                'loss_slack_ms': 200,
                'config_apply_ms': 2000,
                'retry_budget_ratio': 0.2,
                'retry_budget_slack': 88,
            },
            'platform': {'address': store_address, 'form': 'log'},
        }
        new_path = self._settings_path.with_suffix('.new')
        new_path.write_text(json.dumps(settings))
        new_path.replace(self._settings_path)

    async def start(self) -> None:
        """Start the program and wait until it counts as ready."""
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command('gateway'),
                cwd=REPOSITORY,
                env=environment(self._settings_path),
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Ask as the platform does whether the host takes connections."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(
                    http.encode('GET /api/ready HTTP/1.1', [('Host', 'x')])
                )
                return (await http.read_head(reader)).status == 200
        except (OSError, TimeoutError, http.Closed):
            return False
        finally:
            if writer is not None:
                writer.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> None:
        """Wait for the end of the process; kill it after the time."""
        assert self.process is not None
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def kill(self) -> None:
        """End the process at the end of a case."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    def log_lines(self) -> list[dict[str, object]]:
        """Return the structured lines of the log."""
        found = []
        for line in self._log_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found
