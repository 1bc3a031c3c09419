"""Expert maps: load skew and moved weights as expert load drifts."""

import random

from bench import report

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.expertmaps import sticky
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

PLUGINS = (sticky,)
ROUND_COUNT = 40
SURGE_ROUNDS = (12, 24)
DRIFT_SIGMA = 0.15
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


def load_rounds(seed: int, experts: int) -> list[list[float]]:
    """Return the load of each expert per round: a random walk with surges."""
    rng = random.Random(seed)
    load = [1 / (rank + 1) ** 0.7 for rank in range(experts)]
    rng.shuffle(load)
    rounds = []
    for number in range(ROUND_COUNT):
        load = [x * rng.lognormvariate(0, DRIFT_SIGMA) for x in load]
        if number in SURGE_ROUNDS:
            for expert in rng.sample(range(experts), experts // 20):
                load[expert] *= SURGE_FACTOR
        rounds.append(load)
    return rounds


def simulate_planner(
    name: str, shape: planner.MapShape, price: fleet.MapPrice, seed: int
) -> tuple[float, int]:
    """Return the mean skew after planning, and the weights moved in all."""
    map_planner: planner.MapPlanner = registry.create(planner.KIND, name)
    rounds = load_rounds(seed, shape.experts)
    current = planner.pack(shape, [1.0] * shape.experts)
    skews, moved_weights = [], 0
    for load in rounds:
        plan = map_planner.plan(shape, load, current, price)
        moved_weights += planner.moved_weights(current, plan)
        current = plan
        skews.append(planner.skew(current, load))
    return sum(skews) / len(skews), moved_weights


@report.benchmark('maps')
def maps(seed: int) -> list[report.Row]:
    """Mean skew, and moved weights relative to full replanning."""
    rows = []
    for shape in SHAPES:
        for deployment, price in PRICES.items():
            _, full_weights = simulate_planner('full', shape, price, seed)
            for name in ('priced', 'greedy', 'full', 'none'):
                skew, weights = simulate_planner(name, shape, price, seed)
                label = f'{shape.ranks}x{shape.experts} {deployment}'
                rows.append(
                    report.Row(
                        figure=f'step skew, {label}',
                        variant=name,
                        value=skew,
                        aim='<= 1.08',
                        met=skew <= 1.08,
                    )
                )
                rows.append(
                    report.Row(
                        figure=f'weights moved / full, {label}',
                        variant=name,
                        value=weights / full_weights,
                        aim='<= 0.2',
                        met=weights / full_weights <= 0.2,
                    )
                )
    return rows
