"""``aspenfold-gateway`` as a process: settings, signals, logs, metrics."""

import asyncio
import json
import pathlib
import signal
import socket
import subprocess

from aspenfold_standins import http11
from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.commands import exit_status
from aspenfold.platform import settings
from tests.lib import free_ports
from tests.lib import gateway_program as programs
from tests.lib import gateway_rig as rigs
from tests.lib import signals

LARGE_BYTES = 4_000_000
READ_AFTER_S = 1.6
"""Between the end of the balancer's delay and that of the grace period, as the
settings of this test have them."""


async def repeat_sigterm(process: asyncio.subprocess.Process) -> None:
    """Send SIGTERM repeatedly until the process has exited."""
    handle = signals.ProcessHandle(pid=process.pid)
    while process.returncode is None:
        handle.send(signal.SIGTERM)
        await asyncio.sleep(0.001)
    handle.close()


async def run_program(tmp_path: pathlib.Path) -> tuple[int, str]:
    """Send the program a stream request, SIGHUP and SIGTERM.

    Return its exit status and output.
    """
    async with programs.running_program(tmp_path) as program:
        process, worker = program.process, program.worker
        status, text = await programs.get(settings.METRICS_PORT, '/metrics')
        assert status == 200
        for name in (
            'in_flight',
            'plan_version 1.0',
            'plan_age_seconds',
            'list_age_seconds',
            'reads_store 1.0',
            'store_lost 0.0',
            'groups_standing 0.0',
            'leads_groups',
            'map_skew',
            'retry_budget_left',
        ):
            assert f'aspenfold_{name}'.encode() in text, name
        process.send_signal(signal.SIGHUP)
        reader, writer = await asyncio.open_connection(
            programs.ADDRESS, program.callers_port
        )
        writer.write(program.rig.request_head('/stream/')[1])
        await rigs.wait_until(lambda: worker.executions)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        repeated_signals = asyncio.ensure_future(repeat_sigterm(process))
        response = await rigs.read_response(reader)
        assert response.complete
        assert response.body.count(b'data:') == worker.event_count
        output, _ = await asyncio.wait_for(
            process.communicate(), rigs.TIMEOUT_S
        )
        await repeated_signals
        return process.returncode or 0, output.decode()


@pytest.mark.parametrize('version', [b'HTTP/1.0', b'HTTP/1.1'])
def test_a_killed_program_leaves_no_response_that_looks_complete(
    version: bytes, tmp_path: pathlib.Path
) -> None:
    """Nothing in the process can tell the caller any more."""

    async def run() -> None:
        async with programs.running_program(tmp_path) as program:
            reader, writer = await asyncio.open_connection(
                programs.ADDRESS, program.callers_port
            )
            _, head = program.rig.request_head('/stream/')
            writer.write(head.replace(b'HTTP/1.1', version))
            await rigs.wait_until(lambda: program.worker.executions)
            await asyncio.sleep(2 * program.worker.event_interval_s)
            program.process.kill()
            response = await rigs.read_response(reader)
            assert response.status == 200
            assert not response.complete

    asyncio.run(run())


async def answer_large(
    worker: workers.Worker, exchange: http11.Exchange
) -> None:
    """Execute and respond with nearly as much as a gateway buffers."""
    worker.record_execution(exchange)
    headers = worker.response_headers(exchange)
    await exchange.respond(200, headers, b'x' * LARGE_BYTES)


def test_a_response_that_is_being_read_at_the_end_arrives(
    tmp_path: pathlib.Path,
) -> None:
    """Review, case 3: what the gateway had in its buffers was lost."""

    async def run() -> None:
        async with programs.running_program(tmp_path) as program:
            program.worker.script = answer_large
            opened = [
                await programs.open_slow_connection(program.callers_port)
                for _ in range(3)
            ]
            for _, writer in opened:
                writer.write(program.rig.request_head('/once/')[1])
            await rigs.wait_until(lambda: len(program.worker.executions) == 3)
            program.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(READ_AFTER_S)
            responses = await asyncio.gather(
                *(rigs.read_response(reader) for reader, _ in opened)
            )
            for _, writer in opened:
                writer.close()
            assert [x.complete for x in responses] == [True] * 3
            assert {len(x.body) for x in responses} == {LARGE_BYTES}
            assert await program.process.wait() == exit_status.ExitStatus.OK

    asyncio.run(run())


def test_a_request_that_is_cut_at_the_end_leaves_no_task(
    tmp_path: pathlib.Path,
) -> None:
    """Its attempt is cancelled with all else, and can't look after it."""

    async def run() -> bytes:
        async with programs.running_program(tmp_path) as program:
            program.worker.script = workers.never_respond
            _, writer = await asyncio.open_connection(
                programs.ADDRESS, program.callers_port
            )
            writer.write(program.rig.request_head('/safe/')[1])
            await rigs.wait_until(lambda: program.worker.executions)
            program.process.send_signal(signal.SIGTERM)
            _, errors = await asyncio.wait_for(
                program.process.communicate(), rigs.TIMEOUT_S
            )
            writer.close()
            return errors

    assert asyncio.run(run()) == b''


def test_program_serves_reloads_and_drains(tmp_path: pathlib.Path) -> None:
    """Repeated SIGTERMs must not truncate the stream in flight."""
    status, output = asyncio.run(run_program(tmp_path))
    assert status == 0
    lines = [json.loads(line) for line in output.splitlines()]
    order = [line['event'] for line in lines]
    for event in (100, 404, 502, 300, 105, 101, 201, 102):
        assert event in order, event
    assert order.index(100) < order.index(101) < order.index(102)
    assert order.count(101) == 1
    assert rigs.KEY not in output


@pytest.mark.parametrize(
    ('text', 'field'),
    [
        (None, settings.PATH_VARIABLE),
        ('{"node": "n", "ip": "127.0.0.9"}', 'zone'),
        ('not json', 'settings.json'),
    ],
)
def test_invalid_settings_are_reported_with_the_field(
    tmp_path: pathlib.Path, text: str | None, field: str
) -> None:
    """Invalid settings must not end in a traceback."""
    path = tmp_path / 'settings.json'
    env = programs.environment(path)
    if text is None:
        del env[settings.PATH_VARIABLE]
    else:
        path.write_text(text)
    completed = subprocess.run(
        programs.PROGRAM, env=env, capture_output=True, text=True, timeout=30
    )
    assert completed.returncode == exit_status.ExitStatus.USAGE
    assert '[5000]' in completed.stderr
    assert field in completed.stderr
    assert 'try:' in completed.stderr


@pytest.mark.parametrize('field', ['peer_port', 'callers', 'health'])
def test_unavailable_port_is_reported_with_the_setting(
    tmp_path: pathlib.Path, field: str
) -> None:
    """A port in use must not end in a traceback."""
    names = ('peer_port', 'callers', 'health')
    ports = dict(
        zip(names, free_ports.find_ports(programs.ADDRESS, 3), strict=True)
    )
    path = tmp_path / 'settings.json'
    path.write_text(
        json.dumps(
            programs.settings_file(
                callers=ports['callers'],
                health=ports['health'],
                peers=[ports['peer_port'], ports['peer_port']],
                store=1,
            )
        )
    )
    with socket.create_server((programs.ADDRESS, ports[field])):
        completed = subprocess.run(
            programs.PROGRAM,
            env=programs.environment(path),
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert completed.returncode == exit_status.ExitStatus.FAILED
    assert '[5001]' in completed.stderr
    assert f'{programs.ADDRESS}:{ports[field]}' in completed.stderr
    assert field in completed.stderr
    assert 'Traceback' not in completed.stderr
