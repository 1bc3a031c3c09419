"""Plans one stage of a change of map over all sets of layers at once.

For demand that moves on every few seconds, where one expert takes a good
part of a second to copy: a whole plan is out of date once its slowest rank
has copied all that is new to it.  A stage brings each rank a few experts
at most, over all sets together, and takes the moves that gain most first;
the next stage goes on from there, or from new demand.
"""

from collections import abc
import dataclasses

from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import planner

MIN_SKEW_GAIN = 0.02
"""Skew of one set that a copy must save: less is within the noise of a
tenth of a second's counts."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Best:
    """The best move that a set's draft has, and what it gains."""

    gain: float
    move: descent.Move


class StagePlanner:
    """Drafts of all sets that share the ranks' copies."""

    def __init__(
        self,
        *,
        shape: planner.MapShape,
        loads: abc.Sequence[abc.Sequence[float]],
        current: abc.Sequence[planner.Placement],
        slowdowns: abc.Sequence[float],
        max_copies_per_rank: int,
    ) -> None:
        """``copies`` bounds the experts that are new to any rank."""
        left = [max_copies_per_rank] * shape.ranks
        self.drafts = [
            descent.PlacementDraft(
                shape=shape,
                placement=placement,
                load=load,
                slowdowns=slowdowns,
                copy_budget=left,
            )
            for load, placement in zip(loads, current, strict=True)
        ]
        self._best: dict[int, _Best] = {}

    def skew(self) -> float:
        """Return the mean skew of the sets as drafted."""
        return sum(d.skew() for d in self.drafts) / len(self.drafts)

    def iter_moves(self) -> abc.Iterator[None]:
        """Make the moves that pay; pause after each search for one."""
        for number in range(len(self.drafts)):
            self._search(number)
            yield
        while self._best:
            number = max(self._best, key=lambda n: self._best[n].gain)
            draft, best = self.drafts[number], self._best[number]
            if draft.is_allowed(best.move):
                draft.apply(best.move)
            self._search(number)
            yield

    def _search(self, number: int) -> None:
        found = self.drafts[number].best_move(MIN_SKEW_GAIN)
        if found is None:
            self._best.pop(number, None)
            return
        self._best[number] = _Best(gain=found[0], move=found[1])
