"""Tasks that one entry at a time performs under a lease.

These are planning a group's expert map and writing snapshots of the
fleet's state.  Each tick returns at most one record per task; whether a
record was accepted shows when the log is read.
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
"""A snapshot is written after this many records, if not due earlier."""

PLAN_INTERVAL = datetime.timedelta(seconds=10)
"""Minimum time between two plans of one group by this process."""

SKEW_HYSTERESIS_RATIO = 1.02
"""Ratio of skew to its bound above which a new plan is made."""

PLUGINS = (descent, sticky)
"""Planners that are registered when this module is imported."""

REWRITE_DELAY = datetime.timedelta(seconds=1)
"""How long to wait for a written record to appear in the log before
writing it again."""

RECORD_ID_BITS = 96


class LeasedTasks:
    """Decides which map plans, snapshots and lease requests to append."""

    def __init__(
        self,
        *,
        name: str,
        rng: random.Random,
        snapshot_interval: datetime.timedelta,
    ) -> None:
        self._name = name
        self._rng = rng
        self._snapshot_interval = snapshot_interval
        self._lease_client = lease_client.LeaseClient(holder=name)
        self._snapshot_offset = 0
        self._snapshot_at: datetime.datetime | None = None
        self._planned_at: dict[str, datetime.datetime] = {}
        self._written_at: dict[str, datetime.datetime] = {}

    def on_snapshot(self, offset: int, now: datetime.datetime) -> None:
        """Record that the log has a snapshot at ``offset``."""
        self._snapshot_offset = offset
        self._snapshot_at = now

    def tick(
        self,
        state: state_module.FleetState,
        loads: abc.Mapping[str, abc.Sequence[float]],
        now: datetime.datetime,
    ) -> list[records.Record]:
        """Return the records to append now.

        ``loads`` maps each group to its load per expert, as reported by
        its engines.  A group without loads keeps a map that fits its
        size.
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
        map_state = state.maps.get(group.name)
        current = map_state.placement if map_state else []
        reason = self._reason_to_plan(group, current, load, now)
        if not reason:
            return None
        lease = reducer.MAP_LEASE_PREFIX + group.name
        token = self._lease_client.held_token(state, lease)
        if not token:
            return self._request_lease(state, lease, now)
        if not self._is_write_due(lease, now):
            return None
        placement = plan(group, current, load)
        self._planned_at[group.name] = now
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
        """Return why to plan a new map, empty if there is no reason."""
        if not _fits(group, current):
            return 'the group has no map of its size'
        if len(load) != group.experts:
            return ''
        planned_at = self._planned_at.get(group.name)
        if planned_at is not None and now < planned_at + PLAN_INTERVAL:
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
        is_recent = (
            state.next_offset - self._snapshot_offset < RECORDS_PER_SNAPSHOT
        )
        if is_recent and now < self._snapshot_at + self._snapshot_interval:
            return None
        token = self._lease_client.held_token(state, reducer.SNAPSHOT_LEASE)
        if not token:
            return self._request_lease(state, reducer.SNAPSHOT_LEASE, now)
        if not self._is_write_due(reducer.SNAPSHOT_LEASE, now):
            return None
        return records.Snapshot(
            id=self._new_id(),
            author=self._name,
            at=now,
            covers=state.next_offset,
            lease_token=token,
            state=records.StateDocument.model_validate(state.to_json()),
        )

    def _request_lease(
        self,
        state: state_module.FleetState,
        lease: str,
        now: datetime.datetime,
    ) -> records.Record | None:
        return self._lease_client.request(
            state, lease, LEASE_TTL, self._new_id(), now
        )

    def _is_write_due(self, lease: str, now: datetime.datetime) -> bool:
        written_at = self._written_at.get(lease)
        if written_at is not None and now < written_at + REWRITE_DELAY:
            return False
        self._written_at[lease] = now
        return True

    def _new_id(self) -> str:
        return f'{self._rng.getrandbits(RECORD_ID_BITS):024x}'


def plan(
    group: fleet_model.Group,
    current: planner.Placement,
    load: abc.Sequence[float],
) -> planner.Placement:
    """Return the placement that the group's planner chooses.

    ``load`` has one value per expert; with any other length all experts
    count as equally loaded.
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
    """Return whether a placement has all ranks and all experts."""
    placed = {expert for experts in placement for expert in experts}
    return len(placement) == group.ranks and len(placed) == group.experts
