"""The state that results from applying the records of the fleet stream."""

import copy
import dataclasses
import typing

from aspenfold._internal.configuration import patch
from aspenfold._internal.models import fleet as fleet_model
from aspenfold._internal.models import records


@dataclasses.dataclass(kw_only=True, slots=True)
class Lease:
    """The last valid grant of a lease.

    ``token``, the fencing token, is the offset of the grant.
    """

    holder: str
    token: int
    ttl_ms: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Member:
    """An endpoint's state on the log.

    ``token`` is the offset of the record that set it.
    """

    state: str
    token: int


@dataclasses.dataclass(kw_only=True, slots=True)
class MapVersion:
    """A group's newest expert map; ``version`` is its offset.

    ``placement[r]`` lists the experts that rank ``r`` holds, replicas
    included.
    """

    version: int
    record_id: str
    placement: list[list[int]]


@dataclasses.dataclass(kw_only=True, slots=True)
class FleetState:
    """The result of applying all records before ``next_offset``.

    ``version`` is the offset of the active configuration, 0 for none.
    """

    next_offset: int = 1
    version: int = 0
    document: patch.Document = dataclasses.field(default_factory=dict)
    leases: dict[str, Lease] = dataclasses.field(default_factory=dict)
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    maps: dict[str, MapVersion] = dataclasses.field(default_factory=dict)
    _fleet: fleet_model.Fleet | None = None

    @property
    def fleet(self) -> fleet_model.Fleet | None:
        """The active, validated fleet; None before the first one."""
        if self.version and self._fleet is None:
            self._fleet = fleet_model.Fleet.model_validate(self.document)
        return self._fleet

    def set_document(
        self,
        version: int,
        document: patch.Document,
        fleet: fleet_model.Fleet,
    ) -> None:
        """Make ``document`` the active fleet; ``fleet`` is its model."""
        self.version = version
        self.document = document
        self._fleet = fleet

    def lease_token(self, name: str) -> int:
        """Return the fencing token of the lease ``name``, or 0."""
        lease = self.leases.get(name)
        return lease.token if lease else 0

    def to_json(self) -> dict[str, typing.Any]:
        """Return the state as JSON values, for a snapshot or a peer."""
        return {
            'next_offset': self.next_offset,
            'version': self.version,
            'document': self.document,
            'leases': _to_dicts(self.leases),
            'members': _to_dicts(self.members),
            'maps': _to_dicts(self.maps),
        }

    @classmethod
    def from_json(cls, data: object) -> 'FleetState':
        """Return the state that :meth:`to_json` returned as ``data``.

        Raises pydantic.ValidationError if ``data`` is invalid.
        """
        return cls.from_document(records.StateDocument.model_validate(data))

    @classmethod
    def from_document(cls, data: records.StateDocument) -> 'FleetState':
        """Return the state described by a validated document."""
        return cls(
            next_offset=data.next_offset,
            version=data.version,
            document=copy.deepcopy(data.document),
            leases={
                k: Lease(**v.model_dump()) for k, v in data.leases.items()
            },
            members={
                k: Member(**v.model_dump()) for k, v in data.members.items()
            },
            maps={
                k: MapVersion(**v.model_dump()) for k, v in data.maps.items()
            },
        )


def _to_dicts(items: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {name: dataclasses.asdict(item) for name, item in items.items()}
