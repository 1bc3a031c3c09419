"""Records on the log: every kind that aspenfold writes and folds.

Each record carries a unique ``id``, so that a writer whose append
answer was lost finds out by reading whether it took effect.
"""

import typing

import pydantic

from aspenfold._internal.models import base
from aspenfold._internal.models import fleet

FLEET_STREAM = 'fleet'
"""Configuration, leases, map plans, membership and snapshots."""


def claim_stream(index: int) -> str:
    """Return the name of a stream of idempotency-key claims."""
    return f'claims-{index}'


class Record(base.Model):
    """What all records share."""

    id: str
    author: str
    at: pydantic.AwareDatetime


class ConfigChange(Record):
    """A whole-fleet change as a JSON patch against ``base_version``."""

    type: typing.Literal['config'] = 'config'
    base_version: int
    digest: str
    patch: list[dict[str, typing.Any]]
    reason: str = ''


class LeaseGrant(Record):
    """Asks for a lease; valid only if ``prior_token`` is the last one.

    The offset of a valid grant is its fencing token.
    """

    type: typing.Literal['lease'] = 'lease'
    name: str
    holder: str
    ttl_ms: int
    prior_token: int = 0


class MembershipChange(Record):
    """An operator's or a lease holder's change of an endpoint's state."""

    type: typing.Literal['membership'] = 'membership'
    endpoint: str
    state: typing.Literal['live', 'draining', 'gone']
    reason: str = ''


class MapPlan(Record):
    """A planned expert map of a group, under the planner's lease."""

    type: typing.Literal['map'] = 'map'
    group: str
    lease_token: int
    placement: list[list[int]]
    reason: str = ''


class LeaseState(base.Model):
    """A lease in a snapshot."""

    holder: str
    token: int
    ttl_ms: int


class MemberState(base.Model):
    """An endpoint's state in a snapshot."""

    state: str
    token: int


class MapState(base.Model):
    """A group's newest map in a snapshot."""

    version: int
    record_id: str
    placement: list[list[int]]


class StateDocument(base.Model):
    """The whole folded state, in a snapshot or from a peer."""

    next_offset: int = pydantic.Field(ge=1)
    version: int = pydantic.Field(ge=0)
    document: dict[str, typing.Any]
    leases: dict[str, LeaseState]
    members: dict[str, MemberState]
    maps: dict[str, MapState]

    @pydantic.model_validator(mode='after')
    def _holds_a_fleet(self) -> 'StateDocument':
        if self.version:
            fleet.Fleet.model_validate(self.document)
        return self


class Snapshot(Record):
    """The folded state up to, not including, offset ``covers``."""

    type: typing.Literal['snapshot'] = 'snapshot'
    covers: int
    lease_token: int
    state: StateDocument

    @pydantic.model_validator(mode='after')
    def _covers_its_state(self) -> 'Snapshot':
        if self.covers != self.state.next_offset:
            raise ValueError('covers is not the next offset of the state')
        return self


FleetRecord = typing.Annotated[
    ConfigChange | LeaseGrant | MembershipChange | MapPlan | Snapshot,
    pydantic.Field(discriminator='type'),
]
fleet_record_adapter: pydantic.TypeAdapter[FleetRecord] = pydantic.TypeAdapter(
    FleetRecord
)


class Claim(base.Model):
    """One entry's claim of an idempotency key for one attempt.

    Valid only if the key's holder is the attempt ``supersedes`` (empty:
    the key is free).  Whoever writes ``supersedes`` holds proof that
    the superseded attempt will never run.
    """

    key: str
    digest: str
    attempt_id: str
    endpoint: str
    incarnation: str
    deadline_ms: int
    supersedes: str = ''


class ClaimBatch(Record):
    """Claims appended together while an earlier append was in flight."""

    type: typing.Literal['claims'] = 'claims'
    claims: list[Claim]
