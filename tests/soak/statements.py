"""Endpoints that ask for no requests or leave in a soak, and their checks."""

import asyncio
from collections import abc
import random
import time

from aspenfold_standins import platform_worker

from tests.lib import retry_after_rule
from tests.soak import guarantees
from tests.soak import soak_history
from tests.soak import system_under_test

RETRY_AFTER_S = (0.6, 1.0, 2.0, 3.0)
"""Times that refusing endpoints ask for."""

REFUSAL_RANGE_S = (0.3, 4.0)
"""How long an endpoint refuses; it may accept again before that time."""

REFUSAL_PAUSE_RANGE_S = (0.2, 1.0)

LEAVING_S = 6.0
"""How long an endpoint serves after its first statement that it leaves."""

LISTING_S = 3.0
"""Time after a start in which gateways read of it, unless they have faults."""

LEAVING_PAUSE_RANGE_S = (1.0, 3.0)


class StatementInjector:
    """Lets endpoints state by header that they want no requests.

    The store is not told that an endpoint leaves; ``left`` are those that
    stated it.
    """

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        history: soak_history.SoakHistory,
        rng: random.Random,
    ) -> None:
        self._system = system
        self._history = history
        self._rng = rng
        self.left: list[platform_worker.Worker] = []

    async def run(self) -> None:
        """Let endpoints refuse and leave until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refuse_in_turn())
            group.create_task(self._leave_in_turn())

    async def _refuse_in_turn(self) -> None:
        while True:
            await self._refuse_once()
            await asyncio.sleep(self._rng.uniform(*REFUSAL_PAUSE_RANGE_S))

    async def _refuse_once(self) -> None:
        """Let a rank or an endpoint that is not the last one refuse."""
        endpoint = self._rng.choice(self._system.endpoints)
        others = [
            e
            for e in self._system.endpoints
            if e.service == endpoint.service and e is not endpoint
        ]
        if not others:
            return
        worker = endpoint.worker
        worker.retry_after = self._rng.choice(RETRY_AFTER_S)
        worker.script = platform_worker.refuse_while_idle
        await asyncio.sleep(self._rng.uniform(*REFUSAL_RANGE_S))
        worker.script = system_under_test.respond_normally
        worker.retry_after = None

    async def _leave_in_turn(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*LEAVING_PAUSE_RANGE_S))
            await self._leave_once()

    async def _leave_once(self) -> None:
        """Replace an endpoint, which states its leaving meanwhile."""
        plain = [
            e
            for e in self._system.endpoints
            if e.service == 'plain'
            and e.draining_since is None
            and not _has_just_started(e.worker)
        ]
        if len(plain) < 2:
            return
        endpoint = self._rng.choice(plain)
        await self._system.add_endpoint()
        endpoint.worker.leaving = True
        self.left.append(endpoint.worker)
        await asyncio.sleep(LEAVING_S)
        if endpoint in self._system.endpoints:
            self._history.start_fault(endpoint.worker.name)
            await self._system.remove_endpoint(endpoint)


def _has_just_started(worker: platform_worker.Worker) -> bool:
    """Return whether gateways may not have read of its start yet.

    With that they forget what an earlier one stated.
    """
    if worker.started_ms is None:
        return False
    return time.time() - worker.started_ms / 1000 < LISTING_S


def find_violations(
    workers: abc.Iterable[platform_worker.Worker],
    left: abc.Iterable[platform_worker.Worker],
    history: soak_history.SoakHistory,
) -> list[str]:
    """Return what ``workers`` and those that ``left`` got against their wish.

    Faults of a gateway, and of the endpoint or its link, excuse it.
    """
    violations = []
    for worker in workers:
        for refusal in worker.refusals:
            violations += _find_early(worker, refusal, history)
    for worker in left:
        violations += _find_late(worker, history)
    return violations


def _arrivals(
    worker: platform_worker.Worker,
    process: soak_history.Process,
    history: soak_history.SoakHistory,
) -> list[float]:
    """Return when requests of one gateway process arrived."""
    return [
        received.arrived_at
        for received in worker.requests
        if history.process_of(_attempt_id(received.headers)) == process
    ]


def _attempt_id(headers: abc.Mapping[str, str]) -> str:
    return headers.get(platform_worker.ATTEMPT_HEADER, '')


def _find_early(
    worker: platform_worker.Worker,
    refusal: platform_worker.Refusal,
    history: soak_history.SoakHistory,
) -> list[str]:
    process = history.process_of(refusal.attempt)
    if process is None:
        return []
    early = retry_after_rule.count_early(
        refusal, _arrivals(worker, process, history)
    )
    end = refusal.at + refusal.retry_after_s
    is_excused = not all(
        history.is_fault_free(subject, refusal.at, end)
        for subject in (process[0], worker.name)
    )
    if early <= retry_after_rule.MAX_REQUESTS or is_excused:
        return []
    return [
        f'{worker.name} asked {process[0]} for no requests for '
        f'{refusal.retry_after_s} s and received {early}'
    ]


def _find_late(
    worker: platform_worker.Worker, history: soak_history.SoakHistory
) -> list[str]:
    violations = []
    told = history.times_told(worker.name, platform_worker.LEAVING_HEADER)
    for process, told_at in told.items():
        for arrived_at in _arrivals(worker, process, history):
            if arrived_at <= told_at + guarantees.MAX_DRAIN_DELAY_S:
                continue
            if history.is_fault_free(process[0], told_at, arrived_at):
                violations.append(
                    f'{worker.name} received a request of {process[0]} '
                    f'{arrived_at - told_at:.1f} s after it said that it '
                    f'leaves'
                )
    return violations
