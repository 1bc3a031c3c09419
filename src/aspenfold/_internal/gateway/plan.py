"""Data classes of the gateway's configuration.

A plan is immutable: a new version replaces it as a whole.
"""

import dataclasses
import datetime
import enum


class Kind(enum.Enum):
    """Whether a request may run more than once."""

    SAFE = 'safe'
    """It may run any number of times."""

    UNSAFE = 'unsafe'
    """It may run at most once for each attempt of the caller."""

    STREAMING = 'streaming'
    """The response is a stream of events; see :attr:`Route.resumable`."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A service that gets a part of a route's requests, by weight."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Selects requests and sets their targets and time limits.

    ``timeout`` limits the time to the complete response.  ``objective``
    is the target time to the response or its first event,
    ``pause_objective`` that between two events.  ``priority`` 0 is the
    most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout: datetime.timedelta
    objective: datetime.timedelta
    pause_objective: datetime.timedelta
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is Kind.STREAMING:
            return self.resumable
        return self.kind is Kind.SAFE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupShape:
    """Sizes of the expert-parallel group behind a service.

    The model has ``sets`` sets of ``experts`` experts each.  In each set
    a rank holds up to ``slots_per_rank`` experts, and one change of the
    map may add up to ``max_new_experts``.  ``copy_time`` is the time a rank
    takes to copy one expert, zero if it is not known.
    """

    sets: int
    experts: int
    slots_per_rank: int
    max_new_experts: int
    copy_time: datetime.timedelta


DEFAULT_HEALTH_PATH = '/health'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A set of endpoints that serve the same requests.

    Each tells of its health at ``health_path``.
    """

    name: str
    max_connections: int
    health_path: str = DEFAULT_HEALTH_PATH
    engine_slots: int = 0
    group: GroupShape | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits on the size and the duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """A customer and its credentials."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """One version of the gateway's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    organisations: tuple[Organisation, ...]


DEFAULT_LIMITS = Limits(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
)
"""Used until the first plan is read."""
