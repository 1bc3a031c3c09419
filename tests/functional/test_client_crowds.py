"""Crowds of clients that send requests ahead and read no response.

Each test has a process of its own.  It checks nothing that depends on the
speed of the host.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import typing

from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.commands import exit_status
from aspenfold._internal.observability import events
from aspenfold.platform import settings
from aspenfold_standins import launcher
from tests.lib import crowds
from tests.lib import deployment_client
from tests.lib import gateway_program as programs
from tests.lib import gateway_rig as rigs
from tests.lib import process_usage

MEMORY_MB = 128
"""The memory of the host, by the settings; a gateway's has 300."""

MAX_DESCRIPTORS = 300
"""Descriptors of the host, by the settings; a gateway's has 4,200."""

CLIENTS = 8

BYTES_PER_MB = 1_000_000

CROWD_BYTES = MEMORY_MB * BYTES_PER_MB
"""As much as the host has memory, from all clients together."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """What each client of a crowd sends, and to which address."""

    request: bytes
    server: str = 'callers'
    clients: int = CLIENTS
    total_bytes: int = CROWD_BYTES

    def port(self, program: programs.Program) -> int:
        """Return the port to which the crowd connects."""
        return {
            'callers': program.callers_port,
            'health': program.health_port,
            'metrics': settings.METRICS_PORT,
            'peers': program.peer_port,
        }[self.server]


def get(path: str, host: str = rigs.HOST) -> bytes:
    """Return a request without any header that it could do without."""
    return f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()


def with_key(method: str) -> bytes:
    """Return a sound request, which an endpoint serves."""
    return (
        f'{method} /safe/ HTTP/1.1\r\nHost: {rigs.HOST}\r\n'
        f'Authorization: Bearer {rigs.KEY}\r\n'
        'X-Aspenfold-Attempt-Id: a-1\r\n\r\n'
    ).encode()


CROWDS = {
    'without the usual headers': Crowd(request=get('/safe/')),
    'without headers, at an open route': Crowd(request=get('/open/')),
    'at the ready path': Crowd(request=get('/api/ready'), server='health'),
    'at paths without a route': Crowd(request=get('/nowhere/')),
    'with a key': Crowd(request=with_key('GET')),
    'with a key, for the head only': Crowd(request=with_key('HEAD')),
    'at the metrics': Crowd(request=get('/metrics'), server='metrics'),
    "at the peers' port": Crowd(request=get('/news'), server='peers'),
}


async def check_service(program: programs.Program) -> None:
    """Check that the process is ready and serves an ordinary request."""
    status, _ = await programs.get(program.health_port, '/api/ready')
    assert status == 200
    _, head = program.rig.request_head('/safe/')
    response = await programs.send(program.callers_port, head)
    assert response.status == 200
    assert response.complete


def check_usage(program: programs.Program) -> None:
    """Check that the process runs and stays within its host."""
    pid = program.process.pid
    assert program.process.returncode is None
    assert process_usage.open_descriptors(pid) <= MAX_DESCRIPTORS
    assert process_usage.peak_memory(pid) <= MEMORY_MB * BYTES_PER_MB


async def run_crowd(crowd: Crowd, directory: pathlib.Path) -> None:
    """Let a crowd come to a gateway, and look at it then and afterwards."""
    limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_DESCRIPTORS}
    with (directory / 'gateway.log').open('wb') as log:
        async with programs.running_program(
            directory, workers.complete, limits, log
        ) as program:
            async with crowds.waiting_crowd(
                crowd.port(program),
                crowd.request,
                clients=crowd.clients,
                total_bytes=crowd.total_bytes,
            ):
                await check_service(program)
                check_usage(program)
            await check_service(program)
            check_usage(program)


@pytest.mark.parametrize('name', CROWDS)
def test_a_crowd_leaves_the_gateway_within_its_host(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Issue 48: a process ended, as it ran out of memory."""
    asyncio.run(run_crowd(CROWDS[name], tmp_path))


async def stop_beside_crowd(
    directory: pathlib.Path, log: typing.IO[bytes]
) -> int:
    """Reload and stop a gateway with a crowd; return its exit status.

    A stream is in progress, and must arrive whole.
    """
    limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_DESCRIPTORS}
    async with (
        programs.running_program(
            directory, workers.stream_events, limits, log
        ) as program,
        crowds.waiting_crowd(
            program.callers_port,
            get('/nowhere/'),
            clients=CLIENTS,
            total_bytes=CROWD_BYTES,
        ),
    ):
        program.process.send_signal(signal.SIGHUP)
        reader, writer = await asyncio.open_connection(
            programs.ADDRESS, program.callers_port
        )
        writer.write(program.rig.request_head('/stream/')[1])
        await rigs.wait_until(lambda: program.worker.executions)
        program.process.send_signal(signal.SIGTERM)
        response = await rigs.read_response(reader)
        assert response.status == 200
        assert response.complete
        writer.close()
        return await program.process.wait()


def test_a_crowd_holds_up_no_signal(tmp_path: pathlib.Path) -> None:
    """SIGHUP and SIGTERM come through, and the drain ends."""
    path = tmp_path / 'gateway.log'
    with path.open('wb') as log:
        status = asyncio.run(stop_beside_crowd(tmp_path, log))
    assert status == exit_status.ExitStatus.OK
    lines = path.read_text().splitlines()
    logged = [json.loads(line)['event'] for line in lines]
    assert events.Event.RELOADED in logged
    assert events.Event.STOPPED in logged


IDLE_CLIENTS = 400
"""More than the gateway can have descriptors."""


@pytest.mark.parametrize('server', ['callers', 'health'])
def test_a_crowd_without_requests_leaves_descriptors_for_others(
    server: str, tmp_path: pathlib.Path
) -> None:
    """Issue 48: the gateway accepted connections until none was left."""
    crowd = Crowd(
        request=get('/safe/'),
        server=server,
        clients=IDLE_CLIENTS,
        total_bytes=0,
    )
    asyncio.run(run_crowd(crowd, tmp_path))


ENTRY_MEMORY_BYTES = 300 * BYTES_PER_MB
"""The memory of an entry's host, which its settings do not lower."""

ENTRY_CROWDS = {
    'without the usual headers': b'POST /services/till/ping HTTP/1.1\r\n'
    b'Host: x\r\nContent-Length: 0\r\n\r\n',
    'at the ready path': get('/health/ready'),
    'at paths without a route': get('/nowhere/'),
}


@pytest.mark.parametrize('name', ENTRY_CROWDS)
def test_a_crowd_leaves_the_entry_within_its_host(
    name: str, deployment: launcher.Deployment
) -> None:
    """Issue 48, at the program with the other interface for callers."""
    client = deployment_client.DeploymentClient(deployment)
    entry = deployment.processes[deployment.entry_names()[0]]

    def check() -> None:
        ready = deployment.request('GET', f'{entry.url}/health/ready')
        assert ready.status == 200
        assert client.post(0, '/services/till/ping', {}).status == 200
        assert entry.is_running
        assert process_usage.open_descriptors(entry.pid) <= MAX_DESCRIPTORS
        assert process_usage.peak_memory(entry.pid) <= ENTRY_MEMORY_BYTES

    async def run() -> None:
        async with crowds.waiting_crowd(
            entry.port,
            ENTRY_CROWDS[name],
            clients=CLIENTS,
            total_bytes=ENTRY_MEMORY_BYTES,
            host=launcher.LOOPBACK,
        ):
            await asyncio.to_thread(check)
        check()

    asyncio.run(run())


SLOW_CLIENTS = 80
"""More than the entry has threads."""

DRIP_INTERVAL_S = 2.0
ANSWER_TIMEOUT_S = 15.0
"""Longer than the entry waits for a client that sends nothing."""


async def drip(socks: list[socket.socket]) -> None:
    """Send a byte of a head on each connection now and then."""
    loop = asyncio.get_running_loop()
    while True:
        for sock in socks:
            with contextlib.suppress(ConnectionError):
                await loop.sock_sendall(sock, b's')
        await asyncio.sleep(DRIP_INTERVAL_S)


def test_slow_heads_leave_the_entry_to_others(
    deployment: launcher.Deployment,
) -> None:
    """Issue 48: each kept a thread for as long as it liked."""
    entry = deployment.processes[deployment.entry_names()[0]]
    request = ENTRY_CROWDS['at the ready path']

    async def run() -> None:
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as open_sockets:
            socks = []
            for _ in range(SLOW_CLIENTS):
                sock = await programs.connect_slowly(
                    entry.port, launcher.LOOPBACK
                )
                socks.append(open_sockets.enter_context(sock))
                await loop.sock_sendall(sock, request[:-8])
            dripping = asyncio.ensure_future(drip(socks))
            await asyncio.sleep(DRIP_INTERVAL_S)
            reader, writer = await asyncio.open_connection(
                launcher.LOOPBACK, entry.port
            )
            writer.write(request)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status = await reader.readline()
            finally:
                dripping.cancel()
                writer.close()
            assert status.split()[1] == b'200'

    asyncio.run(run())
