"""Decodes the operators' configuration to a :class:`plan.Plan`."""

import datetime
import typing

import pydantic

from aspenfold._internal.gateway import plan

TOPIC = 'keyed.op'
"""The operators' topic; only operators can write to it."""

KEY = 'config'


class _WireModel(pydantic.BaseModel):
    """Base of the configuration's parts; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


PositiveMillis = typing.Annotated[float, pydantic.Field(gt=0)]


class _Cluster(_WireModel):
    service: str
    weight: int = pydantic.Field(ge=0)


class _Route(_WireModel):
    name: str = ''
    host: str
    path_prefix: str
    kind: plan.Kind
    timeout_ms: PositiveMillis
    target_latency_ms: PositiveMillis
    priority: int = 0
    # One service, or several by weight.
    service: str = ''
    weighted_clusters: list[_Cluster] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    resume_streams: bool = False
    target_gap_ms: float = 0

    def decode(self) -> plan.Route:
        """Return the route as the gateway's type."""
        targets = tuple(
            plan.Target(service=c.service, weight=c.weight)
            for c in self.weighted_clusters
        ) or (plan.Target(service=self.service, weight=1),)
        return plan.Route(
            name=self.name,
            host=self.host.lower(),
            path_prefix=self.path_prefix,
            kind=self.kind,
            timeout=_millis(self.timeout_ms),
            objective=_millis(self.target_latency_ms),
            pause_objective=_millis(self.target_gap_ms),
            priority=self.priority,
            targets=targets,
            max_attempts=max(1, self.max_attempts),
            anonymous=self.allow_anonymous,
            resumable=self.resume_streams,
        )


class _Engine(_WireModel):
    slots: int = 0
    sets: int = 0
    experts: int = 0
    # Expert slots on one rank, in each set of layers.
    placements: int = 0
    # New experts that one map change may bring to a rank, in each set.
    spare: int = 0
    expert_mb: float = 0
    # Bandwidth in Mbit/s of a rank's link to the other ranks.
    link_mbps: float = 0

    @property
    def copy_time(self) -> datetime.timedelta:
        """Time for a rank to copy one expert, zero if unknown."""
        if self.link_mbps <= 0:
            return datetime.timedelta(0)
        seconds = self.expert_mb * 8 / self.link_mbps
        return datetime.timedelta(seconds=seconds)


class _Service(_WireModel):
    name: str
    max_connections: int = 0
    health_path: str = pydantic.Field(
        default=plan.DEFAULT_HEALTH_PATH, pattern=r'^/[!-~]*$'
    )
    engine: _Engine | None = None

    def decode(self) -> plan.Service:
        """Return the service as the gateway's type."""
        engine = self.engine or _Engine()
        group = None
        if engine.sets:
            group = plan.GroupShape(
                sets=engine.sets,
                experts=engine.experts,
                slots_per_rank=engine.placements,
                max_new_experts=engine.spare,
                copy_time=engine.copy_time,
            )
        return plan.Service(
            name=self.name,
            max_connections=self.max_connections,
            health_path=self.health_path,
            engine_slots=engine.slots,
            group=group,
        )


class _Limits(_WireModel):
    max_header_bytes: int = pydantic.Field(gt=0)
    max_body_bytes: int = pydantic.Field(ge=0)
    header_timeout_ms: PositiveMillis
    idle_timeout_ms: PositiveMillis

    def decode(self) -> plan.Limits:
        """Return the limits as the gateway's type."""
        return plan.Limits(
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_timeout=_millis(self.header_timeout_ms),
            idle_timeout=_millis(self.idle_timeout_ms),
        )


class _Tenant(_WireModel):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_WireModel):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


def decode(value: bytes) -> plan.Plan:
    """Return the plan that a configuration record describes.

    Raises ValueError, naming the field, if the record is invalid.
    """
    config = _Config.model_validate_json(value)
    limits = plan.DEFAULT_LIMITS
    if config.limits is not None:
        limits = config.limits.decode()
    return plan.Plan(
        version=config.version,
        routes=tuple(route.decode() for route in config.routes),
        services={s.name: s.decode() for s in config.services},
        limits=limits,
        organisations=tuple(
            plan.Organisation(
                name=t.name, keys=tuple(t.api_keys), priority=t.priority
            )
            for t in config.tenants
        ),
    )


def _millis(value: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=value)
