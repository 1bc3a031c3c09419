"""Applies records of the fleet stream to a state.

The verdict on a record depends only on the records before it, never on
a clock, so that all readers reach the same state at the same offset.
"""

import enum
import typing

import pydantic

from aspenfold._internal.configuration import patch
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.models import fleet as fleet_model
from aspenfold._internal.models import records


class Verdict(enum.StrEnum):
    """Whether a record took effect, and if not, why."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    BAD_DIGEST = 'bad-digest'
    INVALID = 'invalid'
    STALE_TOKEN = 'stale-token'
    NO_CHANGE = 'no-change'


MAP_LEASE_PREFIX = 'map/'
"""Prefix of the name of the lease for planning a group's maps."""

SNAPSHOT_LEASE = 'snapshot'


def apply_record(
    state: state_module.FleetState, offset: int, body: dict[str, typing.Any]
) -> Verdict:
    """Apply the record at ``offset`` to ``state``; return the verdict.

    An invalid record changes nothing but ``state.next_offset``.
    """
    state.next_offset = offset + 1
    try:
        record = records.fleet_record_adapter.validate_python(body)
    except pydantic.ValidationError:
        return Verdict.INVALID
    match record:
        case records.ConfigChange():
            return _apply_config(state, offset, record)
        case records.LeaseGrant():
            return _apply_lease(state, offset, record)
        case records.MembershipChange():
            return _apply_membership(state, offset, record)
        case records.MapPlan():
            return _apply_map(state, offset, record)
        case records.Snapshot():
            return Verdict.ACCEPTED


def _apply_config(
    state: state_module.FleetState,
    offset: int,
    record: records.ConfigChange,
) -> Verdict:
    if record.base_version != state.version:
        return Verdict.CONFLICT
    document = patch.apply(state.document, record.patch)
    if document is None or patch.digest(document) != record.digest:
        return Verdict.BAD_DIGEST
    try:
        fleet = fleet_model.Fleet.model_validate(document)
    except pydantic.ValidationError:
        return Verdict.INVALID
    state.set_document(offset, document, fleet)
    return Verdict.ACCEPTED


def _apply_lease(
    state: state_module.FleetState, offset: int, record: records.LeaseGrant
) -> Verdict:
    if record.prior_token != state.lease_token(record.name):
        return Verdict.CONFLICT
    state.leases[record.name] = state_module.Lease(
        holder=record.holder, token=offset, ttl_ms=record.ttl_ms
    )
    return Verdict.ACCEPTED


def _apply_membership(
    state: state_module.FleetState,
    offset: int,
    record: records.MembershipChange,
) -> Verdict:
    member = state.members.get(record.endpoint)
    if (member.state if member else 'live') == record.state:
        return Verdict.NO_CHANGE
    if record.state == 'live':
        del state.members[record.endpoint]
        return Verdict.ACCEPTED
    state.members[record.endpoint] = state_module.Member(
        state=record.state, token=offset
    )
    return Verdict.ACCEPTED


def _apply_map(
    state: state_module.FleetState, offset: int, record: records.MapPlan
) -> Verdict:
    lease_token = state.lease_token(MAP_LEASE_PREFIX + record.group)
    if record.lease_token != lease_token or not lease_token:
        return Verdict.STALE_TOKEN
    current = state.maps.get(record.group)
    # A planner whose append got no response appends the record again,
    # so it may be on the log twice.
    if current is not None and current.record_id == record.id:
        return Verdict.NO_CHANGE
    state.maps[record.group] = state_module.MapVersion(
        version=offset, record_id=record.id, placement=record.placement
    )
    return Verdict.ACCEPTED
