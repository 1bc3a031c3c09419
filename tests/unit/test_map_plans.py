"""Map plans are fenced: a paused planner changes nothing."""

import random

from aspenfold_standins import sim as sim_module
import pytest
from tests.lib import fleets

from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.leases import lease_client
from aspenfold._internal.leases import leased_tasks
from aspenfold._internal.models import fleet
from aspenfold._internal.models import records

LEASE = reducer.MAP_LEASE_PREFIX + 'group-0'
GROUP = {
    'name': 'group-0',
    'service': 'llm',
    'ranks': 4,
    'experts': 16,
    'slots_per_rank': 5,
}


def grant(holder: str, prior: int) -> records.LeaseGrant:
    """Return a record that acquires the group's lease."""
    return records.LeaseGrant(
        id=f'{holder}-{prior}',
        author=holder,
        at=sim_module.START,
        name=LEASE,
        holder=holder,
        ttl_ms=1000,
        prior_token=prior,
    )


def plan(name: str, token: int) -> records.MapPlan:
    """Return a map plan with the fencing token ``token``."""
    return records.MapPlan(
        id=name,
        author=name,
        at=sim_module.START,
        group='group-0',
        lease_token=token,
        placement=[[0], [1]],
    )


def feed(
    state: state_module.FleetState, *given: records.Record
) -> list[reducer.Verdict]:
    """Apply records in order and return the verdicts."""
    return [
        reducer.apply_record(
            state, state.next_offset, record.model_dump(mode='json')
        )
        for record in given
    ]


def test_a_paused_planners_plan_is_ignored() -> None:
    """A plan made under an expired lease must not take effect."""
    state = state_module.FleetState()
    verdicts = feed(
        state,
        grant('entry-a', 0),
        grant('entry-b', 1),
        plan('b', 2),
        plan('a', 1),
    )
    assert [v.value for v in verdicts] == [
        'accepted',
        'accepted',
        'accepted',
        'stale-token',
    ]
    assert state.maps['group-0'].record_id == 'b'


def test_racing_planners_have_one_winner() -> None:
    """Two requests for a lease with the same prior token must not both win."""
    state = state_module.FleetState()
    verdicts = feed(
        state, grant('entry-a', 0), grant('entry-b', 0), plan('b', 0)
    )
    assert [v.value for v in verdicts] == [
        'accepted',
        'conflict',
        'stale-token',
    ]


def test_a_plan_whose_append_response_was_lost_counts_once() -> None:
    """A plan that is appended twice must not get a second version."""
    state = state_module.FleetState()
    feed(state, grant('entry-a', 0), plan('a', 1))
    version = state.maps['group-0'].version
    (verdict,) = feed(state, plan('a', 1))
    assert verdict is reducer.Verdict.NO_CHANGE
    assert state.maps['group-0'].version == version


def test_a_paused_planners_plan_wins_without_the_token_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the token check a paused planner's plan takes effect."""
    monkeypatch.setattr(
        state_module.FleetState,
        'lease_token',
        lambda self, name: 1,
    )
    state = state_module.FleetState()
    feed(state, grant('entry-a', 0), plan('b', 1), plan('a', 1))
    assert state.maps['group-0'].record_id == 'a'


def test_a_lease_is_requested_only_after_it_has_expired() -> None:
    """A lease must not be requested before it can have expired."""
    state = state_module.FleetState()
    feed(state, grant('entry-a', 0))
    client = lease_client.LeaseClient(holder='entry-b')
    ttl = 1000 * sim_module.MILLISECOND
    now = sim_module.START
    assert client.request(state, LEASE, ttl, 'x', now) is None
    assert client.request(state, LEASE, ttl, 'x', now + ttl / 2) is None
    request = client.request(state, LEASE, ttl, 'x', now + ttl)
    assert request is not None
    assert request.prior_token == 1


def test_the_first_map_is_planned_and_later_maps_follow_demand() -> None:
    """A map must be planned first, and later only when load is skewed."""
    document = fleets.document(groups=[GROUP])
    state = state_module.FleetState()
    state.set_document(1, document, fleet.Fleet.model_validate(document))
    state.next_offset = 2
    tasks = leased_tasks.LeasedTasks(
        name='entry-a',
        rng=random.Random(1),
        snapshot_interval=leased_tasks.LEASE_TTL * 1000,
    )
    now = sim_module.START
    for _ in range(2):
        feed(state, *tasks.tick(state, {}, now))
    assert planner.skew(state.maps['group-0'].placement, [1.0] * 16) == 1.0
    first = state.maps['group-0'].version
    later = now + leased_tasks.PLAN_INTERVAL
    assert tasks.tick(state, {'group-0': [1.0] * 16}, later) == []
    load = [1.0] * 15 + [9.0]
    feed(state, *tasks.tick(state, {'group-0': load}, later))
    current = state.maps['group-0']
    assert current.version > first
    assert planner.skew(current.placement, load) < 1.1
