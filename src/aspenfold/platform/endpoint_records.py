"""Decodes the records that endpoints keep in the platform's store."""

import functools
import ipaddress
import typing

import pydantic

from aspenfold._internal.gateway import endpoint_listing

TOPIC = 'keyed.servers'
"""The endpoints' topic; the key of a record is the endpoint's name."""

IGNORED_FIELDS = frozenset({'version', 'stage', 'models', 'sequence'})
"""Fields that no decision depends on; docs/PLATFORM.md says why."""

State = typing.Literal['ready', 'draining']

MAX_PORT = 65_535

MAX_CACHED_ADDRESSES = 20_000
"""Addresses whose parts are kept: each endpoint writes its own each second."""


class _Entry(pydantic.BaseModel):
    """An endpoint's record; unknown fields are kept to be logged.

    Others may write here, too.  What has not all the fields that each
    endpoint states, in their types, is no endpoint's.
    """

    model_config = pydantic.ConfigDict(extra='allow', frozen=True, strict=True)

    service: str = pydantic.Field(min_length=1)
    address: str
    zone: str = pydantic.Field(min_length=1)
    version: str
    slots: int = pydantic.Field(ge=1)
    # "draining" once the endpoint's shutdown is planned.
    state: State
    # Milliseconds until the endpoint reaches full speed after its start.
    cold_remaining_ms: float = pydantic.Field(ge=0, allow_inf_nan=False)
    sequence: int = pydantic.Field(ge=0)
    # Unix milliseconds of the endpoint's start, by its own clock.
    born: int | None = pydantic.Field(default=None, ge=0)


def decode(name: str, value: bytes) -> endpoint_listing.Listing:
    """Return the endpoint that a record describes.

    Raises ValueError, naming the field, if the record is invalid.
    """
    entry = _Entry.model_validate_json(value)
    host, port = _parse_address(entry.address)
    return endpoint_listing.Listing(
        name=name,
        service=entry.service,
        host=host,
        port=port,
        zone=entry.zone,
        capacity=entry.slots,
        draining=entry.state == 'draining',
        started_ms=entry.born,
        unknown_fields=tuple(
            sorted((entry.model_extra or {}).keys() - IGNORED_FIELDS)
        ),
    )


@functools.lru_cache(MAX_CACHED_ADDRESSES)
def _parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port; raises ValueError."""
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host)
    if not port.isascii() or not port.isdigit():
        raise ValueError(f'address: {address!r:.60} has no port')
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'address: {address!r:.60} has an invalid port')
    return host, int(port)
