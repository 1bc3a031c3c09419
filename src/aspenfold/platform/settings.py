"""Reads the platform's settings file of a process."""

import os

import pydantic

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import settings
from aspenfold._internal.models import base

PATH_VARIABLE = 'ASPENFOLD_SETTINGS'
"""The environment variable that holds the file's path."""

METRICS_PORT = 9464
"""Where metrics are served; stands in deploy/system.toml too.  The
settings name no port; exporters customarily use this one."""


class _Border(pydantic.BaseModel):
    """New fields may come; those that are not known are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Listen(_Border):
    # Callers' address and the balancer's health address; both are
    # absent on hosts that callers do not reach.
    front: str = ''
    ready: str = ''


class _Bounds(_Border):
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 90


class _Store(_Border):
    address: str


class _Host(_Border):
    node: str
    ip: str
    zone: str
    # The first and the last port that our own processes may use.
    internal_port_range: tuple[int, int] = (0, 0)

    @property
    def agent_port(self) -> int:
        """The second of the ports, 0 where there is only one."""
        first, last = self.internal_port_range
        return first + 1 if first < last else 0


class _RankFile(_Host):
    # Where this host's engine listens.
    app: str


class _File(_Host):
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    platform: _Store


def path_from_environment() -> str:
    """Return the settings file's path, or raise a coded error."""
    value = os.environ.get(PATH_VARIABLE, '')
    if value:
        return value
    raise exceptions.SettingsError(
        exceptions.Failure(
            code=exceptions.Code.SETTINGS_INVALID,
            detail='no settings file is named',
            field=PATH_VARIABLE,
            remedy=f'set {PATH_VARIABLE} to the path of the settings file',
        )
    )


def load_gateway(file_path: str) -> settings.GatewaySettings:
    """Read the file, or raise a coded error that names the field."""
    found = base.load_model(
        file_path, _File, code=exceptions.Code.SETTINGS_INVALID
    )
    return settings.GatewaySettings(
        name=found.node,
        availability_zone=found.zone,
        address=found.ip,
        peer_port=found.internal_port_range[0],
        agent_port=found.agent_port,
        callers=_optional_address(found.listen.front, 'listen.front'),
        health=_optional_address(found.listen.ready, 'listen.ready'),
        metrics=settings.TcpAddress(host=found.ip, port=METRICS_PORT),
        store=parse_address(found.platform.address, 'platform.address'),
        grace_s=found.bounds.grace_s,
        retry_ratio=found.bounds.retry_budget_ratio,
        retry_slack=found.bounds.retry_budget_slack,
    )


def load_rank_agent(file_path: str) -> settings.RankAgentSettings:
    """Read the file of a rank's host, or raise a coded error."""
    found = base.load_model(
        file_path, _RankFile, code=exceptions.Code.SETTINGS_INVALID
    )
    if not found.agent_port:
        raise exceptions.SettingsError(
            exceptions.Failure(
                code=exceptions.Code.SETTINGS_INVALID,
                detail='there is no port for the agent',
                field='internal_port_range',
                remedy='give a range of two ports or more',
            )
        )
    return settings.RankAgentSettings(
        name=found.node,
        availability_zone=found.zone,
        listen=settings.TcpAddress(host=found.ip, port=found.agent_port),
        engine=parse_address(found.app, 'app'),
    )


def _optional_address(text: str, field: str) -> settings.TcpAddress | None:
    return parse_address(text, field) if text else None


def parse_address(text: str, field: str) -> settings.TcpAddress:
    """Decode "IP:PORT", or raise a coded error that names ``field``."""
    host, _, port = text.rpartition(':')
    if host and port.isdigit() and int(port) < 65536:
        return settings.TcpAddress(host=host, port=int(port))
    raise exceptions.SettingsError(
        exceptions.Failure(
            code=exceptions.Code.SETTINGS_INVALID,
            detail=f'{text!r} is not an address',
            field=field,
            remedy='give IP:PORT',
        )
    )
