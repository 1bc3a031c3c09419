"""Map planner that moves few experts until skew is within its bound."""

from collections import abc
import dataclasses

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

MAX_MOVED_FRACTION = 0.5
"""Weights moved in one plan, as a fraction of all slots, above which no more
moves are made."""

MAX_COLD_RANKS = 24
"""Least loaded ranks that are tried as the target of a move."""

MAX_HOT_EXPERTS = 12
"""Heaviest replicas of the hottest rank that are tried in a move."""

MIN_SKEW_GAIN = 0.002
"""Skew, multiplied by the number of ranks, that each moved weight must save if
both prices are 1."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Move:
    """One change of a placement: rank ``target`` gets ``expert``.

    ``target`` gives up ``displaced`` for it.  If ``swap``, the hottest rank
    gives up its replica of ``expert`` and gets ``displaced`` instead.
    ``peak`` is the larger load of the two ranks after the move.
    """

    target: int
    expert: int
    displaced: int
    swap: bool
    peak: float

    @property
    def weights(self) -> int:
        """Number of weights that the move loads."""
        return 2 if self.swap else 1


class _Draft:
    """A placement while moves are applied to it, and the loads of its ranks.

    ``counts`` are the numbers of replicas by expert.
    """

    def __init__(
        self, placement: planner.Placement, load: abc.Sequence[float]
    ) -> None:
        self.ranks = [set(experts) for experts in placement]
        self.load = load
        self.counts = [0] * len(load)
        for experts in self.ranks:
            for expert in experts:
                self.counts[expert] += 1
        self.totals = [0.0] * len(self.ranks)
        for rank in range(len(self.ranks)):
            self._update_total(rank)

    def replica_load(self, expert: int) -> float:
        """Return the load of one replica of ``expert``."""
        return self.load[expert] / self.counts[expert]

    def hottest(self) -> int:
        """Return the rank with the largest load."""
        return max(range(len(self.totals)), key=self.totals.__getitem__)

    def coldest(self, count: int) -> list[int]:
        """Return the ``count`` ranks with the smallest loads."""
        order = sorted(range(len(self.totals)), key=self.totals.__getitem__)
        return order[:count]

    def skew(self) -> float:
        """Return the largest load divided by the mean."""
        mean = sum(self.totals) / len(self.totals)
        return max(self.totals) / mean if mean else 1.0

    def apply(self, move: _Move, hot: int) -> None:
        """Apply a move that relieves rank ``hot``."""
        self.ranks[move.target].discard(move.displaced)
        self.ranks[move.target].add(move.expert)
        if move.swap:
            self.ranks[hot].discard(move.expert)
            self.ranks[hot].add(move.displaced)
        else:
            self.counts[move.expert] += 1
            self.counts[move.displaced] -= 1
        for rank, experts in enumerate(self.ranks):
            if move.expert in experts or move.displaced in experts:
                self._update_total(rank)
        self._update_total(move.target)
        self._update_total(hot)

    def _update_total(self, rank: int) -> None:
        self.totals[rank] = sum(self.replica_load(e) for e in self.ranks[rank])


@registry.register(planner.KIND, 'greedy')
class GreedyPlanner:
    """Plans by relieving the hottest rank, one move at a time."""

    def plan(
        self,
        shape: planner.MapShape,
        load: abc.Sequence[float],
        current: planner.Placement,
        price: fleet.MapPrice,
    ) -> planner.Placement:
        """Return ``current`` with the moves that are worth their price."""
        if not current:
            return planner.pack(shape, load)
        draft = _Draft(current, load)
        slots = shape.ranks * shape.slots_per_rank
        moved = 0
        while draft.skew() > price.skew_bound:
            before = draft.skew()
            hot = draft.hottest()
            move = _best_move(draft, hot)
            if move is None or moved > slots * MAX_MOVED_FRACTION:
                break
            draft.apply(move, hot)
            moved += move.weights
            if not _is_worth_its_price(
                before - draft.skew(), move, draft, price
            ):
                break
        return [sorted(experts) for experts in draft.ranks]


def _is_worth_its_price(
    saved: float, move: _Move, draft: _Draft, price: fleet.MapPrice
) -> bool:
    """Return whether more moves of this kind are worth their price.

    Several ranks may be equally hot, so a move may be needed that does not
    reduce the skew yet.  Far above the bound, every move is worth it.
    """
    far_above_bound = draft.skew() > 1 + (price.skew_bound - 1) * 2
    cost = move.weights * price.moved_weights * MIN_SKEW_GAIN
    return far_above_bound or saved * price.skew * len(draft.totals) >= cost


def _best_move(draft: _Draft, hot: int) -> _Move | None:
    heaviest = sorted(draft.ranks[hot], key=draft.replica_load, reverse=True)
    best: _Move | None = None
    for target in draft.coldest(MAX_COLD_RANKS):
        if target == hot:
            continue
        for expert in heaviest[:MAX_HOT_EXPERTS]:
            if expert in draft.ranks[target]:
                continue
            for move in _moves(draft, hot, target, expert):
                if best is None or _is_better(move, best):
                    best = move
    if best is None or best.peak >= draft.totals[hot]:
        return None
    return best


def _is_better(first: _Move, second: _Move) -> bool:
    return (first.peak, first.weights) < (second.peak, second.weights)


def _moves(
    draft: _Draft, hot: int, target: int, expert: int
) -> abc.Iterator[_Move]:
    """Yield the moves that bring ``expert`` to rank ``target``."""
    count = draft.counts[expert]
    after = draft.load[expert] / (count + 1)
    for displaced in draft.ranks[target]:
        replica_load = draft.replica_load(displaced)
        if draft.counts[displaced] > 1:
            hot_load = draft.totals[hot] - draft.replica_load(expert) + after
            cold_load = draft.totals[target] - replica_load + after
            yield _Move(
                target=target,
                expert=expert,
                displaced=displaced,
                swap=False,
                peak=max(hot_load, cold_load),
            )
        if displaced not in draft.ranks[hot]:
            moved = draft.replica_load(expert) - replica_load
            yield _Move(
                target=target,
                expert=expert,
                displaced=displaced,
                swap=True,
                peak=max(
                    draft.totals[hot] - moved, draft.totals[target] + moved
                ),
            )
