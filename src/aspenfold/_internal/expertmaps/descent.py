"""Map planner that moves experts off the hottest ranks, move by move.

:mod:`.greedy` rates a move by its effect on the two ranks involved.  This
planner rates it by its effect on every rank that holds one of the experts.
It also supports free slots and a limit of new experts per rank.
"""

from collections import abc
import dataclasses
import heapq

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

NORM_EXPONENT = 8
"""Exponent of the norm of the rank loads that moves must reduce.  The norm
approximates the maximum, which determines the time of a pass, but also
falls when only one of several equally hot ranks is relieved."""

MAX_HOT_RANKS = 3
"""Hottest ranks that are tried in turn as the source of a move."""

MAX_HOT_EXPERTS = 3
"""Heaviest experts of a hot rank that are tried in a move."""

MAX_COLD_RANKS = 6
"""Least loaded ranks that are tried as the target of a move."""

MIN_SKEW_GAIN = 0.004
"""Skew that each new expert on a rank must save if both prices are 1."""

MAX_MOVED_FRACTION = 0.6
"""Limit of the moves in one plan, as a fraction of all slots."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """One change of a placement: rank ``target`` gets ``expert``.

    ``displaced`` is the expert that ``target`` gives up for it, None if it
    has a free slot.  If ``moves_out``, rank ``source`` gives up its replica
    of ``expert`` and gets ``displaced`` instead, if set.
    """

    source: int
    target: int
    expert: int
    displaced: int | None
    moves_out: bool


class PlacementDraft:
    """The placement of one set of layers while moves are applied to it.

    ``slowdowns`` has a factor for each rank by which its load is
    multiplied.  ``copy_budget`` is how many new experts each rank may
    still get; drafts of several sets may share the list.  ``totals`` are
    the loads of the ranks.
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
        self._initial = [frozenset(experts) for experts in placement]
        self.ranks = [set(experts) for experts in placement]
        self._ranks_by_expert: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(self.ranks):
            for expert in experts:
                self._ranks_by_expert[expert].add(rank)
        self._slowdowns = list(slowdowns) or [1.0] * shape.ranks
        self.totals = [
            sum(self._replica_load(e) for e in experts) * slowdown
            for experts, slowdown in zip(
                self.ranks, self._slowdowns, strict=True
            )
        ]
        self._mean = max(1e-9, sum(load) / shape.ranks)

    @property
    def placement(self) -> planner.Placement:
        """The current placement."""
        return [sorted(experts) for experts in self.ranks]

    def skew(self) -> float:
        """Return the largest load divided by the mean without slowdowns."""
        return max(self.totals) / self._mean

    def apply_best_move(self, min_gain: float) -> bool:
        """Apply the best move; return False if none gains ``min_gain``."""
        best = self.best_move(min_gain)
        if best is None:
            return False
        self.apply(best[1])
        return True

    def best_move(self, min_gain: float) -> tuple[float, Move] | None:
        """Return the gain per new expert of the best move, and that move.

        The move is for the hottest rank that has one with a gain of at
        least ``min_gain``; None if none has.  The gain is the reduction of
        the norm of the loads, relative to their mean.
        """
        order = sorted(range(len(self.totals)), key=self.totals.__getitem__)
        norm = self._norm(
            sum((t / self._mean) ** NORM_EXPONENT for t in self.totals)
        )
        for source in reversed(order[-MAX_HOT_RANKS:]):
            best: tuple[float, Move] | None = None
            for move in self._moves(source, order[:MAX_COLD_RANKS]):
                gain = self._gain(move, norm) / max(
                    1, self._new_expert_count(move)
                )
                if best is None or gain > best[0]:
                    best = gain, move
            if best is not None and best[0] >= min_gain:
                return best
        return None

    def is_allowed(self, move: Move) -> bool:
        """Return whether a move that was found earlier is still allowed."""
        if not self._can_add(move.target, move.expert):
            return False
        if not move.moves_out or move.displaced is None:
            return True
        return self._can_add(move.source, move.displaced)

    def _moves(
        self, source: int, cold_ranks: abc.Sequence[int]
    ) -> abc.Iterator[Move]:
        heaviest = heapq.nlargest(
            MAX_HOT_EXPERTS, self.ranks[source], key=self._replica_load
        )
        for expert in heaviest:
            for target in cold_ranks:
                if target == source or expert in self.ranks[target]:
                    continue
                if not self._can_add(target, expert):
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
            if len(self._ranks_by_expert[displaced]) > 1:
                yield Move(
                    source=source,
                    target=target,
                    expert=expert,
                    displaced=displaced,
                    moves_out=False,
                )
            if displaced in self.ranks[source] or not self._can_add(
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

    def _can_add(self, rank: int, expert: int) -> bool:
        max_new_experts = self._shape.max_new_experts
        if expert in self._initial[rank]:
            return True
        if self._copy_budget is not None and self._copy_budget[rank] <= 0:
            return False
        if max_new_experts is None:
            return True
        return len(self.ranks[rank] - self._initial[rank]) < max_new_experts

    def _new_expert_count(self, move: Move) -> int:
        """Return how many new experts ranks get by the move."""
        count = int(move.expert not in self._initial[move.target])
        if move.moves_out and move.displaced is not None:
            count += int(move.displaced not in self._initial[move.source])
        return count

    def _replica_load(self, expert: int) -> float:
        return self._load[expert] / max(1, len(self._ranks_by_expert[expert]))

    def _load_changes(self, move: Move) -> dict[int, float]:
        """Return the change of each affected rank's load by the move."""
        change: dict[int, float] = {}
        self._add_replica_change(
            change,
            move.expert,
            add=move.target,
            drop=move.source if move.moves_out else None,
        )
        if move.displaced is not None:
            self._add_replica_change(
                change,
                move.displaced,
                add=move.source if move.moves_out else None,
                drop=move.target,
            )
        for rank in change:
            change[rank] *= self._slowdowns[rank]
        return change

    def _add_replica_change(
        self,
        change: dict[int, float],
        expert: int,
        *,
        add: int | None,
        drop: int | None,
    ) -> None:
        """Add the effect of moving one replica to ``change``.

        Rank ``add`` gets a replica and rank ``drop`` loses one.
        """
        holders = self._ranks_by_expert[expert]
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
        """Return by how much the move reduces the norm of the loads."""
        powers = norm**NORM_EXPONENT
        for rank, added in self._load_changes(move).items():
            total = self.totals[rank]
            powers -= (total / self._mean) ** NORM_EXPONENT
            powers += ((total + added) / self._mean) ** NORM_EXPONENT
        return norm - self._norm(powers)

    def _norm(self, powers: float) -> float:
        return max(0.0, powers) ** (1.0 / NORM_EXPONENT)

    def apply(self, move: Move) -> None:
        """Apply a move to the placement."""
        for rank, added in self._load_changes(move).items():
            self.totals[rank] += added
        self._add(move.expert, move.target)
        if move.moves_out:
            self._remove(move.expert, move.source)
        if move.displaced is None:
            return
        self._remove(move.displaced, move.target)
        if move.moves_out:
            self._add(move.displaced, move.source)

    def _add(self, expert: int, rank: int) -> None:
        self.ranks[rank].add(expert)
        self._ranks_by_expert[expert].add(rank)
        self._use_budget(rank, expert, 1)

    def _remove(self, expert: int, rank: int) -> None:
        self.ranks[rank].discard(expert)
        self._ranks_by_expert[expert].discard(rank)
        self._use_budget(rank, expert, -1)

    def _use_budget(self, rank: int, expert: int, count: int) -> None:
        if self._copy_budget is not None and expert not in self._initial[rank]:
            self._copy_budget[rank] -= count


def iter_drafts(
    shape: planner.MapShape,
    load: abc.Sequence[float],
    current: planner.Placement,
    price: fleet.MapPrice,
    slowdowns: abc.Sequence[float] = (),
) -> abc.Iterator[PlacementDraft]:
    """Yield the draft before the first move and after each move.

    The caller can do other work between moves.
    """
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
class DescentPlanner:
    """Plans by applying the moves that reduce the norm of the loads most."""

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
        placement = current
        for draft in iter_drafts(shape, load, current, price):
            placement = draft.placement
        return placement
