"""The platform's host list as aspenfold reads it."""

import enum
import ipaddress

import pydantic

from aspenfold._internal.models import base


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Role(enum.StrEnum):
    """What a host does for aspenfold."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


class Host(base.Model):
    """One host: an entry, or an endpoint with its agent's address."""

    name: base.Name
    availability_zone: base.Name
    role: Role
    address: ipaddress.IPv4Address
    port: int = pydantic.Field(gt=0, lt=65536)
    peer_port: int = pydantic.Field(default=0, ge=0, lt=65536)
    state: HostState = HostState.LIVE
    service: str = ''
    group: str = ''
    rank: int = pydantic.Field(default=0, ge=0)


class HostList(base.Model):
    """A reading of the host list; ``version`` only ever grows."""

    version: int
    hosts: list[Host]
