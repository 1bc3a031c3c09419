"""``aspenfold-gateway`` as a process, with its store and an endpoint."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import os
import pathlib
import socket
import subprocess
import sys
import typing

from aspenfold_standins import platform_worker as workers

from aspenfold.platform import settings
from tests.lib import free_ports
from tests.lib import gateway_rig as rigs

ADDRESS = f'127.9.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}'
"""Loopback address of this test run, since the metrics port is fixed."""

PROGRAM = [
    sys.executable,
    '-c',
    'from aspenfold.cli import gateway; gateway.main()',
]

ETHERNET_MSS = 1_460


def settings_file(
    *,
    callers: int,
    health: int,
    peers: list[int],
    store: int,
    limits: dict[str, float] | None = None,
) -> dict[str, object]:
    """Return settings in the platform's format.

    ``limits`` holds what the process may take of its host.
    """
    return {
        'node': 'gateway-1',
        'ip': ADDRESS,
        'zone': 'zone-a',
        'listen': {
            'front': f'{ADDRESS}:{callers}',
            'ready': f'{ADDRESS}:{health}',
        },
        'internal_port_range': peers,
        'bounds': {'grace_s': 3},
        'limits': limits or {},
        'platform': {'address': f'127.0.0.1:{store}'},
    }


def environment(path: pathlib.Path) -> dict[str, str]:
    """Return an environment that names the settings file."""
    return {**os.environ, settings.PATH_VARIABLE: str(path)}


async def send(port: int, data: bytes) -> rigs.Response:
    """Send raw bytes on a new connection and return the response."""
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    writer.write(data)
    try:
        return await rigs.read_response(reader)
    finally:
        writer.close()


async def get(port: int, path: str) -> tuple[int, bytes]:
    """Send a GET request and return the response's status and body."""
    request = f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    response = await send(port, request)
    return response.status, response.body


async def wait_ready(port: int) -> None:
    """Wait until the process is ready."""
    async with asyncio.timeout(rigs.TIMEOUT_S):
        while True:
            try:
                if (await get(port, '/api/ready'))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)


@dataclasses.dataclass(kw_only=True)
class Program:
    """A gateway program that is ready, with its store and one endpoint."""

    rig: rigs.Rig
    worker: workers.Worker
    process: asyncio.subprocess.Process
    callers_port: int
    health_port: int
    peer_port: int


@contextlib.asynccontextmanager
async def running_program(
    tmp_path: pathlib.Path,
    script: workers.Script = workers.stream_events,
    limits: dict[str, float] | None = None,
    output: typing.IO[bytes] | int = subprocess.PIPE,
) -> abc.AsyncIterator[Program]:
    """Run the program in front of an endpoint, by default a slow stream.

    Its log goes to ``output``.
    """
    rig = rigs.Rig()
    await rig.store.start()
    await rig.write_plan(rigs.make_plan())
    worker = await rig.add_worker('w-1', script)
    worker.event_interval_s = 0.05
    ports = free_ports.find_ports(ADDRESS, 4)
    callers, health, first, last = ports
    path = tmp_path / 'settings.json'
    path.write_text(
        json.dumps(
            settings_file(
                callers=callers,
                health=health,
                peers=[first, last],
                store=rig.store.port,
                limits=limits,
            )
        )
    )
    process = await asyncio.create_subprocess_exec(
        *PROGRAM,
        env=environment(path),
        stdout=output,
        stderr=subprocess.PIPE,
    )
    try:
        await wait_ready(health)
        yield Program(
            rig=rig,
            worker=worker,
            process=process,
            callers_port=callers,
            health_port=health,
            peer_port=first,
        )
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await worker.stop()
        await rig.store.stop()


async def connect_slowly(port: int, host: str = ADDRESS) -> socket.socket:
    """Return a connection that takes little before it is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_MSS)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, port))
    return sock


async def open_slow_connection(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open streams on a connection that takes little before it is read."""
    return await asyncio.open_connection(sock=await connect_slowly(port))
