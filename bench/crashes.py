"""How gateways find what crashes endpoints, beside simpler ways."""

from collections import abc

from aspenfold._internal.gateway import crash_evidence
from aspenfold._internal.kernel import clock
from bench import report
from tests.lib import simulated_crashes as simulated

WARM_UP = 10 * simulated.SECOND
"""Time before bad requests come, in which sound ones are answered."""

DURATION = 20 * simulated.SECOND

LEARNING_DURATION = 3 * simulated.SECOND

GROUP_DOWN_TIME = 4_700 * clock.MILLISECOND

Variant = tuple[simulated.EvidenceFactory, bool]
"""The inference, and whether gateways exchange what they know."""

VARIANTS: dict[str, Variant] = {
    'shared': (crash_evidence.CrashEvidence, True),
    'each for itself': (crash_evidence.CrashEvidence, False),
    'five crashes': (simulated.FiveCrashes, True),
}


def loads(gateways: int) -> dict[str, simulated.Load]:
    """Return the loads that are played, by name."""
    return {
        'endpoints': simulated.Load(gateways=gateways),
        'one group': simulated.Load(
            gateways=gateways, is_group=True, down_time=GROUP_DOWN_TIME
        ),
        'beside other ends': simulated.Load(
            gateways=gateways, kills_per_s=0.5
        ),
        'other ends only': simulated.Load(
            gateways=gateways, bad_per_s=0, kills_per_s=1
        ),
        'hosts of three': simulated.Load(
            gateways=gateways, bad_per_s=0, kills_per_s=0.3, kill_size=3
        ),
    }


@report.benchmark('crashes')
def endpoints_that_crash(seed: int) -> list[report.Row]:
    """Ends of endpoints until the cause is known, and false verdicts."""
    rows: list[report.Row] = []
    for gateways in (3, 8, 24):
        for name, load in loads(gateways).items():
            for variant, (factory, exchange) in VARIANTS.items():
                simulation = simulated.Simulation(
                    load, seed, factory, exchange=exchange
                )
                simulation.run(WARM_UP, bad=False)
                simulation.run(DURATION)
                case = f'{gateways} gateways, {name}'
                rows += _rows(simulation, case, variant)
    return rows


def _rows(
    simulation: simulated.Simulation, case: str, variant: str
) -> abc.Iterator[report.Row]:
    figures = {
        'ends': len(simulation.bad_ends),
        'late requests': simulation.late_count(LEARNING_DURATION),
        'false holds': len(simulation.false_holds()),
        'sound refused': simulation.sound_refused / simulation.sound_count,
    }
    for figure, value in figures.items():
        yield report.Row(
            figure=f'{figure}, {case}', variant=variant, value=value
        )
