"""Models of the programs' settings files, in JSON."""

import ipaddress
import typing

import pydantic

from aspenfold._internal import exceptions
from aspenfold._internal.models import base

Port = typing.Annotated[int, pydantic.Field(ge=0, lt=65536)]
"""A TCP port; 0 lets the operating system choose a free one."""


class Address(base.Model):
    """A TCP address by IP number."""

    address: ipaddress.IPv4Address
    port: Port

    @property
    def url(self) -> str:
        """The address as an HTTP base URL, without a final slash."""
        return f'http://{self.address}:{self.port}'


class Platform(base.Model):
    """Where the platform's services listen."""

    log: Address
    host_list: Address


class EntrySettings(base.Model):
    """Settings of ``aspenfold-entry``."""

    name: base.Name
    availability_zone: base.Name
    listen: Address
    peer_listen: Address
    platform: Platform
    peers: list[Address] = []
    system_key: str = pydantic.Field(min_length=16)
    operator_key: str = pydantic.Field(min_length=16)
    http_threads: int = pydantic.Field(default=64, gt=0, le=1000)
    max_body_bytes: int = pydantic.Field(default=1_048_576, gt=0)
    max_header_bytes: int = pydantic.Field(default=16_384, gt=0)
    drain_limit_ms: int = pydantic.Field(default=60_000, gt=0)
    claim_streams: int = pydantic.Field(default=2, gt=0, le=64)
    log_file: str = ''
    snapshot_interval_ms: int = pydantic.Field(default=600_000, gt=0)


class AgentSettings(base.Model):
    """Settings of ``aspenfold-agent``."""

    name: base.Name
    availability_zone: base.Name
    listen: Address
    endpoint: Address
    endpoint_path: str = pydantic.Field(default='', pattern='^(/.*)?$')
    service: base.Name
    kind: typing.Literal['model', 'plain']
    operations: dict[base.Name, str]
    system_key: str = pydantic.Field(min_length=16)
    capacity: int = pydantic.Field(default=32, gt=0)
    group: str = ''
    rank: int = pydantic.Field(default=0, ge=0)
    drain_limit_ms: int = pydantic.Field(default=60_000, gt=0)
    answer_memory_bytes: int = pydantic.Field(default=16_777_216, gt=0)
    log_file: str = ''


class OperatorSettings(base.Model):
    """Settings of the operators' command line, ``aspenfold``."""

    operator: base.Name
    platform: Platform
    operator_key: str = pydantic.Field(min_length=16)


S = typing.TypeVar('S', bound=base.Model)


def load(path: str, cls: type[S]) -> S:
    """Return a settings file validated as ``cls``.

    Raises ConfigError, naming the field, if it is unreadable or invalid.
    """
    return base.load_model(path, cls, code=exceptions.Code.SETTINGS_INVALID)
