"""Endpoints that state a rate limit, and several gateways."""

import asyncio

from aspenfold_standins import platform_worker as workers

from tests.lib import gateway_rig as rigs
from tests.lib import gateway_set
from tests.lib import rate_limit_rule

GATEWAYS = 3

PACE_S = 0.1
"""Pause between the requests of one caller."""


def busiest_window(worker: workers.Worker, since: float) -> int:
    """Return the most requests in a window that begins after ``since``."""
    times = [r.arrived_at for r in worker.requests if r.arrived_at > since]
    return rate_limit_rule.busiest_window(times, rate_limit_rule.WINDOW_S)


async def call_until_served_by(
    gateways: gateway_set.GatewaySet, number: int, endpoint: str
) -> None:
    """Call a gateway until it has forwarded a response of ``endpoint``."""
    body = f'answer of {endpoint}'.encode()
    async with asyncio.timeout(rigs.TIMEOUT_S):
        while (await gateways.request(number, '/safe/')).body != body:
            pass


async def call_steadily(
    gateways: gateway_set.GatewaySet, number: int, count: int
) -> None:
    """Call a gateway ``count`` times; each call must be served."""
    for _ in range(count):
        assert (await gateways.request(number, '/safe/')).status == 200
        await asyncio.sleep(PACE_S)


def test_all_gateways_together_keep_an_endpoints_rate_limit() -> None:
    """Incident inc1: an endpoint with a limit was used like any other."""

    async def run() -> None:
        async with gateway_set.running_gateways(GATEWAYS) as gateways:
            limited = gateways.rig.workers[0]
            for name in ('w-2', 'w-3'):
                await gateways.rig.add_worker(name)
            processes = gateways.processes
            await rigs.wait_until(
                lambda: all(p.endpoints == 3 for p in processes)
            )
            limited.rate_limit = 1.0
            numbers = range(1, GATEWAYS + 1)
            for number in numbers:
                await call_until_served_by(gateways, number, 'w-1')
            told_at = limited.requests[-1].arrived_at
            async with asyncio.TaskGroup() as callers:
                for number in numbers:
                    callers.create_task(call_steadily(gateways, number, 40))
            busiest = busiest_window(
                limited, told_at + rate_limit_rule.LEARNING_S
            )
            assert (
                1
                <= busiest
                <= rate_limit_rule.max_requests(limited.rate_limit)
            )

    asyncio.run(run())


def test_a_service_at_its_limit_refuses_at_once() -> None:
    """The caller learns when the endpoint takes another request."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            limited = await rig.add_worker('w-1')
            limited.rate_limit = 0.5
            await rig.wait_until_ready()
            assert (await rig.request('/safe/')).status == 200
            response = await rig.request('/unsafe/')
            assert response.status == 503
            assert response.body.startswith(b'[1104]')
            # The next is taken after 2 s; callers wait 5 s / 3 at most.
            assert 1.0 < float(response.headers['retry-after']) < 1.7
            assert rigs.count_requests(limited, '/unsafe/') == 0

    asyncio.run(run())


def test_a_failure_is_delivered_if_the_limit_forbids_a_retry() -> None:
    """The endpoint's own response says more than that its fate is unknown."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            limited = await rig.add_worker('w-1', workers.server_error)
            limited.rate_limit = 0.0
            await rig.wait_until_ready()
            response = await rig.request('/safe/')
            assert response.status == 500
            assert response.body == b'failed'
            assert rigs.count_requests(limited, '/safe/') == 1

    asyncio.run(run())


def test_an_endpoint_that_lifts_its_limit_is_used_again() -> None:
    """Other gateways learn it from the one that got the response."""

    async def run() -> None:
        async with gateway_set.running_gateways(GATEWAYS) as gateways:
            limited = gateways.rig.workers[0]
            limited.rate_limit = 2.0
            await call_until_served_by(gateways, 1, 'w-1')
            refused = await gateways.request(1, '/safe/')
            assert refused.status == 503
            limited.rate_limit = None
            for number in (1, 2, 3):
                await call_until_served_by(gateways, number, 'w-1')
                for _ in range(5):
                    response = await gateways.request(number, '/safe/')
                    assert response.status == 200

    asyncio.run(run())


def test_a_failure_without_a_statement_does_not_lift_a_limit() -> None:
    """A failing endpoint may leave it out."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            limited = await rig.add_worker('w-1')
            limited.rate_limit = 50.0
            await rig.wait_until_ready()
            assert (await rig.request('/safe/')).status == 200
            limited.rate_limit = None
            limited.script = workers.server_error
            async with asyncio.timeout(rigs.TIMEOUT_S):
                while (await rig.request('/once/')).status != 500:
                    pass
            assert rig.gateway.limited_endpoints == 1
            limited.script = workers.complete
            async with asyncio.timeout(rigs.TIMEOUT_S):
                while (await rig.request('/once/')).status != 200:
                    pass
            assert rig.gateway.limited_endpoints == 0

    asyncio.run(run())
