"""Endpoints that state rate limits in a soak, and the check of them."""

import asyncio
from collections import abc
import dataclasses
import random
import time

from aspenfold_standins import platform_worker

from tests.lib import rate_limit_rule
from tests.soak import soak_history
from tests.soak import system_under_test

RATES = (0.5, 1.0, 2.0, 5.0)
"""Limits that endpoints state, in requests a second."""

PERIOD_RANGE_S = (8.0, 12.0)
"""Duration of a limit."""

PAUSE_RANGE_S = (0.5, 2.0)
"""Time between two limits."""


@dataclasses.dataclass(kw_only=True)
class LimitPeriod:
    """A limit of ``rate`` that an endpoint stated from ``since`` on."""

    endpoint: platform_worker.Worker
    rate: float
    since: float
    until: float


class RateLimitInjector:
    """Lets one plain endpoint after the other state a limit."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        rng: random.Random,
    ) -> None:
        self._system = system
        self._rng = rng
        self.periods: list[LimitPeriod] = []

    async def run(self) -> None:
        """State limits until cancelled."""
        while True:
            await self._limit_one()
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def _limit_one(self) -> None:
        plain = [e for e in self._system.endpoints if e.service == 'plain']
        if not plain:
            return
        worker = self._rng.choice(plain).worker
        rate = self._rng.choice(RATES)
        period = LimitPeriod(
            endpoint=worker,
            rate=rate,
            since=time.monotonic(),
            until=float('inf'),
        )
        self.periods.append(period)
        worker.rate_limit = rate
        await asyncio.sleep(self._rng.uniform(*PERIOD_RANGE_S))
        worker.rate_limit = None
        period.until = time.monotonic()


def find_violations(
    periods: abc.Iterable[LimitPeriod], history: soak_history.SoakHistory
) -> list[str]:
    """Return a description of each limit that was not kept."""
    violations = []
    for period in periods:
        allowed = rate_limit_rule.max_requests(period.rate)
        busiest = _busiest_window(period, history)
        if busiest > allowed:
            violations.append(
                f'{period.endpoint.name} with a limit of {period.rate} '
                f'received {busiest} requests in {rate_limit_rule.WINDOW_S} s'
            )
    return violations


def _busiest_window(
    period: LimitPeriod, history: soak_history.SoakHistory
) -> int:
    """Return the most requests in a window, of gateways that must know."""
    arrivals = _arrivals_after_statement(period, history)
    starts = [
        at
        for at, _ in arrivals
        if at >= period.since + rate_limit_rule.SETTLING_S
    ]
    return max(
        (_count_window(at, arrivals, period, history) for at in starts),
        default=0,
    )


def _count_window(
    start: float,
    arrivals: abc.Iterable[tuple[float, soak_history.Process]],
    period: LimitPeriod,
    history: soak_history.SoakHistory,
) -> int:
    end = start + rate_limit_rule.WINDOW_S
    if not history.is_fault_free(period.endpoint.name, start, end):
        return 0
    in_window = [gateway for at, gateway in arrivals if start <= at < end]
    faulty = {
        name
        for name, _ in in_window
        if not history.is_fault_free(name, start, end)
    }
    return sum(name not in faulty for name, _ in in_window)


def _arrivals_after_statement(
    period: LimitPeriod, history: soak_history.SoakHistory
) -> list[tuple[float, soak_history.Process]]:
    """Return the requests of gateways that must know of the limit."""
    told = history.times_told(
        period.endpoint.name, platform_worker.RATE_LIMIT_HEADER, period.since
    )
    arrivals = []
    for received in period.endpoint.requests:
        attempt = received.headers.get(platform_worker.ATTEMPT_HEADER, '')
        request = history.requests.get(attempt)
        if request is None or received.arrived_at > period.until:
            continue
        process = request.gateway, request.process_number
        told_at = told.get(process, float('inf'))
        if received.arrived_at >= told_at + rate_limit_rule.LEARNING_S:
            arrivals.append((received.arrived_at, process))
    return arrivals
