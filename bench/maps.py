"""Expert maps: skew against moved weights, over drifting popularity."""

import random

from bench import report

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.expertmaps import sticky
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

PLUGINS = (sticky,)
ROUNDS = 40
SURGES = (12, 24)
DRIFT = 0.15
SURGE_FACTOR = 4.0
PRICES = {
    'partitions': fleet.MapPrice(skew_bound=1.08, skew=1, moved_weights=4),
    'calabash': fleet.MapPrice(skew_bound=1.03, skew=4, moved_weights=1),
}
SHAPES = (
    planner.MapShape(ranks=4, experts=64, slots_per_rank=20),
    planner.MapShape(ranks=16, experts=128, slots_per_rank=10),
    planner.MapShape(ranks=128, experts=256, slots_per_rank=3),
)


def popularity(seed: int, experts: int) -> list[list[float]]:
    """Return the load by expert in each round: drift, and two surges."""
    rng = random.Random(seed)
    load = [1 / (rank + 1) ** 0.7 for rank in range(experts)]
    rng.shuffle(load)
    rounds = []
    for number in range(ROUNDS):
        load = [x * rng.lognormvariate(0, DRIFT) for x in load]
        if number in SURGES:
            for expert in rng.sample(range(experts), experts // 20):
                load[expert] *= SURGE_FACTOR
        rounds.append(load)
    return rounds


def run(
    name: str, shape: planner.MapShape, price: fleet.MapPrice, seed: int
) -> tuple[float, int]:
    """Return the mean skew after planning and the weights moved."""
    policy: planner.MapPlanner = registry.create(planner.KIND, name)
    rounds = popularity(seed, shape.experts)
    current = planner.pack(shape, [1.0] * shape.experts)
    skews, weights = [], 0
    for load in rounds:
        plan = policy.plan(shape, load, current, price)
        weights += planner.moved_weights(current, plan)
        current = plan
        skews.append(planner.skew(current, load))
    return sum(skews) / len(skews), weights


@report.measure('maps')
def maps(seed: int) -> list[report.Row]:
    """Mean skew, and weights moved over those of full replanning."""
    rows = []
    for shape in SHAPES:
        for deployment, price in PRICES.items():
            _, full = run('full', shape, price, seed)
            for name in ('priced', 'greedy', 'full', 'none'):
                skew, weights = run(name, shape, price, seed)
                place = f'{shape.ranks}x{shape.experts} {deployment}'
                rows.append(
                    report.Row(
                        figure=f'step skew, {place}',
                        variant=name,
                        value=skew,
                        aim='<= 1.08',
                        met=skew <= 1.08,
                    )
                )
                rows.append(
                    report.Row(
                        figure=f'weights moved / full, {place}',
                        variant=name,
                        value=weights / full,
                        aim='<= 0.2',
                        met=weights / full <= 0.2,
                    )
                )
    return rows
