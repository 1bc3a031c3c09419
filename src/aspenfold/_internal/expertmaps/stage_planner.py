"""Plans one stage of a map change, for all sets of layers together.

Demand may change every few seconds, and copying an expert takes a large
part of a second, so a complete plan would be outdated before all ranks have
copied their new experts.  A stage gives each rank only a few new experts
and makes the moves with the highest gain; the next stage continues from its
result.
"""

from collections import abc
import dataclasses

from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import planner

MIN_SKEW_GAIN = 0.02
"""Skew of one set that each copied expert must save; less is within the
noise of the counts."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _BestMove:
    """The best move of a set's draft and its gain per new expert."""

    gain: float
    move: descent.Move


class StagePlanner:
    """Plans a stage in ``drafts``, one for each set of layers."""

    def __init__(
        self,
        *,
        shape: planner.MapShape,
        loads_by_set: abc.Sequence[abc.Sequence[float]],
        current: abc.Sequence[planner.Placement],
        slowdowns: abc.Sequence[float],
        max_copies_per_rank: int,
    ) -> None:
        """Start from the ``current`` placements.

        ``loads_by_set`` has each set's demand by expert, ``slowdowns`` a
        load factor for each rank.  ``max_copies_per_rank`` limits the new
        experts of a rank over all sets.
        """
        copy_budget = [max_copies_per_rank] * shape.ranks
        self.drafts = [
            descent.PlacementDraft(
                shape=shape,
                placement=placement,
                load=load,
                slowdowns=slowdowns,
                copy_budget=copy_budget,
            )
            for load, placement in zip(loads_by_set, current, strict=True)
        ]
        self._best_moves: dict[int, _BestMove] = {}

    def skew(self) -> float:
        """Return the mean skew of the drafts."""
        return sum(d.skew() for d in self.drafts) / len(self.drafts)

    def iter_moves(self) -> abc.Iterator[None]:
        """Apply the best moves, yielding after each search for one.

        The caller can do other work in between.
        """
        for set_index in range(len(self.drafts)):
            self._update_best(set_index)
            yield
        while self._best_moves:
            set_index = max(
                self._best_moves, key=lambda n: self._best_moves[n].gain
            )
            draft, best = self.drafts[set_index], self._best_moves[set_index]
            if draft.is_allowed(best.move):
                draft.apply(best.move)
            self._update_best(set_index)
            yield

    def _update_best(self, set_index: int) -> None:
        best = self.drafts[set_index].best_move(MIN_SKEW_GAIN)
        if best is None:
            self._best_moves.pop(set_index, None)
            return
        self._best_moves[set_index] = _BestMove(gain=best[0], move=best[1])
