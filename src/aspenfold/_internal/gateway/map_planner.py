"""Whether a group's demand asks for a new expert map, and which.

Planning gives way to requests between its steps.
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
"""Skew over the best that is known to be reached, from which on counts
are read faster: the next plan is likely to pay."""

PLAN_INTERVAL = datetime.timedelta(seconds=3)
"""A stage is planned this often also where none seems to pay: the best
that can be reached may have changed."""

MIN_SKEW_GAIN = 0.2
"""A stage must promise to lower the mean skew of the sets by this: its
copies make passes 15 in 100 longer while they last."""

MAX_STAGE_DURATION = datetime.timedelta(milliseconds=450)
"""Longest time of a stage's copies on one rank, if one expert takes less.
Demand shifts every few seconds.  After a shift one copy a rank, in 0.4 s,
lowers the mean skew from 3.2 to 1.35, and a second one to 1.18."""


class GroupMapPlanner:
    """Follows one group's demand and plans its maps."""

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
        # The skew at which the last stage that was planned did not pay.
        self._reached: float | None = None
        self._planned_at: datetime.datetime | None = None
        self.sample_fast = False
        self.skew = 0.0

    def add_counts(self, rank: int, counts: rank_protocol.Counts) -> None:
        """Take how often a rank's requests chose each expert."""
        self._demand.add_counts(rank, counts)

    def update_estimate(self) -> None:
        """Weigh what was sampled since the last time."""
        self._demand.update_estimate(self._clock.now())

    async def plan(
        self, current: rank_protocol.Map, slowdowns: abc.Sequence[float]
    ) -> rank_protocol.Map | None:
        """Return a map that pays for its change, None if there is none.

        ``current`` is the map in use, ``slowdowns`` how much longer each rank
        takes for the same work.
        """
        loads_by_set = self._demand.loads_by_set()
        if loads_by_set is None:
            return None
        stage = stage_planner.StagePlanner(
            shape=planner.MapShape(
                ranks=len(slowdowns),
                experts=self._shape.experts,
                slots_per_rank=self._shape.slots_per_rank,
                max_new_experts=self._shape.spare,
            ),
            loads_by_set=loads_by_set,
            current=[[list(held) for held in one] for one in current],
            slowdowns=slowdowns,
            max_copies_per_rank=self._copies,
        )
        self.skew = stage.skew()
        if not self._worth_planning():
            return None
        for _ in stage.iter_moves():
            await asyncio.sleep(0)
        after = stage.skew()
        self._planned_at = self._clock.now()
        if self.skew - after < MIN_SKEW_GAIN:
            self._reached = self.skew
            return None
        # The next stage is looked for as soon as this one is in force.
        self._reached = None
        sets = tuple(
            tuple(tuple(experts) for experts in draft.placement)
            for draft in stage.drafts
        )
        events.emit(
            events.Event.MAP_PLANNED,
            service=self._service,
            skew_before=round(self.skew, 3),
            skew_after=round(after, 3),
            moved=sum(
                planner.moved_weights(old, new)
                for old, new in zip(current, sets, strict=True)
            ),
            demand_age_ms=self._demand.time_since_shift(self._planned_at)
            // clock_module.MILLISECOND,
        )
        return sets

    @property
    def _copies(self) -> int:
        """How many new experts one stage may bring to a rank."""
        most = self._shape.spare * self._shape.sets
        if not self._shape.copy_time:
            return most
        return min(most, max(1, MAX_STAGE_DURATION // self._shape.copy_time))

    def _worth_planning(self) -> bool:
        """Return whether a stage may pay; set the pace of counts."""
        if self._reached is None or self._planned_at is None:
            return True
        gain = self.skew - self._reached
        self.sample_fast = gain >= FAST_SAMPLING_SKEW_GAIN
        due = self._clock.now() - self._planned_at >= PLAN_INTERVAL
        return due or gain >= MIN_SKEW_GAIN


def initial_map(size: int, shape: plan_module.GroupShape) -> rank_protocol.Map:
    """Return map 0, which assigns experts to ranks in turn."""
    one = tuple(
        tuple(range(rank, shape.experts, size)) for rank in range(size)
    )
    return (one,) * shape.sets
