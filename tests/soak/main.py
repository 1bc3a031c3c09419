"""Runs soaks: ``python -m tests.soak.main``; see docs/OPERATIONS.md."""

import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

import fire

from tests.soak import broken_responses
from tests.soak import callers
from tests.soak import crashes
from tests.soak import faults
from tests.soak import guarantees
from tests.soak import ill_behaved
from tests.soak import rate_limits
from tests.soak import soak_history
from tests.soak import statements
from tests.soak import system_under_test

GATEWAY_COUNT = 3
CALLER_COUNT = 12
FAULT_INTERVAL_S = 0.5
"""Mean time between two faults."""

CAUSES: dict[str, crashes.Cause] = {
    'crashes': crashes.BadPart(),
    'crashes of a request': crashes.BadRequest(),
}
"""The causes of crashes, by the names of their random numbers."""

RECOVERY_TIMEOUT_S = 8.0
"""Time after the last fault within which every gateway must serve."""

FINAL_REQUESTS = 10


@dataclasses.dataclass(kw_only=True)
class SoakResult:
    """The result of one soak.

    ``fault_log`` describes the injected faults in order of time;
    ``folder`` has the programs' logs.
    """

    seed: int
    request_count: int
    served_count: int
    crash_count: int
    rank_switch_count: int
    violations: list[str]
    fault_log: list[str]
    folder: str


async def run_soak(
    *,
    seed: int,
    duration_s: float,
    gateway_count: int = GATEWAY_COUNT,
    fault_interval_s: float = FAULT_INTERVAL_S,
    folder: pathlib.Path,
) -> SoakResult:
    """Run one soak; the result lists the violated guarantees."""
    rng = random.Random(seed)
    system = system_under_test.SystemUnderTest(
        folder=folder, rng=rng, gateway_count=gateway_count
    )
    history = soak_history.SoakHistory()
    injector = faults.FaultInjector(
        system=system,
        history=history,
        rng=rng,
        agent_rng=random.Random(f'{seed} agents'),
        interval_s=fault_interval_s,
    )
    limits = rate_limits.RateLimitInjector(
        system=system, rng=random.Random(f'{seed} rate limits')
    )
    injected_statements = statements.StatementInjector(
        system=system,
        history=history,
        rng=random.Random(f'{seed} statements'),
    )
    breaker = broken_responses.ResponseBreaker(
        system=system,
        history=history,
        rng=random.Random(f'{seed} response ends'),
    )
    ill_behaved_clients = ill_behaved.IllBehavedClients(
        system=system, rng=random.Random(f'{seed} ill-behaved clients')
    )
    down: list[system_under_test.Endpoint] = []
    crash_injectors = [
        crashes.CrashInjector(
            system=system,
            history=history,
            rng=random.Random(f'{seed} {name}'),
            cause=cause,
            down=down,
        )
        for name, cause in CAUSES.items()
    ]
    # An endpoint that answered such a request would clear it.
    system.fatal = crashes.AnyOf(injectors=crash_injectors)
    probers = [
        callers.PlanProber(system=system, gateway=gateway, history=history)
        for gateway in system.gateways
    ]
    tasks: list[asyncio.Task[None]] = []
    checker = guarantees.GuaranteeChecker(
        system=system, history=history, probers=probers
    )
    try:
        await system.start()
        unready = await _wait_until_ready(system, probers)
        if unready:
            checker.violations.append(f'not ready after the start: {unready}')
        caller_seeds = [rng.randrange(1 << 30) for _ in range(CALLER_COUNT)]
        all_callers = [
            callers.Caller(
                system=system,
                history=history,
                rng=random.Random(caller_seed),
                version_rng=random.Random(f'{caller_seed} versions'),
            )
            for caller_seed in caller_seeds
        ]
        tasks = [
            asyncio.ensure_future(x.run())
            for x in [
                *all_callers,
                *probers,
                limits,
                injected_statements,
                breaker,
                ill_behaved_clients,
                *crash_injectors,
            ]
        ]
        await injector.run(duration_s)
        unready = await _wait_until_ready(system, probers)
        if unready:
            checker.violations.append(f'not ready after the faults: {unready}')
        await asyncio.sleep(1.0)
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        await system.stop()
    for task_result in results:
        if isinstance(task_result, Exception):
            raise task_result
    violations = checker.check()
    violations += rate_limits.find_violations(limits.periods, history)
    violations += statements.find_violations(
        [e.worker for e in system.endpoints + system.removed_endpoints],
        injected_statements.left,
        history,
    )
    for one in crash_injectors:
        violations += crashes.find_violations(
            one.crashes, one.arrivals, history, one.cause
        )
    requests = history.requests.values()
    return SoakResult(
        seed=seed,
        request_count=sum(
            not x.attempt_id.startswith('probe-') for x in requests
        ),
        served_count=sum(x.served for x in requests),
        crash_count=sum(len(one.crashes) for one in crash_injectors),
        rank_switch_count=system.group.simulation.rank_switch_count,
        violations=violations,
        fault_log=injector.log,
        folder=str(folder),
    )


async def _wait_until_ready(
    system: system_under_test.SystemUnderTest,
    probers: list[callers.PlanProber],
) -> list[str]:
    """Wait until every gateway is ready and serves the newest plan.

    Returns the names of gateways that did not within the timeout.
    """
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    while True:
        unready = []
        for gateway, prober in zip(system.gateways, probers, strict=True):
            is_ready = await prober.probe() == 200 and await gateway.is_ready()
            if not is_ready:
                unready.append(gateway.name)
        if not unready or time.monotonic() > deadline:
            return unready
        await asyncio.sleep(0.1)


def run(
    seeds: str | int = '',
    seconds: float = 20.0,
    gateways: int = GATEWAY_COUNT,
    gap: float = FAULT_INTERVAL_S,
    logs: str = '',
) -> None:
    """Run soaks one after another; exit with 1 if a guarantee is violated.

    ``seeds`` is a number, numbers with commas between, or FROM-TO; by
    default five random seeds are used.  ``seconds`` is the duration of
    the faults, ``gap`` the mean time between two.  The logs are written
    below the folder ``logs``, by default a new temporary folder.
    """
    folder = pathlib.Path(logs or tempfile.mkdtemp(prefix='soak-'))
    failed_count = 0
    for seed in _parse_seeds(seeds):
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            run_soak(
                seed=seed,
                duration_s=seconds,
                gateway_count=gateways,
                fault_interval_s=gap,
                folder=seed_folder,
            )
        )
        (seed_folder / 'faults.txt').write_text(
            '\n'.join(result.fault_log) + '\n'
        )
        failed_count += bool(result.violations)
        sys.stdout.write(
            f'seed {seed}: {len(result.fault_log)} faults, '
            f'{result.request_count} requests, {result.served_count} served, '
            f'{result.crash_count} crashes, '
            f'{result.rank_switch_count} rank map switches, '
            f'{len(result.violations)} violations\n'
        )
        for violation in result.violations[:20]:
            sys.stdout.write(f'    {violation}\n')
        sys.stdout.flush()
    if failed_count:
        sys.stdout.write(f'logs in {folder}\n')
        sys.exit(1)


def _parse_seeds(seeds: str | int | tuple[int, ...]) -> list[int]:
    if isinstance(seeds, tuple):
        return list(seeds)
    text = str(seeds)
    if not text:
        return [random.SystemRandom().randrange(1 << 30) for _ in range(5)]
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


if __name__ == '__main__':
    fire.Fire(run)
