"""Callers inside all limits meet none of the bounds on what they may hold.

Each gets its responses whole and in order.
"""

import asyncio
from collections import abc

from aspenfold_standins import platform_worker as workers

from tests.lib import gateway_program as programs
from tests.lib import gateway_rig as rigs

LARGE_BYTES = 400_000
CHUNK = b'a\r\n0123456789\r\n'
IDLE_TIMEOUT_S = 1.0
IDLE_S = 0.8 * IDLE_TIMEOUT_S
"""The longest time after which callers use a connection again."""

LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': LARGE_BYTES,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': IDLE_TIMEOUT_S * 1_000,
}

REQUESTS_AHEAD = 300
CONNECTIONS = 400


def run_scenario(
    scenario: abc.Callable[[rigs.Rig], abc.Awaitable[None]],
    script: workers.Script = workers.complete,
) -> None:
    """Run a scenario at a gateway with one endpoint that has many slots."""

    async def run() -> None:
        async with rigs.running_rig(rigs.make_plan(limits=LIMITS)) as rig:
            worker = await rig.add_worker('w-1', script, slots=CONNECTIONS)
            worker.event_count = 20_000
            worker.event_interval_s = 0.0
            await rig.wait_until_ready()
            with rigs.recorded_events() as lines:
                await scenario(rig)
            closed = [x for x in lines if x.get('event') in (207, 208)]
            assert closed == []

    asyncio.run(run())


def test_requests_sent_ahead_are_answered_in_order() -> None:
    """A caller sends some hundreds and reads all the time."""

    async def scenario(rig: rigs.Rig) -> None:
        reader, writer = await rig.connect()
        sent = [rig.request_head('/safe/') for _ in range(REQUESTS_AHEAD)]
        writer.write(b''.join(head for _, head in sent))
        for attempt, _ in sent:
            response = await rigs.read_next_response(reader)
            assert response.status == 200
            assert response.headers['x-aspenfold-attempt-id'] == attempt
        writer.close()

    run_scenario(scenario)


def test_a_largest_body_in_small_chunks_arrives() -> None:
    """Its endpoint gets it whole, and other callers are served meanwhile."""

    async def scenario(rig: rigs.Rig) -> None:
        _, head = rig.request_head('/once/', Transfer_Encoding='chunked')
        chunks = CHUNK * (LARGE_BYTES // 10)
        head = head.replace(b'GET', b'POST')
        sent = rig.send(head + chunks + b'0\r\n\r\n')
        large, small = await asyncio.gather(sent, rig.request('/safe/'))
        assert (large.status, small.status) == (200, 200)
        bodies = [len(x.body) for x in rig.workers[0].requests]
        assert sorted(bodies) == [0, LARGE_BYTES]

    run_scenario(scenario)


def test_many_callers_that_come_at_once_and_again_are_served() -> None:
    """Each waits nearly as long as it may before its next request."""

    async def scenario(rig: rigs.Rig) -> None:
        streams = await asyncio.gather(
            *(rig.connect() for _ in range(CONNECTIONS))
        )
        for _ in range(2):
            for _, writer in streams:
                writer.write(rig.request_head('/nowhere/')[1])
            for reader, _ in streams:
                response = await rigs.read_next_response(reader)
                assert response.status == 404
                assert response.complete
            await asyncio.sleep(IDLE_S)
        for _, writer in streams:
            writer.close()

    run_scenario(scenario)


def test_a_slow_and_steady_reader_gets_a_long_stream() -> None:
    """The stream is much longer than what the system buffers."""

    async def scenario(rig: rigs.Rig) -> None:
        sock = await programs.connect_slowly(rig.gateway.port, rigs.LOOPBACK)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, rig.request_head('/stream/')[1])
        received = b''
        while not received.endswith(b'0\r\n\r\n'):
            data = await loop.sock_recv(sock, 2_000)
            assert data
            received += data
            await asyncio.sleep(0.005)
        assert received.count(b'data:') == rig.workers[0].event_count
        sock.close()

    run_scenario(scenario, workers.stream_events)
