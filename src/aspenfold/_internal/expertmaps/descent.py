"""Relieves the hottest ranks by the change that evens all loads most.

Where :mod:`greedy` looks at the two ranks of a move, each move here is
judged by its effect on every rank that holds one of its experts, and
ranks may have free places and a bound on new experts.
"""

from collections import abc
import dataclasses
import heapq

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

POWER = 8
"""The loads' norm that moves lower: near the maximum, which sets the
time of a pass, but with a slope where several ranks are equally hot."""

HOT_RANKS = 3
"""Hottest ranks that are tried in turn until one can be relieved."""

HOT_EXPERTS = 3
"""Heaviest experts of a hot rank that are tried."""

COLD_RANKS = 6
"""Least loaded ranks that are tried as the target of a move."""

MIN_GAIN = 0.004
"""Skew that one new expert on a rank must save where prices are 1."""

MAX_MOVES_SHARE = 0.6
"""Stop after moving this share of all places in one plan."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """``expert`` comes to ``cold``, in the place of ``victim`` if set.

    If ``leaves``, the hot rank gives its copy up, and takes the victim
    in its place.
    """

    hot: int
    cold: int
    expert: int
    victim: int | None
    leaves: bool


class Draft:
    """A set's placement under change, with its loads kept up to date.

    ``paces`` says how much longer each rank takes for the same load; a
    rank's load counts that much more.  ``copies`` bounds the experts that
    are new to each rank; drafts of several sets may share it.
    """

    def __init__(
        self,
        *,
        shape: planner.Shape,
        placement: planner.Placement,
        load: abc.Sequence[float],
        paces: abc.Sequence[float] = (),
        copies: list[int] | None = None,
    ) -> None:
        self._shape = shape
        self._copies = copies
        self._load = load
        self._before = [frozenset(experts) for experts in placement]
        self.ranks = [set(experts) for experts in placement]
        self._holders: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(self.ranks):
            for expert in experts:
                self._holders[expert].add(rank)
        self._paces = list(paces) or [1.0] * shape.ranks
        self.totals = [
            sum(self._share(e) for e in experts) * pace
            for experts, pace in zip(self.ranks, self._paces, strict=True)
        ]
        self._mean = max(1e-9, sum(load) / shape.ranks)

    @property
    def placement(self) -> planner.Placement:
        """The placement as it stands."""
        return [sorted(experts) for experts in self.ranks]

    def skew(self) -> float:
        """Return the largest load, by pace, over the mean without it."""
        return max(self.totals) / self._mean

    def improve(self, min_gain: float) -> bool:
        """Make the best move; False if none gains ``min_gain`` skew."""
        found = self.best_move(min_gain)
        if found is None:
            return False
        self.make(found[1])
        return True

    def best_move(self, min_gain: float) -> tuple[float, Move] | None:
        """Return the best move and the skew that each copy gains."""
        order = sorted(range(len(self.totals)), key=self.totals.__getitem__)
        norm = self._norm(sum((t / self._mean) ** POWER for t in self.totals))
        for hot in reversed(order[-HOT_RANKS:]):
            best: tuple[float, Move] | None = None
            for move in self._moves(hot, order[:COLD_RANKS]):
                gain = self._gain(move, norm) / max(1, self._weights(move))
                if best is None or gain > best[0]:
                    best = gain, move
            if best is not None and best[0] >= min_gain:
                return best
        return None

    def may_make(self, move: Move) -> bool:
        """Return whether a move that was found before still fits."""
        if not self._may_take(move.cold, move.expert):
            return False
        if not move.leaves or move.victim is None:
            return True
        return self._may_take(move.hot, move.victim)

    # -- moves -----------------------------------------------------------

    def _moves(
        self, hot: int, cold_ranks: abc.Sequence[int]
    ) -> abc.Iterator[Move]:
        heavy = heapq.nlargest(HOT_EXPERTS, self.ranks[hot], key=self._share)
        for expert in heavy:
            for cold in cold_ranks:
                if cold == hot or expert in self.ranks[cold]:
                    continue
                if not self._may_take(cold, expert):
                    continue
                yield from self._moves_to(hot, cold, expert)

    def _moves_to(
        self, hot: int, cold: int, expert: int
    ) -> abc.Iterator[Move]:
        if len(self.ranks[cold]) < self._shape.slots_per_rank:
            for leaves in (False, True):
                yield Move(
                    hot=hot,
                    cold=cold,
                    expert=expert,
                    victim=None,
                    leaves=leaves,
                )
        for victim in self.ranks[cold]:
            if len(self._holders[victim]) > 1:
                yield Move(
                    hot=hot,
                    cold=cold,
                    expert=expert,
                    victim=victim,
                    leaves=False,
                )
            if victim in self.ranks[hot] or not self._may_take(hot, victim):
                continue
            yield Move(
                hot=hot, cold=cold, expert=expert, victim=victim, leaves=True
            )

    def _may_take(self, rank: int, expert: int) -> bool:
        spare = self._shape.spare
        if expert in self._before[rank]:
            return True
        if self._copies is not None and self._copies[rank] <= 0:
            return False
        if spare is None:
            return True
        return len(self.ranks[rank] - self._before[rank]) < spare

    def _weights(self, move: Move) -> int:
        """Return how many experts the move brings to ranks."""
        count = int(move.expert not in self._before[move.cold])
        if move.leaves and move.victim is not None:
            count += int(move.victim not in self._before[move.hot])
        return count

    # -- effects ---------------------------------------------------------

    def _share(self, expert: int) -> float:
        return self._load[expert] / max(1, len(self._holders[expert]))

    def _changes(self, move: Move) -> dict[int, float]:
        """Return what the move adds to the load of each rank."""
        change: dict[int, float] = {}
        self._respread(
            change,
            move.expert,
            add=move.cold,
            drop=move.hot if move.leaves else None,
        )
        if move.victim is not None:
            self._respread(
                change,
                move.victim,
                add=move.hot if move.leaves else None,
                drop=move.cold,
            )
        for rank in change:
            change[rank] *= self._paces[rank]
        return change

    def _respread(
        self,
        change: dict[int, float],
        expert: int,
        *,
        add: int | None,
        drop: int | None,
    ) -> None:
        """Add the effect of one expert's coming and going to ``change``."""
        holders = self._holders[expert]
        before = self._load[expert] / len(holders)
        count = len(holders) + (add is not None) - (drop is not None)
        after = self._load[expert] / count
        if after != before:
            for rank in holders:
                change[rank] = change.get(rank, 0.0) + after - before
        if drop is not None:
            change[drop] = change.get(drop, 0.0) - after
        if add is not None:
            change[add] = change.get(add, 0.0) + after

    def _gain(self, move: Move, norm: float) -> float:
        """Return how far the move lowers the norm of the loads."""
        powers = norm**POWER
        for rank, added in self._changes(move).items():
            total = self.totals[rank]
            powers -= (total / self._mean) ** POWER
            powers += ((total + added) / self._mean) ** POWER
        return norm - self._norm(powers)

    def _norm(self, powers: float) -> float:
        return max(0.0, powers) ** (1.0 / POWER)

    def make(self, move: Move) -> None:
        """Change the placement by one move."""
        for rank, added in self._changes(move).items():
            self.totals[rank] += added
        self._place(move.expert, move.cold)
        if move.leaves:
            self._remove(move.expert, move.hot)
        if move.victim is None:
            return
        self._remove(move.victim, move.cold)
        if move.leaves:
            self._place(move.victim, move.hot)

    def _place(self, expert: int, rank: int) -> None:
        self.ranks[rank].add(expert)
        self._holders[expert].add(rank)
        self._spend(rank, expert, 1)

    def _remove(self, expert: int, rank: int) -> None:
        self.ranks[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._spend(rank, expert, -1)

    def _spend(self, rank: int, expert: int, count: int) -> None:
        if self._copies is not None and expert not in self._before[rank]:
            self._copies[rank] -= count


def steps(
    shape: planner.Shape,
    load: abc.Sequence[float],
    current: planner.Placement,
    price: fleet.MapPrice,
    paces: abc.Sequence[float] = (),
) -> abc.Iterator[Draft]:
    """Give the draft after each move, so that others can run between."""
    draft = Draft(shape=shape, placement=current, load=load, paces=paces)
    yield draft
    limit = int(shape.ranks * shape.slots_per_rank * MAX_MOVES_SHARE)
    min_gain = max(1e-6, MIN_GAIN * price.moved_weights / price.skew)
    for _ in range(limit):
        if draft.skew() <= price.skew_bound or not draft.improve(min_gain):
            return
        yield draft


@registry.register(planner.KIND, 'descent')
class Descent:
    """Lowers a norm of all loads, move by move."""

    def plan(
        self,
        shape: planner.Shape,
        load: abc.Sequence[float],
        current: planner.Placement,
        price: fleet.MapPrice,
    ) -> planner.Placement:
        """Return ``current`` with the moves that pay at this price."""
        if not current:
            return planner.pack(shape, load)
        placement = current
        for draft in steps(shape, load, current, price):
            placement = draft.placement
        return placement
