"""Model of the fleet file, the desired fleet as one JSON document."""

import collections
import enum
import typing

import pydantic

from aspenfold._internal.models import base

ANY = '*'
"""Value of a rule's field that matches everything."""


RoutingName = typing.Literal[
    'least-loaded', 'zone-first', 'two-choices', 'round-robin', 'random'
]
AdmissionName = typing.Literal['lanes', 'open']
RetryName = typing.Literal['budget', 'naive']
PlannerName = typing.Literal['priced', 'greedy', 'descent', 'full', 'none']


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class Priority(enum.StrEnum):
    """Priority classes, most urgent first."""

    INTERACTIVE = 'interactive'
    GENERATION = 'generation'
    BATCH = 'batch'


class Region(base.Model):
    """A region and its availability zones."""

    name: base.Name
    availability_zones: list[base.Name] = pydantic.Field(min_length=1)


class Limits(base.Model):
    """What an organisation may use, over all entry hosts together."""

    requests_per_second: float = pydantic.Field(default=50.0, gt=0)
    burst: float = pydantic.Field(default=100.0, gt=0)
    in_flight: int = pydantic.Field(default=200, gt=0)


class Organisation(base.Model):
    """A customer; ``credential_sha256`` holds hashes, never secrets."""

    name: base.Name
    weight: float = pydantic.Field(default=1.0, gt=0)
    limits: Limits = Limits()
    credential_sha256: list[
        typing.Annotated[
            str, pydantic.StringConstraints(pattern='^[0-9a-f]{64}$')
        ]
    ] = pydantic.Field(min_length=1)


class Operation(base.Model):
    """One call that a service offers."""

    name: base.Name
    path: str = pydantic.Field(pattern='^/')
    repeatable: bool = True
    streamed: bool = False


class Policies(base.Model):
    """Names of the kernel's plug-ins that a service uses.

    They stand here and are not asked of the registry, since all readers
    must judge a fleet alike, whatever plug-ins each has.
    """

    routing: RoutingName = 'two-choices'
    admission: AdmissionName = 'lanes'
    retry: RetryName = 'budget'


class Service(base.Model):
    """A model or a plain service and its operations."""

    name: base.Name
    kind: ServiceKind
    operations: list[Operation] = pydantic.Field(min_length=1)
    workers: dict[base.Name, typing.Annotated[int, pydantic.Field(ge=0)]]
    policies: Policies = Policies()
    checks_fencing: bool = False

    def operation(self, name: str) -> Operation | None:
        """Return the operation called ``name``, or None."""
        return next((op for op in self.operations if op.name == name), None)


class MapPrice(base.Model):
    """What skew and moved weights cost against each other."""

    skew_bound: float = pydantic.Field(default=1.08, ge=1.0)
    skew: float = pydantic.Field(default=1.0, ge=0)
    moved_weights: float = pydantic.Field(default=1.0, ge=0)


class Group(base.Model):
    """A lock-step group of ranks that shares one expert map."""

    name: base.Name
    service: base.Name
    ranks: int = pydantic.Field(ge=1, le=1024)
    experts: int = pydantic.Field(ge=1, le=4096)
    slots_per_rank: int = pydantic.Field(ge=1, le=4096)
    price: MapPrice = MapPrice()
    planner: PlannerName = 'priced'

    @pydantic.model_validator(mode='after')
    def _check_slots(self) -> 'Group':
        if self.ranks * self.slots_per_rank < self.experts:
            raise ValueError(
                f'{self.ranks} ranks with {self.slots_per_rank} slots each '
                f'cannot hold {self.experts} experts'
            )
        return self


class Rule(base.Model):
    """Maps matching requests to a priority; the first match wins."""

    organisation: str = ANY
    service: str = ANY
    operation: str = ANY
    priority: Priority
    default_deadline_ms: int = pydantic.Field(default=30_000, gt=0)
    max_deadline_ms: int = pydantic.Field(default=600_000, gt=0)

    def matches(self, organisation: str, service: str, operation: str) -> bool:
        """Return whether the rule applies to the request."""
        return (
            self.organisation in (ANY, organisation)
            and self.service in (ANY, service)
            and self.operation in (ANY, operation)
        )


class Fleet(base.Model):
    """The whole fleet."""

    format: typing.Literal[1]
    name: base.Name
    regions: list[Region] = pydantic.Field(min_length=1)
    organisations: list[Organisation] = pydantic.Field(min_length=1)
    services: list[Service] = pydantic.Field(min_length=1)
    groups: list[Group] = []
    rules: list[Rule] = pydantic.Field(min_length=1)

    def zones(self) -> set[str]:
        """Return the names of all availability zones."""
        return {
            zone
            for region in self.regions
            for zone in region.availability_zones
        }

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``, or None."""
        return next((s for s in self.services if s.name == name), None)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation called ``name``, or None."""
        return next((o for o in self.organisations if o.name == name), None)

    def rule_for(
        self, organisation: str, service: str, operation: str
    ) -> Rule | None:
        """Return the first rule that matches the request, or None."""
        return next(
            (
                rule
                for rule in self.rules
                if rule.matches(organisation, service, operation)
            ),
            None,
        )

    @pydantic.model_validator(mode='after')
    def _check_references(self) -> 'Fleet':
        problems = [
            *_duplicates('regions', [r.name for r in self.regions]),
            *_duplicates(
                'organisations', [o.name for o in self.organisations]
            ),
            *_duplicates('services', [s.name for s in self.services]),
            *_duplicates('groups', [g.name for g in self.groups]),
            *self._invalid_workers(),
            *self._invalid_groups(),
            *self._invalid_rules(),
        ]
        if problems:
            raise ValueError('; '.join(problems))
        return self

    def _invalid_workers(self) -> list[str]:
        zones = self.zones()
        return [
            f'services.{i}.workers.{zone}: no such availability zone; '
            f'use one of {sorted(zones)}'
            for i, service in enumerate(self.services)
            for zone in service.workers
            if zone not in zones
        ]

    def _invalid_groups(self) -> list[str]:
        models = sorted(
            s.name for s in self.services if s.kind is ServiceKind.MODEL
        )
        return [
            f'groups.{i}.service: {group.service!r} is not a model service; '
            f'use one of {models}'
            for i, group in enumerate(self.groups)
            if group.service not in models
        ]

    def _invalid_rules(self) -> list[str]:
        problems = []
        known = {
            'organisation': {o.name for o in self.organisations},
            'service': {s.name for s in self.services},
            'operation': {
                op.name for s in self.services for op in s.operations
            },
        }
        for i, rule in enumerate(self.rules):
            for field, allowed in known.items():
                value = getattr(rule, field)
                if value != ANY and value not in allowed:
                    problems.append(
                        f'rules.{i}.{field}: no such {field} {value!r}; '
                        f'use one of {sorted(allowed)}'
                    )
        return problems


def _duplicates(field: str, values: list[str]) -> list[str]:
    counts = collections.Counter(values)
    repeated = sorted(name for name, count in counts.items() if count > 1)
    return [f'{field}: {name!r} is listed more than once' for name in repeated]
