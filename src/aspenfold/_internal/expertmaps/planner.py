"""Interface of the map planners, and the functions that they share.

A placement says which rank holds which experts.  Its quality is its skew,
the largest load of a rank divided by the mean, and its cost is the number
of expert weights that it moves to ranks that did not hold them.
"""

from collections import abc
import dataclasses
import heapq
import typing

from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

KIND = 'map'
"""The plug-in kind in the registry."""

Placement = list[list[int]]
"""The experts of each rank, by rank."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MapShape:
    """Sizes of a group's map.

    ``max_new_experts`` is how many experts a rank may get in one change
    that it does not hold; None for no limit.
    """

    ranks: int
    experts: int
    slots_per_rank: int
    max_new_experts: int | None = None


class MapPlanner(typing.Protocol):
    """Plans a placement for a group."""

    def plan(
        self,
        shape: MapShape,
        load: abc.Sequence[float],
        current: Placement,
        price: fleet.MapPrice,
    ) -> Placement:
        """Return a placement.

        ``load`` has a number for each expert.  ``current`` is the placement
        in use, empty if there is none.  ``price`` weighs skew against
        moved weights.
        """


def rank_loads(placement: Placement, load: abc.Sequence[float]) -> list[float]:
    """Return each rank's load; replicas share an expert's load evenly."""
    replicas = [0] * len(load)
    for experts in placement:
        for expert in experts:
            replicas[expert] += 1
    return [
        sum(load[e] / replicas[e] for e in experts) for experts in placement
    ]


def skew(placement: Placement, load: abc.Sequence[float]) -> float:
    """Return the largest rank load divided by the mean, 1.0 when even."""
    loads = rank_loads(placement, load)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean else 1.0


def moved_weights(
    old: abc.Sequence[abc.Collection[int]],
    new: abc.Sequence[abc.Collection[int]],
) -> int:
    """Return how many expert weights move from ``old`` to ``new``.

    Those are the experts that a rank holds in ``new`` but not in ``old``.
    """
    return sum(
        len(set(after) - set(before))
        for before, after in zip(old, new, strict=True)
    )


def allocate_replicas(shape: MapShape, load: abc.Sequence[float]) -> list[int]:
    """Return each expert's replica count.

    Every expert gets one slot; each spare slot goes to the expert with the
    highest load per replica.
    """
    counts = [1] * shape.experts
    spare = shape.ranks * shape.slots_per_rank - shape.experts
    heap = [(-load[e], e) for e in range(shape.experts)]
    heapq.heapify(heap)
    while spare and heap:
        _, expert = heapq.heappop(heap)
        if counts[expert] >= shape.ranks:
            continue
        counts[expert] += 1
        spare -= 1
        heapq.heappush(heap, (-load[expert] / counts[expert], expert))
    return counts


def pack(shape: MapShape, load: abc.Sequence[float]) -> Placement:
    """Return a placement that packs replicas greedily, heaviest first.

    Each one goes to the least loaded rank that has a free slot.
    """
    counts = allocate_replicas(shape, load)
    replica_loads = sorted(
        ((load[e] / counts[e], e) for e in range(shape.experts)),
        reverse=True,
    )
    placement: Placement = [[] for _ in range(shape.ranks)]
    totals = [0.0] * shape.ranks
    for replica_load, expert in replica_loads:
        free_ranks = [
            r
            for r in range(shape.ranks)
            if len(placement[r]) < shape.slots_per_rank
        ]
        free_ranks.sort(key=lambda r: (totals[r], r))
        for rank in free_ranks[: counts[expert]]:
            placement[rank].append(expert)
            totals[rank] += replica_load
    return [sorted(experts) for experts in placement]


@registry.register(KIND, 'full')
class FullReplan:
    """Baseline that packs from scratch, regardless of moved weights."""

    def plan(
        self,
        shape: MapShape,
        load: abc.Sequence[float],
        current: Placement,
        price: fleet.MapPrice,
    ) -> Placement:
        """Return a new placement for ``load``."""
        return pack(shape, load)


@registry.register(KIND, 'none')
class NoReplan:
    """Baseline that never changes the first placement."""

    def plan(
        self,
        shape: MapShape,
        load: abc.Sequence[float],
        current: Placement,
        price: fleet.MapPrice,
    ) -> Placement:
        """Return ``current``, or a first placement if there is none."""
        return current or pack(shape, load)
