"""Reads the settings files that the platform writes for processes."""

import os
import time
import typing

import pydantic

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import settings
from aspenfold._internal.models import base

PATH_VARIABLE = 'ASPENFOLD_SETTINGS'
"""Environment variable with the path of the settings file."""

METRICS_PORT = 9464
"""Port of the metrics server; deploy/system.toml names it too.

The settings files have no field for it.
"""


BYTES_PER_MB = 1_000_000

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform reserves for files."""

READ_ATTEMPTS = 11

READ_RETRY_DELAY_S = 0.05
"""The platform may be writing the file, whose new content is not whole yet."""


class _WireModel(pydantic.BaseModel):
    """Base of the file's parts; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Listen(_WireModel):
    # Addresses for callers and for health checks, both absent on hosts
    # that callers do not reach.
    front: str = ''
    ready: str = ''


class _Bounds(_WireModel):
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 90


class _Limits(_WireModel):
    memory_mb: float = pydantic.Field(default=300, gt=0)
    max_fds: int = pydantic.Field(default=1024, gt=FILE_DESCRIPTORS)

    @property
    def memory_bytes(self) -> int:
        """The memory in bytes."""
        return int(self.memory_mb * BYTES_PER_MB)

    @property
    def max_sockets(self) -> int:
        """Descriptors that are left for sockets."""
        return self.max_fds - FILE_DESCRIPTORS


class _Store(_WireModel):
    address: str


class _Host(_WireModel):
    node: str
    ip: str
    zone: str
    # First and last port for traffic between aspenfold's processes.
    internal_port_range: tuple[int, int] = (0, 0)

    @property
    def agent_port(self) -> int:
        """The second port of the range, 0 if there is only one."""
        first, last = self.internal_port_range
        return first + 1 if first < last else 0


class _RankFile(_Host):
    # Address of this host's engine.
    app: str
    limits: _Limits = _Limits()


class _File(_Host):
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    platform: _Store


def path_from_environment() -> str:
    """Return the path of the settings file.

    Raises SettingsError if the environment does not name it.
    """
    value = os.environ.get(PATH_VARIABLE, '')
    if value:
        return value
    raise exceptions.SettingsError(
        exceptions.Failure(
            code=exceptions.Code.SETTINGS_INVALID,
            detail='the path of the settings file is not set',
            field=PATH_VARIABLE,
            remedy=f'set {PATH_VARIABLE} to the path of the settings file',
        )
    )


def load_gateway(file_path: str) -> settings.GatewaySettings:
    """Read the settings of a gateway.

    Raises SettingsError, naming the field, if the file is invalid.
    """
    data = _load(file_path, _File)
    return settings.GatewaySettings(
        name=data.node,
        availability_zone=data.zone,
        address=data.ip,
        peer_port=data.internal_port_range[0],
        agent_port=data.agent_port,
        callers=_optional_address(data.listen.front, 'listen.front'),
        health=_optional_address(data.listen.ready, 'listen.ready'),
        metrics=settings.TcpAddress(host=data.ip, port=METRICS_PORT),
        store=parse_address(data.platform.address, 'platform.address'),
        grace_s=data.bounds.grace_s,
        retry_ratio=data.bounds.retry_budget_ratio,
        retry_slack=data.bounds.retry_budget_slack,
        memory_bytes=data.limits.memory_bytes,
        max_sockets=data.limits.max_sockets,
    )


def load_rank_agent(file_path: str) -> settings.RankAgentSettings:
    """Read the settings of the agent on a rank's host.

    Raises SettingsError, naming the field, if the file is invalid.
    """
    data = _load(file_path, _RankFile)
    if not data.agent_port:
        raise exceptions.SettingsError(
            exceptions.Failure(
                code=exceptions.Code.SETTINGS_INVALID,
                detail='the range has no port for the agent',
                field='internal_port_range',
                remedy='use a range of at least two ports',
            )
        )
    return settings.RankAgentSettings(
        name=data.node,
        availability_zone=data.zone,
        listen=settings.TcpAddress(host=data.ip, port=data.agent_port),
        engine=parse_address(data.app, 'app'),
        memory_bytes=data.limits.memory_bytes,
        max_sockets=data.limits.max_sockets,
    )


Model = typing.TypeVar('Model', bound=_WireModel)


def _load(file_path: str, model: type[Model]) -> Model:
    """Read a file, again for some time if it is not valid."""
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return _load_once(file_path, model)
        except exceptions.ConfigError:
            time.sleep(READ_RETRY_DELAY_S)
    return _load_once(file_path, model)


def _load_once(file_path: str, model: type[Model]) -> Model:
    return base.load_model(
        file_path, model, code=exceptions.Code.SETTINGS_INVALID
    )


def _optional_address(text: str, field: str) -> settings.TcpAddress | None:
    return parse_address(text, field) if text else None


def parse_address(text: str, field: str) -> settings.TcpAddress:
    """Decode an address of the form IP:PORT.

    Raises SettingsError, naming ``field``, if it is invalid.
    """
    host, _, port = text.rpartition(':')
    if host and port.isdigit() and int(port) < 65536:
        return settings.TcpAddress(host=host, port=int(port))
    raise exceptions.SettingsError(
        exceptions.Failure(
            code=exceptions.Code.SETTINGS_INVALID,
            detail=f'{text!r} is not a valid address',
            field=field,
            remedy='use the form IP:PORT',
        )
    )
