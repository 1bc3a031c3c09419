"""Plans which rank holds which experts.

A plan is judged by skew, the largest rank load over the mean, and by
the weights that it moves: slots whose expert the rank did not hold.
"""

from collections import abc
import dataclasses
import heapq
import typing

from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

KIND = 'map'

Placement = list[list[int]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MapShape:
    """Sizes of a group's map.

    ``max_new_experts`` bounds how many experts that a rank does not hold one
    change may bring to it; None for no bound.
    """

    ranks: int
    experts: int
    slots_per_rank: int
    max_new_experts: int | None = None


class MapPlanner(typing.Protocol):
    """Proposes a placement for a group."""

    def plan(
        self,
        shape: MapShape,
        load: abc.Sequence[float],
        current: Placement,
        price: fleet.MapPrice,
    ) -> Placement:
        """Return a placement; ``current`` is empty for the first."""


def rank_loads(placement: Placement, load: abc.Sequence[float]) -> list[float]:
    """Return each rank's load; an expert's is split over its replicas."""
    replicas = [0] * len(load)
    for experts in placement:
        for expert in experts:
            replicas[expert] += 1
    return [
        sum(load[e] / replicas[e] for e in experts) for experts in placement
    ]


def skew(placement: Placement, load: abc.Sequence[float]) -> float:
    """Return the largest rank load over the mean, 1.0 when even."""
    loads = rank_loads(placement, load)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean else 1.0


def moved_weights(
    old: abc.Sequence[abc.Collection[int]],
    new: abc.Sequence[abc.Collection[int]],
) -> int:
    """Return how many expert weights ``new`` loads that ``old`` lacks."""
    return sum(
        len(set(after) - set(before))
        for before, after in zip(old, new, strict=True)
    )


def allocate_replicas(shape: MapShape, load: abc.Sequence[float]) -> list[int]:
    """Return each expert's replica count: spare slots go to the hottest."""
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
    """Pack replicas, heaviest first, on the least loaded rank with room."""
    counts = allocate_replicas(shape, load)
    pieces = sorted(
        ((load[e] / counts[e], e) for e in range(shape.experts)),
        reverse=True,
    )
    placement: Placement = [[] for _ in range(shape.ranks)]
    totals = [0.0] * shape.ranks
    for piece, expert in pieces:
        open_ranks = [
            r
            for r in range(shape.ranks)
            if len(placement[r]) < shape.slots_per_rank
        ]
        open_ranks.sort(key=lambda r: (totals[r], r))
        for rank in open_ranks[: counts[expert]]:
            placement[rank].append(expert)
            totals[rank] += piece
    return [sorted(experts) for experts in placement]


@registry.register(KIND, 'full')
class FullReplan:
    """A baseline: pack from scratch whatever it moves."""

    def plan(
        self,
        shape: MapShape,
        load: abc.Sequence[float],
        current: Placement,
        price: fleet.MapPrice,
    ) -> Placement:
        """Return the packing of ``load``."""
        return pack(shape, load)


@registry.register(KIND, 'none')
class NoReplan:
    """A baseline: keep the first placement for ever."""

    def plan(
        self,
        shape: MapShape,
        load: abc.Sequence[float],
        current: Placement,
        price: fleet.MapPrice,
    ) -> Placement:
        """Return ``current``."""
        return current or pack(shape, load)
