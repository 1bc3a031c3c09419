"""Whether a group's demand asks for a new expert map, and which.

Planning gives way to requests between its steps: a whole plan takes a
leader's processor for 0.2 s with 72 ranks.
"""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.expertmaps import demand as demand_module
from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.expertmaps import ranks
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.models import fleet
from aspenfold._internal.observability import events

HURRY_GAIN = 0.2
"""Skew over the best that is known to be reached, from which on counts
are read faster; about half of what a change of map must promise."""

PLAN_INTERVAL = datetime.timedelta(seconds=3)
"""A whole plan is made this often also where none seems to pay: the best
that can be reached may have changed."""

MIN_SKEW_GAIN = 0.45
"""A new map must promise to lower the mean skew of the sets by this;
less is within what a second's counts are off."""

PRICE = fleet.MapPrice(skew=1.0, moved_weights=5.0, skew_bound=1.1)
"""What planning weighs: see MIN_GAIN of the planner."""


class MapPlanner:
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
        self._demand = demand_module.Demand(
            sets=shape.sets, experts=shape.experts
        )
        # The skew that the last whole plan came to.
        self._reached: float | None = None
        self._planned_at: datetime.datetime | None = None
        self.hurried = False
        self.skew = 0.0

    def sample(self, rank: int, counts: ranks.Counts) -> None:
        """Take how often a rank's requests chose each expert."""
        self._demand.sample(rank, counts, self._clock.now())

    async def plan(
        self, current: ranks.Map, paces: abc.Sequence[float]
    ) -> ranks.Map | None:
        """Return a map that pays for its change, None if there is none.

        ``current`` is the map in use, ``paces`` how much longer each rank
        takes for the same work.
        """
        loads = self._demand.loads()
        if loads is None:
            return None
        shape = planner.Shape(
            ranks=len(paces),
            experts=self._shape.experts,
            slots_per_rank=self._shape.slots_per_rank,
            spare=self._shape.spare,
        )
        self.skew = await self._skew_of(current, shape, loads, paces)
        if not self._worth_planning():
            return None
        after = 0.0
        moved = 0
        sets: list[ranks.SetMap] = []
        for load, in_use in zip(loads, current, strict=True):
            old = [list(experts) for experts in in_use]
            new = old
            skew = 0.0
            for draft in descent.steps(shape, load, old, PRICE, paces):
                new = draft.placement
                skew = draft.skew()
                await asyncio.sleep(0)
            after += skew / len(loads)
            moved += planner.moved(old, new)
            sets.append(tuple(tuple(experts) for experts in new))
        self._reached = after
        self._planned_at = self._clock.now()
        if self.skew - after < MIN_SKEW_GAIN:
            return None
        events.emit(
            events.Event.MAP_PLANNED,
            service=self._service,
            skew_before=round(self.skew, 3),
            skew_after=round(after, 3),
            moved=moved,
        )
        return tuple(sets)

    async def _skew_of(
        self,
        current: ranks.Map,
        shape: planner.Shape,
        loads: list[list[float]],
        paces: abc.Sequence[float],
    ) -> float:
        """Return the mean skew of the sets under the map in use."""
        total = 0.0
        for load, in_use in zip(loads, current, strict=True):
            draft = descent.Draft(
                shape=shape,
                placement=[list(experts) for experts in in_use],
                load=load,
                paces=paces,
            )
            total += draft.skew()
            await asyncio.sleep(0)
        return total / len(loads)

    def _worth_planning(self) -> bool:
        """Return whether a whole plan may pay; set the pace of counts."""
        if self._reached is None or self._planned_at is None:
            return True
        gain = self.skew - self._reached
        self.hurried = gain >= HURRY_GAIN
        due = self._clock.now() - self._planned_at >= PLAN_INTERVAL
        return due or gain >= MIN_SKEW_GAIN


def initial_map(size: int, shape: plan_module.GroupShape) -> ranks.Map:
    """Return map 0, which assigns experts to ranks in turn."""
    one = tuple(
        tuple(range(rank, shape.experts, size)) for rank in range(size)
    )
    return (one,) * shape.sets
