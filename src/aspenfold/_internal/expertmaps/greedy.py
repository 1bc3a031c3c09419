"""Moves the fewest experts that bring skew under its bound."""

from collections import abc
import dataclasses

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

MAX_MOVED_FRACTION = 0.5
"""Stop after moving this share of all slots in one plan."""

MAX_COLD_RANKS = 24
"""Least loaded ranks that are tried as the target of a move."""

MAX_HOT_EXPERTS = 12
"""Heaviest replicas of the hottest rank that are tried."""

SKEW_GAIN_PER_MOVE = 0.002
"""Skew that one moved weight must save where both prices are 1."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Move:
    """One change of a placement and the skew after it.

    ``expert`` comes to ``cold``; ``victim`` leaves it, and goes to the
    hottest rank in exchange if ``swap``.
    """

    cold: int
    expert: int
    victim: int
    swap: bool
    peak: float

    @property
    def weights(self) -> int:
        """How many weights it moves."""
        return 2 if self.swap else 1


class _Draft:
    """A placement under change, with its loads kept up to date."""

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
            self._refresh(rank)

    def share(self, expert: int) -> float:
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
        """Return the largest load over the mean."""
        mean = sum(self.totals) / len(self.totals)
        return max(self.totals) / mean if mean else 1.0

    def apply(self, move: _Move, hot: int) -> None:
        """Carry out a move."""
        self.ranks[move.cold].discard(move.victim)
        self.ranks[move.cold].add(move.expert)
        if move.swap:
            self.ranks[hot].discard(move.expert)
            self.ranks[hot].add(move.victim)
        else:
            self.counts[move.expert] += 1
            self.counts[move.victim] -= 1
        for rank, experts in enumerate(self.ranks):
            if move.expert in experts or move.victim in experts:
                self._refresh(rank)
        self._refresh(move.cold)
        self._refresh(hot)

    def _refresh(self, rank: int) -> None:
        self.totals[rank] = sum(self.share(e) for e in self.ranks[rank])


@registry.register(planner.KIND, 'greedy')
class GreedyMoves:
    """Relieves the hottest rank, one move at a time."""

    def plan(
        self,
        shape: planner.MapShape,
        load: abc.Sequence[float],
        current: planner.Placement,
        price: fleet.MapPrice,
    ) -> planner.Placement:
        """Return ``current`` with as few moves as the price allows."""
        if not current:
            return planner.pack(shape, load)
        draft = _Draft(current, load)
        slots = shape.ranks * shape.slots_per_rank
        moves = 0
        while draft.skew() > price.skew_bound:
            before = draft.skew()
            hot = draft.hottest()
            move = _best_move(draft, hot)
            if move is None or moves > slots * MAX_MOVED_FRACTION:
                break
            draft.apply(move, hot)
            moves += move.weights
            if not _worth(before - draft.skew(), move, draft, price):
                break
        return [sorted(experts) for experts in draft.ranks]


def _worth(
    saved: float, move: _Move, draft: _Draft, price: fleet.MapPrice
) -> bool:
    """Return whether moves of this kind still pay for themselves.

    Hot ranks are relieved one by one, so a move that leaves the skew as
    it is may be needed before the next one shows; it counts as paying
    while the skew is far above the bound.
    """
    far = draft.skew() > 1 + (price.skew_bound - 1) * 2
    cost = move.weights * price.moved_weights * SKEW_GAIN_PER_MOVE
    return far or saved * price.skew * len(draft.totals) >= cost


def _best_move(draft: _Draft, hot: int) -> _Move | None:
    heavy = sorted(draft.ranks[hot], key=draft.share, reverse=True)
    best: _Move | None = None
    for cold in draft.coldest(MAX_COLD_RANKS):
        if cold == hot:
            continue
        for expert in heavy[:MAX_HOT_EXPERTS]:
            if expert in draft.ranks[cold]:
                continue
            for move in _moves(draft, hot, cold, expert):
                if best is None or _better(move, best):
                    best = move
    if best is None or best.peak >= draft.totals[hot]:
        return None
    return best


def _better(one: _Move, two: _Move) -> bool:
    return (one.peak, one.weights) < (two.peak, two.weights)


def _moves(
    draft: _Draft, hot: int, cold: int, expert: int
) -> abc.Iterator[_Move]:
    """Give the ways to bring ``expert`` to ``cold``, with their peaks."""
    count = draft.counts[expert]
    after = draft.load[expert] / (count + 1)
    for victim in draft.ranks[cold]:
        share = draft.share(victim)
        if draft.counts[victim] > 1:
            hot_load = draft.totals[hot] - draft.share(expert) + after
            cold_load = draft.totals[cold] - share + after
            yield _Move(
                cold=cold,
                expert=expert,
                victim=victim,
                swap=False,
                peak=max(hot_load, cold_load),
            )
        if victim not in draft.ranks[hot]:
            moved = draft.share(expert) - share
            yield _Move(
                cold=cold,
                expert=expert,
                victim=victim,
                swap=True,
                peak=max(
                    draft.totals[hot] - moved, draft.totals[cold] + moved
                ),
            )
