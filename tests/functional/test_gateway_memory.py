"""A gateway whose memory is full of bodies."""

import asyncio
from collections import abc

from aspenfold_standins import http11
from aspenfold_standins import platform_worker as workers

from tests.lib import gateway_rig as rigs

LARGE_BYTES = 200_000
MEMORY_BYTES = 1_000_000
"""Its part for bodies has room for one large one."""

LIMITS = {
    'max_header_bytes': 4_096,
    'max_body_bytes': LARGE_BYTES,
    'header_timeout_ms': 400,
    'idle_timeout_ms': 3_000,
}


def run_scenario(
    scenario: abc.Callable[[rigs.Rig], abc.Awaitable[None]],
) -> None:
    """Run a scenario at a gateway with little memory and one endpoint."""

    async def run() -> None:
        plan = rigs.make_plan(limits=LIMITS)
        async with rigs.running_rig(plan, MEMORY_BYTES) as rig:
            await rig.add_worker('w-1')
            await rig.wait_until_ready()
            await scenario(rig)

    asyncio.run(run())


async def held_bytes(rig: rigs.Rig) -> float:
    """Return the gateway's gauge of bytes that bodies take."""
    text = (await rigs.metrics(rig)).decode()
    (line,) = [
        x for x in text.splitlines() if x.startswith('aspenfold_body_bytes ')
    ]
    return float(line.split()[1])


async def wait_until_given_back(rig: rigs.Rig) -> None:
    """Wait until bodies take nothing; raises TimeoutError."""
    async with asyncio.timeout(rigs.TIMEOUT_S):
        while await held_bytes(rig):
            await asyncio.sleep(0.01)


async def send_to_silent_endpoint(
    rig: rigs.Rig,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a large body that its endpoint doesn't answer."""
    worker = rig.workers[0]
    worker.script = workers.never_respond
    reader, writer = await rig.connect()
    body = 'x' * LARGE_BYTES
    _, head = rig.request_head('/once/', body=body)
    writer.write(head + body.encode())
    await rigs.wait_until(lambda: worker.executions)
    worker.script = workers.complete
    return reader, writer


def chunked(head: bytes) -> bytes:
    """Return a head whose body has no length."""
    lines = head.split(b'\r\n')
    kept = [x for x in lines if not x.startswith(b'Content-Length')]
    return b'\r\n'.join([*kept[:-2], b'Transfer-Encoding: chunked', b'', b''])


def test_a_body_without_room_is_refused_unread() -> None:
    """Issue 33, RECOVER: bodies filled the memory, and the process ended."""

    async def scenario(rig: rigs.Rig) -> None:
        _, writer = await send_to_silent_endpoint(rig)
        _, head = rig.request_head('/once/', body='x' * LARGE_BYTES)
        refused = await rig.send(head)
        assert refused.status == 503
        assert refused.body.startswith(b'[1107]')
        assert float(refused.headers['retry-after']) > 0
        part = b'%x\r\n' % 150_000 + b'x' * 150_000 + b'\r\n'
        refused = await rig.send(chunked(head) + part)
        assert refused.body.startswith(b'[1107]')
        small = await rig.request('/once/', body='x' * 9_000)
        assert small.status == 200
        assert await held_bytes(rig) == LARGE_BYTES
        writer.close()
        await wait_until_given_back(rig)
        large = await rig.request('/once/', body='x' * LARGE_BYTES)
        assert large.status == 200
        assert len(rig.workers[0].requests) == 3

    run_scenario(scenario)


def test_what_a_body_took_is_given_back_however_its_request_ends() -> None:
    """Answered, refused, broken off inside, or left by its caller."""

    async def scenario(rig: rigs.Rig) -> None:
        body = 'x' * 50_000
        _, head = rig.request_head('/once/', body=body)
        assert (await rig.request('/once/', body=body)).status == 200
        assert (await rig.request('/nowhere/', body=body)).status == 404
        too_long = head.replace(b'50000', b'900000')
        assert (await rig.send(too_long)).status == 413
        for sent in (head, head + b'x' * 9, head + body.encode()):
            _, writer = await rig.connect()
            writer.write(sent)
            await asyncio.sleep(0.02)
            writer.close()
        await wait_until_given_back(rig)

    run_scenario(scenario)


LARGE_RESPONSES = 30
RESPONSE_BYTES = 1_000_000


async def send_large_response(
    worker: workers.Worker, exchange: http11.Exchange
) -> None:
    """Write a large body slowly enough that all are under way at once."""
    worker.record_execution(exchange)
    length = f'content-length: {RESPONSE_BYTES}'
    await exchange.write(workers.response_head(worker, exchange, length))
    for _ in range(10):
        await exchange.write(b'x' * (RESPONSE_BYTES // 10))
        await asyncio.sleep(0.01)


def test_large_responses_at_once_are_delivered_within_the_memory() -> None:
    """Each had a limit, all together had none, and the process was ended."""

    async def run() -> None:
        # The part for responses has room for four of them.
        async with rigs.running_rig(memory_bytes=30_000_000) as rig:
            for number in range(5):
                await rig.add_worker(f'w-{number}', send_large_response)
            await rigs.wait_until(lambda: rig.gateway.endpoints == 5)
            budget = rig.gateway._core.response_budget
            calls = [
                asyncio.create_task(rig.request('/safe/'))
                for _ in range(LARGE_RESPONSES)
            ]
            most_held = 0
            while not all(call.done() for call in calls):
                most_held = max(most_held, budget.held)
                await asyncio.sleep(0)
            for call in calls:
                assert len(call.result().body) == RESPONSE_BYTES
            assert most_held <= budget.limit + RESPONSE_BYTES
            assert budget.held == 0

    asyncio.run(run())


def test_bodies_at_the_ready_path_count_too() -> None:
    """Issue 48: only those at the callers' address did."""

    async def scenario(rig: rigs.Rig) -> None:
        port = rig.gateway.health_port
        head = b'POST /api/ready HTTP/1.1\r\nHost: x\r\nContent-Length: %d'
        head = head % LARGE_BYTES + b'\r\n\r\n'
        _, writer = await asyncio.open_connection(rigs.LOOPBACK, port)
        writer.write(head + b'x' * 1_000)
        while not await held_bytes(rig):
            await asyncio.sleep(0.01)
        reader, other = await asyncio.open_connection(rigs.LOOPBACK, port)
        other.write(head)
        assert (await rigs.read_response(reader)).status == 503
        other.close()
        writer.close()
        await wait_until_given_back(rig)

    run_scenario(scenario)
