"""The configuration that a gateway serves by, as plain data.

A plan is a versioned whole: it is replaced, never changed.
"""

import dataclasses
import datetime
import enum


class Kind(enum.Enum):
    """What may be done with a request more than once."""

    SAFE = 'safe'
    """It may run any number of times."""

    UNSAFE = 'unsafe'
    """It may run at most once for each attempt of the caller."""

    STREAMING = 'streaming'
    """Its answer is a series of events; see :attr:`Route.resumable`."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Which requests go where, and what their callers expect.

    ``timeout`` bounds the whole answer, ``objective`` the time to the
    answer or its first event, ``pause_objective`` the time between two
    events.  ``priority`` 0 is the most urgent.
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
        """Whether a request that may have run may be sent again."""
        if self.kind is Kind.STREAMING:
            return self.resumable
        return self.kind is Kind.SAFE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupShape:
    """Sizes of the expert-parallel group behind a service.

    ``sets`` layers groups with ``experts`` each; a rank has
    ``slots_per_rank`` places a set and may take ``spare`` new experts a
    set with one change.  ``copy_time`` is what a rank takes to copy one
    expert, zero if that is not known.
    """

    sets: int
    experts: int
    slots_per_rank: int
    spare: int
    copy_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A set of endpoints that answer the same requests."""

    name: str
    max_connections: int
    engine_slots: int = 0
    group: GroupShape | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """What a caller may send and how long it may take."""

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
    """One version of everything above."""

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
"""In force until the first plan is known; as in the example plan."""
