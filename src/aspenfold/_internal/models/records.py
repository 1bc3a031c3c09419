"""Models of the records on the log.

Each record has a unique ``id``.  A writer whose append got no response
finds its record by this id when it reads the log.
"""

import typing

import pydantic

from aspenfold._internal.models import base
from aspenfold._internal.models import fleet

FLEET_STREAM = 'fleet'
"""Stream of configuration, leases, map plans, membership and snapshots."""


def claim_stream(index: int) -> str:
    """Return the name of the claim stream number ``index``."""
    return f'claims-{index}'


class Record(base.Model):
    """Fields of all records; ``at`` is the writer's time."""

    id: str
    author: str
    at: pydantic.AwareDatetime


class ConfigChange(Record):
    """A change of the fleet, as a JSON patch of version ``base_version``.

    ``digest`` is that of the patched document.
    """

    type: typing.Literal['config'] = 'config'
    base_version: int
    digest: str
    patch: list[dict[str, typing.Any]]
    reason: str = ''


class LeaseGrant(Record):
    """A request for a lease.

    It is valid only if ``prior_token`` is the lease's current fencing
    token.  The offset of a valid grant is the new fencing token.
    """

    type: typing.Literal['lease'] = 'lease'
    name: str
    holder: str
    ttl_ms: int
    prior_token: int = 0


class MembershipChange(Record):
    """A change of an endpoint's state by an operator or lease holder."""

    type: typing.Literal['membership'] = 'membership'
    endpoint: str
    state: typing.Literal['live', 'draining', 'gone']
    reason: str = ''


class MapPlan(Record):
    """A planned expert map of a group.

    ``placement[r]`` lists the experts of rank ``r``.  It is valid only if
    ``lease_token`` is the fencing token of the lease for planning.
    """

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
    """A group's newest expert map in a snapshot."""

    version: int
    record_id: str
    placement: list[list[int]]


class StateDocument(base.Model):
    """The state of the fleet stream, in a snapshot or from a peer."""

    next_offset: int = pydantic.Field(ge=1)
    version: int = pydantic.Field(ge=0)
    document: dict[str, typing.Any]
    leases: dict[str, LeaseState]
    members: dict[str, MemberState]
    maps: dict[str, MapState]

    @pydantic.model_validator(mode='after')
    def _check_document(self) -> 'StateDocument':
        if self.version:
            fleet.Fleet.model_validate(self.document)
        return self


class Snapshot(Record):
    """The state after all records before offset ``covers``."""

    type: typing.Literal['snapshot'] = 'snapshot'
    covers: int
    lease_token: int
    state: StateDocument

    @pydantic.model_validator(mode='after')
    def _check_offset(self) -> 'Snapshot':
        if self.covers != self.state.next_offset:
            raise ValueError(
                'covers differs from the next offset of the state'
            )
        return self


FleetRecord = typing.Annotated[
    ConfigChange | LeaseGrant | MembershipChange | MapPlan | Snapshot,
    pydantic.Field(discriminator='type'),
]
fleet_record_adapter: pydantic.TypeAdapter[FleetRecord] = pydantic.TypeAdapter(
    FleetRecord
)


class Claim(base.Model):
    """A claim of an idempotency key for one attempt.

    It is valid only if the attempt ``supersedes`` holds the key, or if
    ``supersedes`` is empty and the key is free.  A claim may supersede
    an attempt only if that attempt certainly never runs.
    """

    key: str
    digest: str
    attempt_id: str
    endpoint: str
    incarnation: str
    deadline_ms: int
    supersedes: str = ''


class ClaimBatch(Record):
    """Claims that were appended as one record."""

    type: typing.Literal['claims'] = 'claims'
    claims: list[Claim]
