"""Packs experts anew but leaves replicas where they are if they fit."""

from collections import abc

from aspenfold._internal.expertmaps import greedy
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

REPLICA_HYSTERESIS = 1.3
"""How much hotter an expert must be to take a replica from another."""

TOLERANCES = (1.0, 1.03, 1.08, 1.15)
"""Loads over the mean up to which a replica may stay where it is."""

SKEW_PRICE = 400.0
"""Weights that a skew of 1 above the bound is worth, a rank."""


def adjust_replicas(
    shape: planner.MapShape,
    load: abc.Sequence[float],
    current: planner.Placement,
) -> list[int]:
    """Return replica counts near the current ones."""
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
    """Pack heaviest first; a replica stays if its rank has room.

    A rank has room up to ``tolerance`` times the mean load.
    """
    counts = adjust_replicas(shape, load, current)
    limit = sum(load) / shape.ranks * tolerance
    held = [set(experts) for experts in current]
    placed: list[set[int]] = [set() for _ in range(shape.ranks)]
    totals = [0.0] * shape.ranks
    order = sorted(
        range(shape.experts), key=lambda e: load[e] / counts[e], reverse=True
    )
    for expert in order:
        piece = load[expert] / counts[expert]
        open_ranks = [
            rank
            for rank in range(shape.ranks)
            if len(placed[rank]) < shape.slots_per_rank
        ]
        # Where it is already and fits first, then the least loaded.
        open_ranks.sort(
            key=lambda r: (
                expert not in held[r] or totals[r] + piece > limit,
                totals[r],
                r,
            )
        )
        for rank in open_ranks[: counts[expert]]:
            placed[rank].add(expert)
            totals[rank] += piece
    return [sorted(experts) for experts in placed]


@registry.register(planner.KIND, 'priced')
class PricedPlan:
    """Takes the cheapest of several plans at the fleet's prices."""

    def __init__(self) -> None:
        self._greedy = greedy.GreedyMoves()

    def plan(
        self,
        shape: planner.MapShape,
        load: abc.Sequence[float],
        current: planner.Placement,
        price: fleet.MapPrice,
    ) -> planner.Placement:
        """Return the plan with the lowest price; keeping all is one."""
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
        excess * price.skew * SKEW_PRICE * shape.ranks
        + weights * price.moved_weights
    )
