"""Memory for buffered responses."""

import asyncio

from aspenfold._internal.gateway import response_budget


async def is_waiting(task: asyncio.Task[None]) -> bool:
    """Return whether a task still waits, once others have run."""
    for _ in range(3):
        await asyncio.sleep(0)
    return not task.done()


def test_all_responses_together_stay_within_the_limit() -> None:
    """Answers of 3 MB to 90 callers took more memory than the gateway has."""

    async def run() -> None:
        budget = response_budget.ResponseBudget(limit=100_000)
        first, second = budget.open(), budget.open()
        await first.grow(50_000)
        await second.grow(40_000)
        waiting = asyncio.create_task(second.grow(1))
        assert await is_waiting(waiting)
        # Small ones have a part of their own.
        small = budget.open()
        await small.grow(10_000)
        assert budget.held == budget.limit
        # The first one goes on, as its end makes room for the others.
        await first.grow(20_000)
        assert await is_waiting(waiting)
        first.close()
        assert not await is_waiting(waiting)
        second.close()
        second.close()
        small.close()
        assert budget.held == 0

    asyncio.run(run())


def test_a_response_that_ends_while_it_waits_takes_nothing() -> None:
    """Its deadline may pass, or its caller leave."""

    async def run() -> None:
        budget = response_budget.ResponseBudget(limit=1_000)
        first, second = budget.open(), budget.open()
        await first.grow(1_000)
        waiting = asyncio.create_task(second.grow(1))
        assert await is_waiting(waiting)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        second.close()
        assert budget.held == 1_000
        first.close()
        assert budget.held == 0
        third = budget.open()
        await third.grow(5_000)
        assert budget.held == 5_000

    asyncio.run(run())
