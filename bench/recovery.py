"""How long a group stands still, on the true machines."""

import statistics

from bench import report
from tests.lib import simulated_group

SEEDS = 20
LIMIT_MS = 20_000


def _pause(seed: int, fault: str) -> float:
    """Return the ms from the fault to the first step after it."""
    world = simulated_group.SimulatedGroup(seed=seed)
    world.set_plan(5)
    world.sim.run(1500 + seed * 37)
    if fault == 'agent of a rank restarted':
        world.restart_agent(1)
    elif fault == 'leader restarted':
        world.restart_agent(0)
    elif fault == 'rank replaced':
        world.replace_rank(1)
    elif fault == 'map changed':
        world.set_plan(6)
    began = world.sim.ms
    longest = 0.0
    last, last_ms = world.completed_steps, began
    while world.sim.ms < began + LIMIT_MS // 4:
        world.sim.run(5)
        if world.completed_steps > last:
            longest = max(longest, world.sim.ms - last_ms)
            last, last_ms = world.completed_steps, world.sim.ms
    return max(longest, world.sim.ms - last_ms)


@report.measure('group-recovery')
def group_recovery(seed: int) -> list[report.Row]:
    """Longest stand-still of a group, median and worst of 20 seeds."""
    rows = []
    for fault in (
        'none',
        'map changed',
        'agent of a rank restarted',
        'leader restarted',
        'rank replaced',
    ):
        pauses = [_pause(seed + n, fault) for n in range(SEEDS)]
        for name, value in (
            ('median', statistics.median(pauses)),
            ('worst', max(pauses)),
        ):
            rows.append(
                report.Row(
                    figure=f'ms without a step: {fault}',
                    variant=name,
                    value=value,
                )
            )
    return rows
