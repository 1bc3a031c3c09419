"""``python -m tests.soak.main``: soaks by seed; see docs/OPERATIONS.md."""

import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

import fire

from tests.soak import callers
from tests.soak import faults
from tests.soak import guarantees
from tests.soak import soak_history
from tests.soak import system_under_test

GATEWAYS = 3
CALLERS = 12
GAP_S = 0.5
"""Mean time between two faults; they last up to 3.5 s and overlap."""

RECOVER_S = 8.0
"""All is served again so long after the last fault."""

FINAL_REQUESTS = 10


@dataclasses.dataclass(kw_only=True)
class SoakResult:
    """What one soak brought."""

    seed: int
    requests: int
    served: int
    switched: int
    broken: list[str]
    faults: list[str]
    folder: str


async def run_soak(
    *,
    seed: int,
    duration_s: float,
    gateways: int = GATEWAYS,
    gap_s: float = GAP_S,
    folder: pathlib.Path,
) -> SoakResult:
    """Run one soak; what broke stands in the result."""
    rng = random.Random(seed)
    system = system_under_test.SystemUnderTest(
        folder=folder, rng=rng, gateways=gateways
    )
    ledger = soak_history.SoakHistory()
    struck = faults.FaultInjector(
        system=system,
        ledger=ledger,
        rng=rng,
        agent_rng=random.Random(f'{seed} agents'),
        gap_s=gap_s,
    )
    probers = [
        callers.Prober(system=system, gateway=gateway, ledger=ledger)
        for gateway in system.gateways
    ]
    tasks: list[asyncio.Task[None]] = []
    checker = guarantees.GuaranteeChecker(
        system=system, ledger=ledger, probers=probers
    )
    try:
        await system.start()
        late = await _all_ready(system, probers)
        if late:
            checker.broken.append(f'not served at first: {late}')
        seeds = [rng.randrange(1 << 30) for _ in range(CALLERS)]
        askers = [
            callers.Caller(
                system=system, ledger=ledger, rng=random.Random(number)
            )
            for number in seeds
        ]
        tasks = [asyncio.ensure_future(a.run()) for a in [*askers, *probers]]
        await struck.run(duration_s)
        late = await _all_ready(system, probers)
        if late:
            checker.broken.append(f'not served again: {late}')
        await asyncio.sleep(1.0)
    finally:
        for task in tasks:
            task.cancel()
        done = await asyncio.gather(*tasks, return_exceptions=True)
        await system.stop()
    for failure in done:
        if isinstance(failure, Exception):
            raise failure
    broken = checker.check()
    asked = ledger.asked.values()
    return SoakResult(
        seed=seed,
        requests=sum(not a.attempt.startswith('probe-') for a in asked),
        served=sum(a.served for a in asked),
        switched=system.group.simulation.rank_switch_count,
        broken=broken,
        faults=struck.told,
        folder=str(folder),
    )


async def _all_ready(
    system: system_under_test.SystemUnderTest, probers: list[callers.Prober]
) -> list[str]:
    """Wait until every gateway serves the newest plan; name the others."""
    end = time.monotonic() + RECOVER_S
    while True:
        late = []
        for gateway, prober in zip(system.gateways, probers, strict=True):
            served = await prober.probe() == 200 and await gateway.ready()
            if not served:
                late.append(gateway.name)
        if not late or time.monotonic() > end:
            return late
        await asyncio.sleep(0.1)


def run(
    seeds: str | int = '',
    seconds: float = 20.0,
    gateways: int = GATEWAYS,
    gap: float = GAP_S,
    logs: str = '',
) -> None:
    """Run soaks one after the other; exit with 1 if any broke a promise.

    ``seeds`` is a number, or several with commas, or FROM-TO; without
    it five fresh ones are drawn.  Logs go below the folder ``logs``.
    """
    folder = pathlib.Path(logs or tempfile.mkdtemp(prefix='soak-'))
    failed = 0
    for seed in _parse(seeds):
        place = folder / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            run_soak(
                seed=seed,
                duration_s=seconds,
                gateways=gateways,
                gap_s=gap,
                folder=place,
            )
        )
        (place / 'faults.txt').write_text('\n'.join(result.faults) + '\n')
        failed += bool(result.broken)
        sys.stdout.write(
            f'seed {seed}: {len(result.faults)} faults, '
            f'{result.requests} requests, {result.served} served, '
            f'{result.switched} switches of ranks, '
            f'{len(result.broken)} broken\n'
        )
        for line in result.broken[:20]:
            sys.stdout.write(f'    {line}\n')
        sys.stdout.flush()
    if failed:
        sys.stdout.write(f'logs in {folder}\n')
        sys.exit(1)


def _parse(seeds: str | int | tuple[int, ...]) -> list[int]:
    if isinstance(seeds, tuple):
        return list(seeds)
    text = str(seeds)
    if not text:
        return [random.SystemRandom().randrange(1 << 30) for _ in range(5)]
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


if __name__ == '__main__':
    fire.Fire(run)
