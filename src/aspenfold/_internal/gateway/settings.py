"""What a gateway process is told at its start."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TcpAddress:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """Settings of one process; durations are in seconds.

    Gateways exchange datagrams at ``peer_port``, the same on all hosts;
    agents of ranks listen on ``agent_port``, 0: there are none.
    ``callers`` and ``health`` are None on hosts without callers.  After
    SIGTERM a process has ``grace_s`` to end.  In each window that the
    platform watches all gateways together may send ``retry_ratio`` of
    the requests, plus ``retry_slack``, again.
    """

    name: str
    availability_zone: str
    address: str
    peer_port: int
    agent_port: int
    callers: TcpAddress | None
    health: TcpAddress | None
    metrics: TcpAddress
    store: TcpAddress
    grace_s: float
    retry_ratio: float
    retry_slack: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankAgentSettings:
    """Settings of the agent on a rank's host.

    Leaders call it at ``listen``; its own rank's engine is at ``engine``.
    """

    name: str
    availability_zone: str
    listen: TcpAddress
    engine: TcpAddress
