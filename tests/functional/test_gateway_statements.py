"""Endpoints that state that they want no requests."""

import asyncio
import time

from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.network import http1_client
from tests.lib import gateway_rig as rigs
from tests.lib import retry_after_rule

PACE_S = 0.02
"""Pause between the requests of a caller."""

DRAIN_S = 2.0
"""Time after which an endpoint that leaves may stop."""


def arrivals(worker: workers.Worker, path: str) -> list[float]:
    """Return when the requests for ``path`` arrived at an endpoint."""
    return [r.arrived_at for r in worker.requests if r.target == path]


async def call_for(
    rig: rigs.Rig, path: str, seconds: float
) -> list[rigs.Response]:
    """Call the gateway steadily; return the responses."""
    responses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        responses.append(await rig.request(path))
        await asyncio.sleep(PACE_S)
    return responses


def test_a_rank_that_refuses_with_retry_after_is_not_asked_again() -> None:
    """Incident inc1: its refusal counted as one of the whole group."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            resting = await rig.add_worker(
                'w-1', workers.refuse_while_idle, 'model'
            )
            resting.retry_after = 2.0
            for name in ('w-2', 'w-3'):
                await rig.add_worker(name, workers.stream_events, 'model')
            await rigs.wait_until(lambda: rig.gateway.endpoints == 3)
            await rig.wait_until_ready()
            async with asyncio.timeout(rigs.TIMEOUT_S):
                while not resting.refusals:
                    await rig.request('/model/')
            await call_for(rig, '/model/', resting.retry_after)
            arrived = arrivals(resting, '/model/')
            early = max(
                retry_after_rule.count_early(refusal, arrived)
                for refusal in resting.refusals
            )
            assert early <= retry_after_rule.MAX_REQUESTS

    asyncio.run(run())


@pytest.mark.parametrize('retry_after', [None, 1.0])
def test_a_rank_that_refuses_alone_is_no_outage_of_its_group(
    retry_after: float | None,
) -> None:
    """Its requests are served by the other ranks, and no others wait."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            refusing = await rig.add_worker(
                'w-1', workers.refuse_while_idle, 'model'
            )
            refusing.retry_after = retry_after
            for name in ('w-2', 'w-3'):
                await rig.add_worker(name, workers.stream_events, 'model')
            await rigs.wait_until(lambda: rig.gateway.endpoints == 3)
            await rig.wait_until_ready()
            responses = await call_for(rig, '/model/', 1.5)
            assert {r.status for r in responses} == {200}
            assert 1 <= rigs.count_requests(refusing, '/model/') <= 3
            assert rig.gateway.outage('model').ended_at is None

    asyncio.run(run())


def test_an_endpoint_that_states_its_leaving_gets_no_more_requests() -> None:
    """It may have stopped by then; the store may not say so yet."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            leaving = await rig.add_worker('w-1')
            await rig.add_worker('w-2')
            await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
            await rig.wait_until_ready()
            leaving.leaving = True
            async with asyncio.timeout(rigs.TIMEOUT_S):
                while not arrivals(leaving, '/safe/'):
                    await rig.request('/safe/')
            told_at = time.monotonic()
            await call_for(rig, '/safe/', DRAIN_S + 1.0)
            late = [
                at
                for at in arrivals(leaving, '/safe/')
                if at > told_at + DRAIN_S
            ]
            assert not late

    asyncio.run(run())


@pytest.mark.parametrize(
    'script',
    [workers.at_capacity, workers.server_error, workers.unmarked_503],
)
def test_a_refusal_or_failure_may_state_the_leaving(
    script: workers.Script,
) -> None:
    """All responses say so; the last endpoint of a service is no exception."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            leaving = await rig.add_worker('w-1', script)
            leaving.leaving = True
            await rig.wait_until_ready()
            assert (await rig.request('/once/')).status >= 500
            assert b'aspenfold_leaving_endpoints 1.0' in await rigs.metrics(
                rig
            )
            rig.store.fault = rig.store.fault.RESET
            for _ in range(3):
                response = await rig.request('/safe/')
                assert response.status == 503
                assert response.body.startswith(b'[1200]')
            assert len(leaving.requests) == 1

    asyncio.run(run())


def test_a_stream_goes_on_at_an_endpoint_that_leaves() -> None:
    """If it breaks, it is resumed elsewhere; its end is no reason to wait."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            leaving = await rig.add_worker('w-1', workers.stream_then_reset)
            leaving.leaving = True
            await rig.wait_until_ready()
            other = await rig.add_worker('w-2', workers.stream_events)
            await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
            async with asyncio.timeout(rigs.TIMEOUT_S):
                while not leaving.requests:
                    response = await rig.request('/stream/')
            assert response.status == 200
            assert response.complete
            assert response.body.count(b'id: ') == leaving.event_count
            assert len(leaving.requests) == 1
            assert other.requests

    asyncio.run(run())


def test_a_service_whose_endpoints_all_backed_off_refuses_at_once() -> None:
    """The caller learns when one may be used; nothing waits or is sent."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            resting = await rig.add_worker('w-1', workers.at_capacity)
            resting.retry_after = 1.5
            await rig.wait_until_ready()
            assert b'aspenfold_backed_off_endpoints 0.0' in await rigs.metrics(
                rig
            )
            for path in ('/unsafe/', '/song/'):
                response = await rig.request(path)
                assert response.status == 503
                assert response.body.startswith(b'[1105]')
                assert 1.0 < float(response.headers['retry-after']) <= 1.5
            assert b'aspenfold_backed_off_endpoints 1.0' in await rigs.metrics(
                rig
            )
            resting.script = workers.complete
            response = await rig.request('/once/', **rigs.deadline_header(2))
            assert 0.5 < float(response.headers['retry-after']) < 0.67
            assert rigs.count_requests(resting, '/unsafe/') == 1
            assert rigs.count_requests(resting, '/song/') == 0
            await asyncio.sleep(resting.retry_after)
            assert (await rig.request('/once/')).status == 200

    asyncio.run(run())


def test_a_503_that_has_run_may_ask_for_no_requests_too() -> None:
    """What it says of itself holds whatever became of the request."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            resting = await rig.add_worker('w-1', workers.unmarked_503)
            resting.retry_after = 1.5
            await rig.wait_until_ready()
            assert (await rig.request('/unsafe/')).status == 502
            assert (await rig.request('/unsafe/')).status == 503
            assert resting.executions.total() == 1

    asyncio.run(run())


def test_a_request_that_is_still_connecting_goes_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was chosen before the endpoint asked for no requests."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            resting = await rig.add_worker('w-1', workers.at_capacity)
            resting.retry_after = 2.0
            await rig.wait_until_ready()
            connect = http1_client.connect
            connected = asyncio.Event()
            delays = [0.0, 1.0]

            async def connect_slowly(
                host: str, port: int, timeout_s: float
            ) -> http1_client.Connection:
                if port == resting.port and delays.pop(0):
                    await connected.wait()
                return await connect(host, port, timeout_s)

            monkeypatch.setattr(http1_client, 'connect', connect_slowly)
            first = asyncio.ensure_future(rig.request('/once/'))
            second = asyncio.ensure_future(rig.request('/once/'))
            assert (await first).status == 503
            other = await rig.add_worker('w-2')
            await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
            connected.set()
            assert (await second).status == 200
            assert rigs.count_requests(resting, '/once/') == 1
            assert rigs.count_requests(other, '/once/') == 1

    asyncio.run(run())
