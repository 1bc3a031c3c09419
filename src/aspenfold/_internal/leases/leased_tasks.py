"""Duties that one entry at a time performs under a lease.

Planning expert maps and writing snapshots: each tick returns at most
one record a duty, and the fold of the log shows whether it took effect.
"""

from collections import abc
import datetime
import random

from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.expertmaps import sticky
from aspenfold._internal.kernel import registry
from aspenfold._internal.leases import lease_client
from aspenfold._internal.models import fleet as fleet_model
from aspenfold._internal.models import records

LEASE_TTL = datetime.timedelta(seconds=3)

RECORDS_PER_SNAPSHOT = 200
"""Records between two snapshots."""

PLAN_INTERVAL = datetime.timedelta(seconds=10)
"""Least time between two plans of a group by one planner."""

SKEW_HYSTERESIS_RATIO = 1.02
"""How far over its bound skew must be before a new plan is made."""

PLUGINS = (descent, sticky)
"""Importing this module registered its planners."""

REWRITE_DELAY = datetime.timedelta(seconds=1)
"""Wait for an own record to be folded before it is written again."""

RECORD_ID_BITS = 96


class LeasedTasks:
    """Decides which records this entry writes on its own account."""

    def __init__(
        self,
        *,
        name: str,
        rng: random.Random,
        snapshot_interval: datetime.timedelta,
    ) -> None:
        self._name = name
        self._rng = rng
        self._interval = snapshot_interval
        self._lease_client = lease_client.LeaseClient(holder=name)
        self._snapshot_offset = 0
        self._snapshot_at: datetime.datetime | None = None
        self._planned: dict[str, datetime.datetime] = {}
        self._wrote: dict[str, datetime.datetime] = {}

    def on_snapshot(self, offset: int, now: datetime.datetime) -> None:
        """A snapshot stands at ``offset``."""
        self._snapshot_offset = offset
        self._snapshot_at = now

    def tick(
        self,
        state: state_module.FleetState,
        loads: abc.Mapping[str, abc.Sequence[float]],
        now: datetime.datetime,
    ) -> list[records.Record]:
        """Return the records to append now.

        ``loads`` gives each group's load by expert, as its engines
        report it; a group without one keeps its map.
        """
        fleet = state.fleet
        if fleet is None:
            return []
        result: list[records.Record] = []
        for group in fleet.groups:
            load = loads.get(group.name, ())
            record = self._plan_map(state, group, load, now)
            if record is not None:
                result.append(record)
        snapshot = self._snapshot(state, now)
        if snapshot is not None:
            result.append(snapshot)
        return result

    def _plan_map(
        self,
        state: state_module.FleetState,
        group: fleet_model.Group,
        load: abc.Sequence[float],
        now: datetime.datetime,
    ) -> records.Record | None:
        known = state.maps.get(group.name)
        current = known.placement if known else []
        reason = self._reason_to_plan(group, current, load, now)
        if not reason:
            return None
        lease = reducer.MAP_LEASE_PREFIX + group.name
        token = self._lease_client.held_token(state, lease)
        if not token:
            return self._ask(state, lease, now)
        if not self._due(lease, now):
            return None
        placement = plan(group, current, load)
        self._planned[group.name] = now
        if placement == current:
            return None
        return records.MapPlan(
            id=self._new_id(),
            author=self._name,
            at=now,
            group=group.name,
            lease_token=token,
            placement=placement,
            reason=reason,
        )

    def _reason_to_plan(
        self,
        group: fleet_model.Group,
        current: planner.Placement,
        load: abc.Sequence[float],
        now: datetime.datetime,
    ) -> str:
        if not _fits(group, current):
            return 'the group has no map of its size'
        if len(load) != group.experts:
            return ''
        planned = self._planned.get(group.name)
        if planned is not None and now < planned + PLAN_INTERVAL:
            return ''
        skew = planner.skew(current, load)
        if skew <= group.price.skew_bound * SKEW_HYSTERESIS_RATIO:
            return ''
        return f'skew {skew:.3f} is over {group.price.skew_bound}'

    def _snapshot(
        self, state: state_module.FleetState, now: datetime.datetime
    ) -> records.Record | None:
        if self._snapshot_at is None:
            self._snapshot_at = now
        fresh = (
            state.next_offset - self._snapshot_offset < RECORDS_PER_SNAPSHOT
        )
        if fresh and now < self._snapshot_at + self._interval:
            return None
        token = self._lease_client.held_token(state, reducer.SNAPSHOT_LEASE)
        if not token:
            return self._ask(state, reducer.SNAPSHOT_LEASE, now)
        if not self._due(reducer.SNAPSHOT_LEASE, now):
            return None
        return records.Snapshot(
            id=self._new_id(),
            author=self._name,
            at=now,
            covers=state.next_offset,
            lease_token=token,
            state=records.StateDocument.model_validate(state.to_json()),
        )

    def _ask(
        self,
        state: state_module.FleetState,
        lease: str,
        now: datetime.datetime,
    ) -> records.Record | None:
        return self._lease_client.request(
            state, lease, LEASE_TTL, self._new_id(), now
        )

    def _due(self, name: str, now: datetime.datetime) -> bool:
        wrote = self._wrote.get(name)
        if wrote is not None and now < wrote + REWRITE_DELAY:
            return False
        self._wrote[name] = now
        return True

    def _new_id(self) -> str:
        return f'{self._rng.getrandbits(RECORD_ID_BITS):024x}'


def plan(
    group: fleet_model.Group,
    current: planner.Placement,
    load: abc.Sequence[float],
) -> planner.Placement:
    """Return a placement by the group's planner.

    Without a load all experts count as equally popular.
    """
    shape = planner.MapShape(
        ranks=group.ranks,
        experts=group.experts,
        slots_per_rank=group.slots_per_rank,
    )
    if len(load) != group.experts:
        load = [1.0] * group.experts
    if not _fits(group, current):
        current = []
    policy: planner.MapPlanner = registry.create(planner.KIND, group.planner)
    return policy.plan(shape, load, current, group.price)


def _fits(group: fleet_model.Group, placement: list[list[int]]) -> bool:
    held = {expert for experts in placement for expert in experts}
    return len(placement) == group.ranks and len(held) == group.experts
