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

NORM_EXPONENT = 8
"""The loads' norm that moves lower: near the maximum, which sets the
time of a pass, but with a slope where several ranks are equally hot."""

MAX_HOT_RANKS = 3
"""Hottest ranks that are tried in turn until one can be relieved."""

MAX_HOT_EXPERTS = 3
"""Heaviest experts of a hot rank that are tried."""

MAX_COLD_RANKS = 6
"""Least loaded ranks that are tried as the target of a move."""

MIN_SKEW_GAIN = 0.004
"""Skew that one new expert on a rank must save where prices are 1."""

MAX_MOVED_FRACTION = 0.6
"""Stop after moving this share of all places in one plan."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """``expert`` comes to ``cold``, in the place of ``victim`` if set.

    If ``leaves``, the hot rank gives its copy up, and takes the victim
    in its place.
    """

    source: int
    target: int
    expert: int
    displaced: int | None
    moves_out: bool


class PlacementDraft:
    """A set's placement under change, with its loads kept up to date.

    ``paces`` says how much longer each rank takes for the same load; a
    rank's load counts that much more.  ``copies`` bounds the experts that
    are new to each rank; drafts of several sets may share it.
    """

    def __init__(
        self,
        *,
        shape: planner.MapShape,
        placement: planner.Placement,
        load: abc.Sequence[float],
        slowdowns: abc.Sequence[float] = (),
        copy_budget: list[int] | None = None,
    ) -> None:
        self._shape = shape
        self._copy_budget = copy_budget
        self._load = load
        self._before = [frozenset(experts) for experts in placement]
        self.ranks = [set(experts) for experts in placement]
        self._holders: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(self.ranks):
            for expert in experts:
                self._holders[expert].add(rank)
        self._slowdowns = list(slowdowns) or [1.0] * shape.ranks
        self.totals = [
            sum(self._share(e) for e in experts) * slowdown
            for experts, slowdown in zip(
                self.ranks, self._slowdowns, strict=True
            )
        ]
        self._mean = max(1e-9, sum(load) / shape.ranks)

    @property
    def placement(self) -> planner.Placement:
        """The placement as it stands."""
        return [sorted(experts) for experts in self.ranks]

    def skew(self) -> float:
        """Return the largest load, by pace, over the mean without it."""
        return max(self.totals) / self._mean

    def apply_best_move(self, min_gain: float) -> bool:
        """Make the best move; False if none gains ``min_gain`` skew."""
        found = self.best_move(min_gain)
        if found is None:
            return False
        self.apply(found[1])
        return True

    def best_move(self, min_gain: float) -> tuple[float, Move] | None:
        """Return the best move and the skew that each copy gains."""
        order = sorted(range(len(self.totals)), key=self.totals.__getitem__)
        norm = self._norm(
            sum((t / self._mean) ** NORM_EXPONENT for t in self.totals)
        )
        for source in reversed(order[-MAX_HOT_RANKS:]):
            best: tuple[float, Move] | None = None
            for move in self._moves(source, order[:MAX_COLD_RANKS]):
                gain = self._gain(move, norm) / max(
                    1, self._moved_weights(move)
                )
                if best is None or gain > best[0]:
                    best = gain, move
            if best is not None and best[0] >= min_gain:
                return best
        return None

    def is_allowed(self, move: Move) -> bool:
        """Return whether a move that was found before still fits."""
        if not self._may_take(move.target, move.expert):
            return False
        if not move.moves_out or move.displaced is None:
            return True
        return self._may_take(move.source, move.displaced)

    # -- moves -----------------------------------------------------------

    def _moves(
        self, source: int, cold_ranks: abc.Sequence[int]
    ) -> abc.Iterator[Move]:
        heavy = heapq.nlargest(
            MAX_HOT_EXPERTS, self.ranks[source], key=self._share
        )
        for expert in heavy:
            for target in cold_ranks:
                if target == source or expert in self.ranks[target]:
                    continue
                if not self._may_take(target, expert):
                    continue
                yield from self._moves_to(source, target, expert)

    def _moves_to(
        self, source: int, target: int, expert: int
    ) -> abc.Iterator[Move]:
        if len(self.ranks[target]) < self._shape.slots_per_rank:
            for moves_out in (False, True):
                yield Move(
                    source=source,
                    target=target,
                    expert=expert,
                    displaced=None,
                    moves_out=moves_out,
                )
        for displaced in self.ranks[target]:
            if len(self._holders[displaced]) > 1:
                yield Move(
                    source=source,
                    target=target,
                    expert=expert,
                    displaced=displaced,
                    moves_out=False,
                )
            if displaced in self.ranks[source] or not self._may_take(
                source, displaced
            ):
                continue
            yield Move(
                source=source,
                target=target,
                expert=expert,
                displaced=displaced,
                moves_out=True,
            )

    def _may_take(self, rank: int, expert: int) -> bool:
        max_new_experts = self._shape.max_new_experts
        if expert in self._before[rank]:
            return True
        if self._copy_budget is not None and self._copy_budget[rank] <= 0:
            return False
        if max_new_experts is None:
            return True
        return len(self.ranks[rank] - self._before[rank]) < max_new_experts

    def _moved_weights(self, move: Move) -> int:
        """Return how many experts the move brings to ranks."""
        count = int(move.expert not in self._before[move.target])
        if move.moves_out and move.displaced is not None:
            count += int(move.displaced not in self._before[move.source])
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
            add=move.target,
            drop=move.source if move.moves_out else None,
        )
        if move.displaced is not None:
            self._respread(
                change,
                move.displaced,
                add=move.source if move.moves_out else None,
                drop=move.target,
            )
        for rank in change:
            change[rank] *= self._slowdowns[rank]
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
        powers = norm**NORM_EXPONENT
        for rank, added in self._changes(move).items():
            total = self.totals[rank]
            powers -= (total / self._mean) ** NORM_EXPONENT
            powers += ((total + added) / self._mean) ** NORM_EXPONENT
        return norm - self._norm(powers)

    def _norm(self, powers: float) -> float:
        return max(0.0, powers) ** (1.0 / NORM_EXPONENT)

    def apply(self, move: Move) -> None:
        """Change the placement by one move."""
        for rank, added in self._changes(move).items():
            self.totals[rank] += added
        self._place(move.expert, move.target)
        if move.moves_out:
            self._remove(move.expert, move.source)
        if move.displaced is None:
            return
        self._remove(move.displaced, move.target)
        if move.moves_out:
            self._place(move.displaced, move.source)

    def _place(self, expert: int, rank: int) -> None:
        self.ranks[rank].add(expert)
        self._holders[expert].add(rank)
        self._spend(rank, expert, 1)

    def _remove(self, expert: int, rank: int) -> None:
        self.ranks[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._spend(rank, expert, -1)

    def _spend(self, rank: int, expert: int, count: int) -> None:
        if self._copy_budget is not None and expert not in self._before[rank]:
            self._copy_budget[rank] -= count


def iter_drafts(
    shape: planner.MapShape,
    load: abc.Sequence[float],
    current: planner.Placement,
    price: fleet.MapPrice,
    slowdowns: abc.Sequence[float] = (),
) -> abc.Iterator[PlacementDraft]:
    """Give the draft after each move, so that others can run between."""
    draft = PlacementDraft(
        shape=shape, placement=current, load=load, slowdowns=slowdowns
    )
    yield draft
    limit = int(shape.ranks * shape.slots_per_rank * MAX_MOVED_FRACTION)
    min_gain = max(1e-6, MIN_SKEW_GAIN * price.moved_weights / price.skew)
    for _ in range(limit):
        if draft.skew() <= price.skew_bound or not draft.apply_best_move(
            min_gain
        ):
            return
        yield draft


@registry.register(planner.KIND, 'descent')
class Descent:
    """Lowers a norm of all loads, move by move."""

    def plan(
        self,
        shape: planner.MapShape,
        load: abc.Sequence[float],
        current: planner.Placement,
        price: fleet.MapPrice,
    ) -> planner.Placement:
        """Return ``current`` with the moves that pay at this price."""
        if not current:
            return planner.pack(shape, load)
        placement = current
        for draft in iter_drafts(shape, load, current, price):
            placement = draft.placement
        return placement
