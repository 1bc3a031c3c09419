"""The agent on an engine's host, with real sockets and as a process."""

import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import sys

from aspenfold_standins import http11
from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.commands import exit_status
from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings as settings_module
from aspenfold._internal.kernel import clock
from aspenfold._internal.processes import rank_agent
from aspenfold.platform import engine as engine_module
from aspenfold.platform import settings
from tests.lib import free_ports
from tests.lib import gateway_rig as rigs
from tests.soak import rank_group

PROGRAM = [
    sys.executable,
    '-c',
    'from aspenfold.cli import rank_agent; rank_agent.main()',
]


class UnresponsiveRank(rank_group.RankWorker):
    """A rank that resets the connection of each request."""

    async def _handle(self, exchange: http11.Exchange) -> None:
        exchange.reset()


def agent(port: int, rank: workers.Worker) -> rank_agent.RankAgent:
    """Return an agent for a rank, without starting it."""
    return rank_agent.RankAgent(
        cfg=settings_module.RankAgentSettings(
            name='host-1',
            availability_zone='z',
            listen=settings_module.TcpAddress(host=rigs.LOOPBACK, port=port),
            engine=settings_module.TcpAddress(
                host=rigs.LOOPBACK, port=rank.port
            ),
            memory_bytes=rigs.MEMORY_BYTES,
            max_sockets=rigs.MAX_SOCKETS,
        ),
        engine=engine_module.EngineClient(),
        read_targets=engine_module.READ_TARGETS,
        order_target=engine_module.ORDER_TARGET,
        clock=clock.MonotonicClock(),
    )


async def call_agent(port: int, target: bytes) -> tuple[int, bytes]:
    """Call the agent as a leader's client does."""
    client = engine_module.EngineClient()
    return await client.forward(rigs.LOOPBACK, port, target)


def test_reads_and_orders_are_forwarded_unchanged() -> None:
    """All other requests are refused."""

    async def run() -> None:
        group = rank_group.RankGroup(size=1, rng=random.Random(1))
        rank = rank_group.RankWorker('r', group=group, rank=0)
        await rank.start()
        (port,) = free_ports.find_ports(rigs.LOOPBACK, 1)
        running_agent = agent(port, rank)
        await running_agent.start()
        for target in (engine_module.COUNTS_TARGET, engine_module.MAP_TARGET):
            assert await call_agent(port, target) == await call_agent(
                rank.port, target
            )
        assert (await call_agent(port, b'/health'))[0] == 404
        client = engine_module.EngineClient()
        for target in (engine_module.REPORT_TARGET, b'/v1/completions'):
            status, _ = await client.forward(
                rigs.LOOPBACK, port, target, b'{}'
            )
            assert status == 404
        assert (await call_agent(port, engine_module.ORDER_TARGET))[0] == 404
        order = rank_protocol.Order(
            rank=0,
            op=rank_protocol.Op.HOLD,
            epoch=1,
            token=9,
            version=0,
            step=5,
            new_map=(),
        )
        answer = await client.order(rigs.LOOPBACK, port, order)
        assert answer is rank_protocol.Answer.ACCEPTED
        assert group.simulation.ranks[0].held_pass == order.step
        await running_agent.drain()
        await rank.stop()

    asyncio.run(run())


def test_no_answer_is_forwarded_as_no_answer() -> None:
    """Any status would look like an answer of the engine."""

    async def run() -> None:
        group = rank_group.RankGroup(size=1, rng=random.Random(1))
        rank = UnresponsiveRank('r', group=group, rank=0)
        await rank.start()
        (port,) = free_ports.find_ports(rigs.LOOPBACK, 1)
        running_agent = agent(port, rank)
        await running_agent.start()
        with pytest.raises(ports.EngineUnavailable):
            await call_agent(port, engine_module.REPORT_TARGET)
        assert running_agent.engine_failures == 1
        await running_agent.drain()
        await rank.stop()

    asyncio.run(run())


class SlowRank(rank_group.RankWorker):
    """A rank that answers after a delay."""

    request_count = 0

    async def _handle(self, exchange: http11.Exchange) -> None:
        self.request_count += 1
        await asyncio.sleep(0.2)
        await super()._handle(exchange)


def test_draining_agent_answers_requests_in_progress() -> None:
    """It also closes idle connections, on which calls would be lost."""

    async def run() -> None:
        group = rank_group.RankGroup(size=1, rng=random.Random(1))
        rank = SlowRank('r', group=group, rank=0)
        await rank.start()
        (port,) = free_ports.find_ports(rigs.LOOPBACK, 1)
        running_agent = agent(port, rank)
        await running_agent.start()
        reader, writer = await asyncio.open_connection(rigs.LOOPBACK, port)
        call = asyncio.ensure_future(
            call_agent(port, engine_module.COUNTS_TARGET)
        )
        await rigs.wait_until(lambda: rank.request_count)
        await running_agent.drain()
        status, _ = await call
        assert status == 200
        assert await asyncio.wait_for(reader.read(), rigs.TIMEOUT_S) == b''
        writer.close()
        with pytest.raises(ports.EngineUnavailable):
            await call_agent(port, engine_module.COUNTS_TARGET)
        await rank.stop()

    asyncio.run(run())


def test_program_serves_and_ends(tmp_path: pathlib.Path) -> None:
    """The platform starts it, and sends SIGHUP and SIGTERM."""

    async def run() -> tuple[int, str]:
        group = rank_group.RankGroup(size=1, rng=random.Random(1))
        rank = rank_group.RankWorker('r', group=group, rank=0)
        await rank.start()
        first, last = sorted(free_ports.find_ports(rigs.LOOPBACK, 2))
        path = tmp_path / 'settings.json'
        file = {
            'node': 'host-1',
            'ip': rigs.LOOPBACK,
            'zone': 'z',
            'app': f'{rigs.LOOPBACK}:{rank.port}',
            'internal_port_range': [first - 1, last],
        }
        path.write_text(json.dumps(file))
        process = await asyncio.create_subprocess_exec(
            *PROGRAM,
            env={**os.environ, settings.PATH_VARIABLE: str(path)},
            stdout=subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(rigs.TIMEOUT_S):
                while True:
                    try:
                        await call_agent(first, engine_module.COUNTS_TARGET)
                        break
                    except ports.EngineUnavailable:
                        await asyncio.sleep(0.02)
            process.send_signal(signal.SIGHUP)
            await call_agent(first, engine_module.COUNTS_TARGET)
            process.send_signal(signal.SIGTERM)
            output, _ = await asyncio.wait_for(
                process.communicate(), rigs.TIMEOUT_S
            )
            return process.returncode or 0, output.decode()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await rank.stop()

    status, output = asyncio.run(run())
    assert status == 0
    events = [json.loads(line)['event'] for line in output.splitlines()]
    assert events == [100, 105, 102]


def test_invalid_settings_end_the_program(tmp_path: pathlib.Path) -> None:
    """The error must name the invalid field."""
    path = tmp_path / 'settings.json'
    file = {
        'node': 'n',
        'ip': rigs.LOOPBACK,
        'zone': 'z',
        'app': '127.0.0.1:1',
        'internal_port_range': [7, 9],
    }
    for field, value in [
        ('app', 'nowhere'),
        ('app', None),
        ('internal_port_range', [7, 7]),
    ]:
        path.write_text(json.dumps({**file, field: value}))
        result = subprocess.run(
            PROGRAM,
            env={**os.environ, settings.PATH_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert result.returncode == exit_status.ExitStatus.USAGE
        assert '[5000]' in result.stderr
        assert field in result.stderr
