"""Outages of a simulated group that runs the real state machines."""

import statistics

from bench import report
from tests.lib import simulated_group

SEED_COUNT = 20
LIMIT_MS = 20_000


def _longest_pause(seed: int, fault: str) -> float:
    """Return the longest time without a step after the fault, in ms."""
    group = simulated_group.SimulatedGroup(seed=seed)
    group.set_plan(5)
    group.sim.run(1500 + seed * 37)
    if fault == 'agent of a rank restarted':
        group.restart_agent(1)
    elif fault == 'leader restarted':
        group.restart_agent(0)
    elif fault == 'rank replaced':
        group.replace_rank(1)
    elif fault == 'map changed':
        group.set_plan(6)
    fault_ms = group.sim.ms
    longest_ms = 0.0
    last_step, last_ms = group.completed_steps, fault_ms
    while group.sim.ms < fault_ms + LIMIT_MS // 4:
        group.sim.run(5)
        if group.completed_steps > last_step:
            longest_ms = max(longest_ms, group.sim.ms - last_ms)
            last_step, last_ms = group.completed_steps, group.sim.ms
    return max(longest_ms, group.sim.ms - last_ms)


@report.benchmark('group-recovery')
def group_recovery(seed: int) -> list[report.Row]:
    """Longest pause of a group's steps, median and worst over the seeds."""
    rows = []
    for fault in (
        'none',
        'map changed',
        'agent of a rank restarted',
        'leader restarted',
        'rank replaced',
    ):
        pauses_ms = [
            _longest_pause(seed + n, fault) for n in range(SEED_COUNT)
        ]
        for name, value in (
            ('median', statistics.median(pauses_ms)),
            ('worst', max(pauses_ms)),
        ):
            rows.append(
                report.Row(
                    figure=f'ms without a step: {fault}',
                    variant=name,
                    value=value,
                )
            )
    return rows
