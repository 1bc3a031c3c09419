"""Endpoints that state a rate limit, and several gateways."""

import asyncio

from aspenfold_standins import platform_worker as workers

from tests.lib import gateway_rig as rigs
from tests.lib import gateway_set

GATEWAYS = 3

LEARNING_S = 0.5
"""Gateways that a limit reached longer ago are bound by it."""

WINDOW_S = 4.0
"""Length of the windows in which the requests are counted."""

PACE_S = 0.1
"""Pause between the requests of one caller."""


def max_requests(rate_limit: float) -> float:
    """Return the most requests that an endpoint may get in a window."""
    return 1.5 * rate_limit * WINDOW_S + 5


def busiest_window(worker: workers.Worker, since: float) -> int:
    """Return the most requests in a window that begins after ``since``."""
    times = [r.arrived_at for r in worker.requests if r.arrived_at > since]
    return max(
        (sum(t <= u < t + WINDOW_S for u in times) for t in times), default=0
    )


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
            busiest = busiest_window(limited, told_at + LEARNING_S)
            assert 1 <= busiest <= max_requests(limited.rate_limit)

    asyncio.run(run())
