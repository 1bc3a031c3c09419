"""Tests of gateways with a group of ranks, mostly during an outage."""

import asyncio
import random
import typing

from aspenfold_standins import platform_worker as workers

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import outage as outage_module
from tests.lib import gateway_rig as rigs
from tests.soak import rank_group

RANKS = 2

RELEASE_DELAY_S = 0.2
"""Delay before a release of a held pass takes effect."""


class SlowRelease(rank_group.RankGroup):
    """A group that releases held passes slowly."""

    async def execute_order(
        self, rank: int, message: dict[str, typing.Any]
    ) -> int | None:
        """Execute an order; delay a release."""
        if rank_group.OPERATIONS[message['op']] is rank_protocol.Op.RELEASE:
            await asyncio.sleep(RELEASE_DELAY_S)
        return await super().execute_order(rank, message)


def plan() -> dict[str, object]:
    """Return a plan with the group's sizes for the model service."""
    engine = {
        'sets': 1,
        'experts': rank_group.EXPERTS,
        'placements': 6,
        'spare': 4,
    }
    services = [{'name': 'plain'}, {'name': 'model', 'engine': engine}]
    return rigs.make_plan(services=services)


async def add_ranks(rig: rigs.Rig, group: rank_group.RankGroup) -> None:
    """Start the group's ranks and register them."""
    for number in range(RANKS):
        worker = rank_group.RankWorker(
            f'rank-{number}', group=group, rank=number
        )
        await worker.start()
        rig.workers.append(worker)
        record = worker.store_record('model')
        await rig.store.put(rigs.endpoint_records.TOPIC, worker.name, record)


async def unavailable_group(
    rig: rigs.Rig,
) -> tuple[workers.Worker, outage_module.Outage]:
    """Add a group that has been unavailable for 4 s of an expected 4.7 s."""
    worker = await rig.add_worker('w-1', workers.group_unavailable, 'model')
    await rig.wait_until_ready()
    assert (await rig.request('/model/')).status == 503
    outage = rig.gateway.outage('model')
    assert outage.began_at is not None
    outage.began_at -= 4 * rigs.SECOND
    return worker, outage


def test_a_leader_releases_the_held_pass_when_it_exits() -> None:
    """No other leader can take over while the store is unavailable."""

    async def run() -> None:
        group = SlowRelease(size=RANKS, rng=random.Random(1))
        async with rigs.running_rig(plan()) as rig:
            await add_ranks(rig, group)
            running_group = asyncio.ensure_future(group.run())
            holder = group.simulation.ranks[0]
            await rigs.wait_until(lambda: holder.held_pass is not None)
            rig.store.fault = rig.store.fault.RESET
            await rig.gateway.drain()
            assert holder.held_pass is None
            before = group.simulation.pass_count
            await rigs.wait_until(
                lambda: group.simulation.pass_count > before + 3
            )
            assert group.violation is None
            running_group.cancel()
            group.stop()

    asyncio.run(run())


def test_a_retry_waits_for_a_group_that_recovers_soon() -> None:
    """The recovery is detected by another request; both must be served."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            worker, outage = await unavailable_group(rig)
            waiting = asyncio.ensure_future(
                rig.request('/model/', **rigs.deadline_header(3.0))
            )
            await asyncio.sleep(0.1)
            assert not waiting.done()
            worker.script = workers.stream_events
            assert (await rig.request('/model/')).status == 200
            response = await waiting
            assert response.status == 200
            assert response.complete
            assert not outage.is_ongoing

    asyncio.run(run())


def test_a_wait_without_a_recovery_ends_with_a_refusal() -> None:
    """The caller must get it before it gives up, and nothing may run."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            worker, _ = await unavailable_group(rig)
            response = await rig.request(
                '/model/', **rigs.deadline_header(3.0)
            )
            assert response.status == 503
            assert 'retry-after' in response.headers
            assert worker.executions.total() == 0

    asyncio.run(run())


def test_waiting_requests_respect_the_retry_budget() -> None:
    """All continue at once, so the budget must be checked after the wait."""

    async def run() -> None:
        route = rigs.make_route(
            '/model/', 'streaming', service='model', timeout_ms=8000
        )
        async with rigs.running_rig(rigs.make_plan(routes=[route])) as rig:
            worker = await rig.add_worker(
                'w-1', workers.group_unavailable, 'model'
            )
            await rig.wait_until_ready()
            waiting = [
                asyncio.ensure_future(rig.request('/model/')) for _ in range(4)
            ]
            await rigs.wait_until(
                lambda: rigs.count_requests(worker, '/model/') == 4
            )
            await asyncio.sleep(0.1)
            assert not any(task.done() for task in waiting)
            worker.script = workers.stream_events
            assert (await rig.request('/model/')).status == 200
            responses = [await task for task in waiting]
            # The budget of a new process allows one retry.
            assert rigs.count_requests(worker, '/model/') == 4 + 1 + 1
            statuses = sorted(response.status for response in responses)
            assert statuses == [200, 503, 503, 503]

    asyncio.run(run())


def test_an_unavailable_group_does_not_block_another_group() -> None:
    """All requests must be served by the available group."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            unavailable = await rig.add_worker(
                'w-1', workers.group_unavailable, 'model'
            )
            await rig.add_worker('w-2', workers.stream_events, 'model')
            await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
            known = rig.gateway._core.directory
            for name, group in (('w-1', 'g-1'), ('w-2', 'g-2')):
                endpoint = known.get(name)
                assert endpoint is not None
                endpoint.group = group
            responses = [await rig.request('/model/') for _ in range(20)]
            assert {response.status for response in responses} == {200}
            assert rigs.count_requests(unavailable, '/model/') == 1
            assert rig.gateway.outage('model', 'g-1').is_ongoing
            assert not rig.gateway.outage('model', 'g-2').is_ongoing

    asyncio.run(run())
