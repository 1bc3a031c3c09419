"""Model of the platform's host list."""

import enum
import ipaddress

import pydantic

from aspenfold._internal.models import base


class HostState(enum.StrEnum):
    """State of a host according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Role(enum.StrEnum):
    """Role of a host."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


class Host(base.Model):
    """An entry host, or an endpoint with the address of its agent."""

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
    """The host list; ``version`` increases with each change."""

    version: int
    hosts: list[Host]
