"""Plans a group's next expert map from the demand for its experts.

Planning yields to the event loop between its steps.
"""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.expertmaps import demand_estimator
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.expertmaps import stage_planner
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

FAST_SAMPLING_SKEW_GAIN = 0.2
"""Gain of skew over the best known value from which counts are read more
often, since the next plan will probably pay."""

PLAN_INTERVAL = datetime.timedelta(seconds=3)
"""A stage is planned at least this often, since the best value of skew may
have changed."""

MIN_SKEW_GAIN = 0.2
"""A stage must lower the mean skew of the sets by this, since passes are
15 % slower while its experts are copied."""

MAX_STAGE_DURATION = datetime.timedelta(milliseconds=450)
"""Maximum copy time of one stage on one rank; one expert is always allowed.
Demand shifts every few seconds, and the first copies gain most: after a shift
one a rank lowers the mean skew from 3.2 to 1.35, a second one to 1.18."""


class GroupMapPlanner:
    """Estimates one group's demand and plans its maps.

    ``skew`` is the mean skew of the sets under the current map, 0 before it
    is known.  While ``sample_fast`` holds, counts should be read more often.
    """

    def __init__(
        self,
        *,
        service: str,
        shape: plan_module.GroupShape,
        clock: clock_module.Clock,
    ) -> None:
        self._service = service
        self._shape = shape
        self._clock = clock
        self._demand = demand_estimator.DemandEstimator(
            sets=shape.sets, experts=shape.experts
        )
        # The skew when the last stage did not pay, None if it did.
        self._best_skew: float | None = None
        self._planned_at: datetime.datetime | None = None
        self.sample_fast = False
        self.skew = 0.0

    def add_counts(self, rank: int, counts: rank_protocol.Counts) -> None:
        """Add how often each expert was chosen by a rank's requests."""
        self._demand.add_counts(rank, counts)

    def update_estimate(self) -> None:
        """Update the estimate of demand from the counts added."""
        self._demand.update_estimate(self._clock.now())

    async def plan(
        self, current: rank_protocol.Map, slowdowns: abc.Sequence[float]
    ) -> rank_protocol.Map | None:
        """Return a map that is worth changing to, None if there is none.

        ``current`` is the map in use, ``slowdowns`` the slowdown of each
        rank.
        """
        loads_by_set = self._demand.loads_by_set()
        if loads_by_set is None:
            return None
        stage = stage_planner.StagePlanner(
            shape=planner.MapShape(
                ranks=len(slowdowns),
                experts=self._shape.experts,
                slots_per_rank=self._shape.slots_per_rank,
                max_new_experts=self._shape.max_new_experts,
            ),
            loads_by_set=loads_by_set,
            current=[[list(held) for held in one] for one in current],
            slowdowns=slowdowns,
            max_copies_per_rank=self._max_copies_per_rank,
        )
        self.skew = stage.skew()
        if not self._is_worth_planning():
            return None
        for _ in stage.iter_moves():
            await asyncio.sleep(0)
        skew_after = stage.skew()
        self._planned_at = self._clock.now()
        if self.skew - skew_after < MIN_SKEW_GAIN:
            self._best_skew = self.skew
            return None
        # Plan the next stage as soon as this one is in force.
        self._best_skew = None
        sets = tuple(
            tuple(tuple(experts) for experts in draft.placement)
            for draft in stage.drafts
        )
        events.emit(
            events.Event.MAP_PLANNED,
            service=self._service,
            skew_before=round(self.skew, 3),
            skew_after=round(skew_after, 3),
            moved=sum(
                planner.moved_weights(old, new)
                for old, new in zip(current, sets, strict=True)
            ),
            demand_age_ms=self._demand.time_since_shift(self._planned_at)
            // clock_module.MILLISECOND,
        )
        return sets

    @property
    def _max_copies_per_rank(self) -> int:
        """How many new experts one stage may copy to each rank."""
        most = self._shape.max_new_experts * self._shape.sets
        if not self._shape.copy_time:
            return most
        return min(most, max(1, MAX_STAGE_DURATION // self._shape.copy_time))

    def _is_worth_planning(self) -> bool:
        """Return whether a stage may pay; update ``sample_fast``."""
        if self._best_skew is None or self._planned_at is None:
            return True
        gain = self.skew - self._best_skew
        self.sample_fast = gain >= FAST_SAMPLING_SKEW_GAIN
        is_due = self._clock.now() - self._planned_at >= PLAN_INTERVAL
        return is_due or gain >= MIN_SKEW_GAIN


def initial_map(size: int, shape: plan_module.GroupShape) -> rank_protocol.Map:
    """Return the map of version 0, which assigns experts round-robin."""
    one = tuple(
        tuple(range(rank, shape.experts, size)) for rank in range(size)
    )
    return (one,) * shape.sets
