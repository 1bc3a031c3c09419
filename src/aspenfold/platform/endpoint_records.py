"""Decodes the records that endpoints keep in the platform's store."""

import pydantic

from aspenfold._internal.gateway import directory

TOPIC = 'keyed.servers'
"""The endpoints' topic; the key of a record is the endpoint's name."""


IGNORED_FIELDS = frozenset({'version', 'stage', 'models', 'sequence'})
"""Fields that no decision depends on; docs/PLATFORM.md says why."""


class _Entry(pydantic.BaseModel):
    """An endpoint's record; unknown fields are kept to be logged."""

    model_config = pydantic.ConfigDict(extra='allow', frozen=True)

    service: str
    address: str
    zone: str = ''
    slots: int = 1
    # "draining" once the endpoint's shutdown is planned.
    state: str = 'ready'
    # Milliseconds until the endpoint reaches full speed after its start.
    cold_remaining_ms: float = 0
    # Unix milliseconds of the endpoint's start, by its own clock.
    born: pydantic.StrictInt | None = None


def decode(name: str, value: bytes) -> directory.Listing:
    """Return the endpoint that a record describes.

    Raises ValueError, naming the field, if the record is invalid.
    """
    entry = _Entry.model_validate_json(value)
    host, _, port = entry.address.rpartition(':')
    return directory.Listing(
        name=name,
        service=entry.service,
        host=host,
        port=int(port),
        zone=entry.zone,
        capacity=max(1, entry.slots),
        draining=entry.state != 'ready',
        started_ms=entry.born,
        unknown_fields=tuple(
            sorted((entry.model_extra or {}).keys() - IGNORED_FIELDS)
        ),
    )
