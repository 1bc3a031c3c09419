"""Servers that send bytes without end: each reader closes in time."""

import asyncio
from collections import abc
import contextlib
import pathlib
import resource
import time

from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold._internal.network import host_list_client
from aspenfold._internal.network import http1_client
from aspenfold.platform import endpoint_records
from aspenfold.platform import engine
from aspenfold.platform import store
from tests.lib import endless_bytes
from tests.lib import gateway_rig as rigs
from tests.unit import test_endpoint_client
from tests.unit import test_endpoint_streams

CALLERS = 8

ROUTE_TIMEOUT_S = 1.5

ANSWER_DELAY_S = 0.5
"""Time after the route's timeout until which a caller gets its answer."""

MAX_TURN_S = 0.2
"""Processor time of one turn of the loop."""

MAX_GROWTH_BYTES = 60_000_000
"""Memory for the callers: some 5 MB each, with a margin for the allocator."""

MAX_SENT_BYTES = 16_000_000
"""What a server gets rid of on one connection: the limit of a body, and the
buffers of both sockets."""


class Usage(contextlib.AbstractAsyncContextManager['Usage']):
    """The longest turn of the loop and the growth of memory meanwhile."""

    def __init__(self) -> None:
        self.longest_turn_s = 0.0
        self.growth_bytes = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'Usage':
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()

    async def _watch(self) -> None:
        begin = resident_bytes()
        last = time.process_time()
        while True:
            await asyncio.sleep(0)
            now = time.process_time()
            self.longest_turn_s = max(self.longest_turn_s, now - last)
            growth = resident_bytes() - begin
            self.growth_bytes = max(self.growth_bytes, growth)
            last = time.process_time()

    def check(self) -> None:
        """Check that others were not held up, and the memory was bounded."""
        assert self.longest_turn_s < MAX_TURN_S
        assert self.growth_bytes < MAX_GROWTH_BYTES


def resident_bytes() -> int:
    """Return the memory of this process."""
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize()


@contextlib.asynccontextmanager
async def endless_server(
    form: str,
) -> abc.AsyncIterator[endless_bytes.EndlessServer]:
    """Yield a server that sends a form of bytes without end."""
    server = endless_bytes.EndlessServer(endless_bytes.FORMS[form])
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


def make_plan() -> dict[str, object]:
    """Return a plan with routes to a server in trouble and to a sound one."""
    timeout_ms = ROUTE_TIMEOUT_S * 1000
    return rigs.make_plan(
        routes=[
            rigs.make_route('/safe/', 'safe'),
            rigs.make_route(
                '/bad/', 'safe', service='bad', timeout_ms=timeout_ms
            ),
            rigs.make_route(
                '/bad-stream/',
                'streaming',
                service='bad',
                timeout_ms=timeout_ms,
                resume_streams=True,
            ),
        ],
        services=[{'name': 'plain'}, {'name': 'bad'}],
    )


async def read_all(rig: rigs.Rig, path: str) -> float:
    """Call, read to the end; return the seconds that it took."""
    begun_at = time.monotonic()
    reader, writer = await rig.connect()
    head = rig.request_head(path, Connection='close')[1]
    writer.write(head)
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            pass
    writer.close()
    return time.monotonic() - begun_at


@pytest.mark.parametrize('path', ['/bad/', '/bad-stream/'])
@pytest.mark.parametrize('form', endless_bytes.FORMS)
def test_an_endless_response_ends_and_holds_up_no_other(
    form: str, path: str
) -> None:
    """It held the loop, or took the memory, until the route's timeout."""

    async def run() -> None:
        async with (
            rigs.running_rig(make_plan()) as rig,
            endless_server(form) as server,
        ):
            await rig.add_worker('w-1')
            await rig.store.put(
                endpoint_records.TOPIC,
                'bad-1',
                server.store_record('bad-1', 'bad'),
            )
            await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
            async with Usage() as usage:
                calls = [
                    asyncio.create_task(read_all(rig, path))
                    for _ in range(CALLERS)
                ]
                while not all(call.done() for call in calls):
                    assert (await rig.request('/safe/')).status == 200
                    await asyncio.sleep(0.05)
            usage.check()
            limit = ROUTE_TIMEOUT_S + ANSWER_DELAY_S
            assert max(call.result() for call in calls) < limit

    asyncio.run(run())


@pytest.mark.parametrize('form', endless_bytes.FORMS)
def test_an_engine_that_answers_without_end_is_left(form: str) -> None:
    """A gateway or an agent read on until its timeout, whatever came."""

    async def run() -> None:
        async with endless_server(form) as server:
            client = engine.EngineClient()
            async with Usage() as usage:
                for method in (client.report, client.counts, client.rank_map):
                    with pytest.raises(ports.EngineUnavailable):
                        await method('127.0.0.1', server.port)
            usage.check()
            assert max(server.sent) < MAX_SENT_BYTES

    asyncio.run(run())


@pytest.mark.parametrize('form', endless_bytes.FORMS)
def test_a_store_that_answers_without_end_is_left(form: str) -> None:
    """Nothing of it is used."""

    async def run() -> None:
        async with endless_server(form) as server:
            client = store.StoreClient(
                address=settings.TcpAddress(host='127.0.0.1', port=server.port)
            )
            async with Usage() as usage:
                with pytest.raises(ports.StoreUnavailable):
                    await client.newest('topic')
            usage.check()

    asyncio.run(run())


@pytest.mark.parametrize('form', endless_bytes.FORMS)
def test_an_endless_response_ends_its_connection(form: str) -> None:
    """What comes behind a whole one belongs to no request."""

    async def run() -> None:
        async with endless_server(form) as server:
            connection = await http1_client.connect(
                '127.0.0.1', server.port, 1.0
            )
            async with Usage() as usage:
                # Callers bound the time.
                with contextlib.suppress(
                    http1_client.ConnectionLost, TimeoutError
                ):
                    async with asyncio.timeout(ROUTE_TIMEOUT_S):
                        await connection.request(
                            b'GET', b'/', [(b'host', b'x')], b''
                        )
            usage.check()
            assert not connection.reusable
            assert max(server.sent) < MAX_SENT_BYTES

    asyncio.run(run())


def test_endless_reports_of_ranks_hold_up_no_caller() -> None:
    """Three such engines took 600 MB of a gateway in six seconds."""

    async def run() -> None:
        async with (
            rigs.running_rig() as rig,
            contextlib.AsyncExitStack() as stack,
        ):
            await rig.add_worker('w-1', workers.complete)
            servers = []
            for number in range(3):
                server = await stack.enter_async_context(
                    endless_server('body')
                )
                name = f'rank-{number}'
                record = server.store_record(name, 'model')
                await rig.store.put(endpoint_records.TOPIC, name, record)
                servers.append(server)
            await rigs.wait_until(lambda: rig.gateway.endpoints == 4)
            async with Usage() as usage:
                while not all(server.sent for server in servers):
                    assert (await rig.request('/safe/')).status == 200
                    await asyncio.sleep(0.02)
                await asyncio.sleep(1.0)
            usage.check()
            for server in servers:
                assert max(server.sent) < MAX_SENT_BYTES

    asyncio.run(run())


THREADED_FORMS = ('noise', 'one line', 'one header', 'headers', 'body')
"""Those that are bounded in bytes by the clients of other services; the
others, in time (docs/PLATFORM.md)."""


@pytest.mark.parametrize('form', THREADED_FORMS)
def test_a_service_that_answers_without_end_is_left(form: str) -> None:
    """The host list and the log are read by threads."""

    async def run() -> None:
        async with endless_server(form) as server:
            client = host_list_client.HostListClient(
                base_url=f'http://127.0.0.1:{server.port}'
            )
            async with Usage() as usage:
                with pytest.raises(exceptions.AspenfoldError):
                    await asyncio.to_thread(client.read)
            usage.check()
            assert max(server.sent) < 2 * MAX_SENT_BYTES

    asyncio.run(run())


@pytest.mark.parametrize('form', [*THREADED_FORMS, 'event'])
def test_an_endpoint_of_an_agent_that_does_not_end_is_left(form: str) -> None:
    """Its attempt fails, and its thread serves the next one."""

    async def run() -> None:
        async with endless_server(form) as server:
            sink = test_endpoint_streams.ItemSink()
            async with asyncio.timeout(rigs.TIMEOUT_S):
                await test_endpoint_client.failure_of(server.port, 'job', sink)
            assert max(server.sent) < 3 * MAX_SENT_BYTES

    asyncio.run(run())


FLOOD_S = 1.0


def test_endless_events_of_an_agents_endpoint_hold_no_loop() -> None:
    """Its thread waits until the loop has taken what it read."""

    async def run() -> None:
        async with endless_server('events') as server:
            sink = test_endpoint_streams.ItemSink()
            async with Usage() as usage:
                call = asyncio.create_task(
                    test_endpoint_client.failure_of(server.port, 'job', sink)
                )
                await rigs.wait_until(lambda: len(sink.items) > 1000)
                await asyncio.sleep(FLOOD_S)
            usage.check()
            await server.stop()
            await call

    asyncio.run(run())
