"""Settings of the gateway and the rank agent processes."""

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
    """Settings of a gateway process.

    Gateways exchange datagrams on ``peer_port``, the same on all hosts.
    Rank agents listen on ``agent_port``; 0 means that there are none.
    ``callers`` and ``health`` are the addresses to listen on, None on
    hosts without callers.  After SIGTERM the process has ``grace_s``
    seconds to exit.  All gateways together may retry ``retry_ratio`` of
    the requests plus ``retry_slack`` in each window that the platform
    measures.  A process that has more than ``memory_bytes`` is killed, and
    one that has ``max_sockets`` open can open no more.
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
    memory_bytes: int
    max_sockets: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankAgentSettings:
    """Settings of the agent on a rank's host.

    It listens for leaders on ``listen`` and calls the engine of its rank
    at ``engine``.  A process that has more than ``memory_bytes`` is killed,
    and one that has ``max_sockets`` open can open no more.
    """

    name: str
    availability_zone: str
    listen: TcpAddress
    engine: TcpAddress
    memory_bytes: int
    max_sockets: int
