"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tomllib

from lib import http11

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

PASSED_VARIABLES = ('PATH', 'HOME', 'LANG')

READY_TIMEOUT_S = 20.0


def loopback_network() -> str:
    """Return the first three numbers of unused loopback addresses.

    Two runs at the same time hardly ever draw the same ones.
    """
    rng = random.SystemRandom()
    return f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def free_port_range(hosts: list[str], size: int) -> tuple[int, int]:
    """Return the first and last of ``size`` ports that all hosts have free."""
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(20_000, 32_000)
        if all(_is_free(h, first + n) for h in hosts for n in range(size)):
            return first, first + size - 1


def _is_free(host: str, port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((host, port))
    except OSError:
        return False
    return True


def command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    text = (REPOSITORY / 'deploy' / 'system.toml').read_text()
    return shlex.split(tomllib.loads(text)['roles'][role]['run'])


class Program:
    """One process of a role, started with a settings file."""

    def __init__(
        self,
        *,
        role: str,
        settings: dict[str, object],
        folder: pathlib.Path,
    ) -> None:
        self.name = str(settings['node'])
        self._role = role
        self._settings = settings
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f'{self.name}.log'

    async def start(self) -> None:
        """Start the process; its output is appended to its log."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings))
        environment = {
            name: os.environ[name]
            for name in PASSED_VARIABLES
            if name in os.environ
        }
        environment['ASPENFOLD_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *command(self._role),
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        """The exit status, None while the process runs."""
        return None if self._process is None else self._process.returncode

    async def wait(self) -> int:
        """Wait for the end of the process; return its exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def stop(self) -> None:
        """End the process at once."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self._process.wait()


async def is_ready(address: str) -> bool:
    """Return whether a gateway's health check succeeds."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            request = f'GET /api/ready HTTP/1.1\r\nHost: {address}\r\n\r\n'
            writer.write(request.encode())
            first, _ = await http11.read_head(reader)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    return first.split(' ')[1] == '200'


async def wait_until_ready(addresses: list[str]) -> None:
    """Wait until all gateways are ready; raises ``TimeoutError``."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for address in addresses:
            while not await is_ready(address):
                await asyncio.sleep(0.1)
