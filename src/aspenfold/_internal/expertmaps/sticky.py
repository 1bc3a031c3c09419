"""Map planner that packs anew but keeps replicas in place where they fit."""

from collections import abc

from aspenfold._internal.expertmaps import greedy
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

REPLICA_HYSTERESIS = 1.3
"""Ratio of the loads per replica from which one expert takes a replica from
another."""

TOLERANCES = (1.0, 1.03, 1.08, 1.15)
"""Rank loads, relative to the mean, up to which replicas stay in place.  One
plan is made for each."""

WEIGHTS_PER_SKEW = 400.0
"""Moved weights per rank that cost as much as a skew of 1 above the bound, if
both prices are 1."""


def adjust_replicas(
    shape: planner.MapShape,
    load: abc.Sequence[float],
    current: planner.Placement,
) -> list[int]:
    """Return each expert's replica count, changed as little as possible."""
    counts = [0] * shape.experts
    for experts in current:
        for expert in experts:
            counts[expert] += 1
    while True:
        hot = max(
            (e for e in range(shape.experts) if counts[e] < shape.ranks),
            key=lambda e: load[e] / counts[e],
        )
        spare = [e for e in range(shape.experts) if counts[e] > 1]
        if not spare:
            return counts
        cold = min(spare, key=lambda e: load[e] / (counts[e] - 1))
        if cold == hot:
            return counts
        after = load[cold] / (counts[cold] - 1)
        if load[hot] / counts[hot] <= after * REPLICA_HYSTERESIS:
            return counts
        counts[hot] += 1
        counts[cold] -= 1


def pack_near(
    shape: planner.MapShape,
    load: abc.Sequence[float],
    current: planner.Placement,
    tolerance: float,
) -> planner.Placement:
    """Return a placement that packs replicas greedily, heaviest first.

    A replica stays on its rank while that rank's load is at most
    ``tolerance`` times the mean.
    """
    counts = adjust_replicas(shape, load, current)
    limit = sum(load) / shape.ranks * tolerance
    current_experts = [set(experts) for experts in current]
    placed: list[set[int]] = [set() for _ in range(shape.ranks)]
    totals = [0.0] * shape.ranks
    order = sorted(
        range(shape.experts), key=lambda e: load[e] / counts[e], reverse=True
    )
    for expert in order:
        replica_load = load[expert] / counts[expert]
        free_ranks = [
            rank
            for rank in range(shape.ranks)
            if len(placed[rank]) < shape.slots_per_rank
        ]
        # Ranks that hold the expert and stay within the limit come first,
        # then the least loaded ones.
        free_ranks.sort(
            key=lambda r: (
                expert not in current_experts[r]
                or totals[r] + replica_load > limit,
                totals[r],
                r,
            )
        )
        for rank in free_ranks[: counts[expert]]:
            placed[rank].add(expert)
            totals[rank] += replica_load
    return [sorted(experts) for experts in placed]


@registry.register(planner.KIND, 'priced')
class PricedPlanner:
    """Makes several plans and takes the cheapest at the fleet's prices."""

    def __init__(self) -> None:
        self._greedy = greedy.GreedyPlanner()

    def plan(
        self,
        shape: planner.MapShape,
        load: abc.Sequence[float],
        current: planner.Placement,
        price: fleet.MapPrice,
    ) -> planner.Placement:
        """Return the cheapest plan, which may be ``current``."""
        if not current:
            return planner.pack(shape, load)
        if planner.skew(current, load) <= price.skew_bound:
            return current
        plans = [current, self._greedy.plan(shape, load, current, price)]
        plans += [
            pack_near(shape, load, current, tolerance)
            for tolerance in TOLERANCES
        ]
        return min(
            plans, key=lambda plan: _price(shape, load, current, plan, price)
        )


def _price(
    shape: planner.MapShape,
    load: abc.Sequence[float],
    current: planner.Placement,
    plan: planner.Placement,
    price: fleet.MapPrice,
) -> float:
    if sum(len(experts) for experts in plan) < shape.experts:
        return float('inf')
    excess = max(0.0, planner.skew(plan, load) - price.skew_bound)
    weights = planner.moved_weights(current, plan)
    return (
        excess * price.skew * WEIGHTS_PER_SKEW * shape.ranks
        + weights * price.moved_weights
    )
