"""Decodes the endpoints' own entries in the platform's store."""

import pydantic

from aspenfold._internal.gateway import directory

TOPIC = 'keyed.servers'
"""The endpoints' topic; a record's key is the endpoint's name."""


class _Entry(pydantic.BaseModel):
    """One endpoint's entry; fields not named here are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    service: str
    address: str
    zone: str = ''
    slots: int = 1
    # "draining" from the moment that its end is planned.
    state: str = 'ready'
    # How much longer the endpoint stays slow after its start.
    cold_remaining_ms: float = 0


def decode(name: str, value: bytes) -> directory.Listing:
    """Return what an endpoint says of itself.

    Raises ``ValueError`` that names the field if the record is not one.
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
    )
