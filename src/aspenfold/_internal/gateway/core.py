"""State that all requests of a gateway share."""

from collections import abc
import datetime
import random

from aspenfold._internal.gateway import admission
from aspenfold._internal.gateway import body_budget
from aspenfold._internal.gateway import crash_watch
from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import endpoint_inquiry
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import header_names as header_names_module
from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import outages
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import plan_index as plan_index_module
from aspenfold._internal.gateway import quarantine
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.gateway import response_budget
from aspenfold._internal.gateway import send_permission
from aspenfold._internal.gateway import settings
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.gateway import statement_recorder
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.kernel import registry
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics as metrics_module
from aspenfold._internal.retries import shared_budget
from aspenfold._internal import routing
from aspenfold._internal.routing import policy as routing_policy

PLUGINS = (routing,)
"""Packages that register their policies when they are imported."""

PLAIN_ROUTING_POLICY = 'two-choices'

GROUP_ROUTING_POLICY = 'zone-first'


class Core:
    """Plan, endpoints, outages and retry budgets of one gateway.

    It chooses services and endpoints for requests and does no I/O.  While
    ``draining`` is true the process is about to exit; while ``refusing``
    is true new requests are refused.
    """

    def __init__(
        self,
        *,
        cfg: settings.GatewaySettings,
        header_names: header_names_module.HeaderNames,
        decode_statement: endpoint_statement.Decoder,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.header_names = header_names
        self.decode_statement = decode_statement
        self.clock = clock
        self.rng = rng
        self.forwarding = forwarding.Forwarding(header_names=header_names)
        self.directory = directory_module.Directory()
        self.rate_limits = rate_limits.RateLimits(
            host=cfg.name,
            zone=cfg.availability_zone,
            endpoint_directory=self.directory,
        )
        self.metrics = metrics_module.Metrics()
        self.body_budget = body_budget.for_memory(cfg.memory_bytes)
        self.input_budget = body_budget.for_input(cfg.memory_bytes)
        self.response_budget = response_budget.for_memory(cfg.memory_bytes)
        self.statement_recorder = statement_recorder.StatementRecorder(
            endpoint_directory=self.directory,
            limits=self.rate_limits,
            counters=self.metrics,
        )
        self.plan_index: plan_index_module.PlanIndex | None = None
        self.plan_applied_at: datetime.datetime | None = None
        self.draining = False
        self.refusing = False
        self._budgets: dict[str, shared_budget.SharedBudget] = {}
        self._gateway_count = 1
        self.outages = outages.Outages(clock=clock)
        ledger = start_ledger.StartLedger()
        self.quarantine = quarantine.Quarantine(host=cfg.name, ledger=ledger)
        self.crash_watch = crash_watch.CrashWatch(
            endpoint_directory=self.directory,
            quarantine=self.quarantine,
            ledger=ledger,
            inquiry=endpoint_inquiry.EndpointInquiry(
                header_names=header_names,
                decode_statement=decode_statement,
                health_path=self._health_path,
            ),
            counters=self.metrics,
            clock=clock,
        )
        self._plain_routing = self._create_policy(PLAIN_ROUTING_POLICY)
        self._group_routing = self._create_policy(GROUP_ROUTING_POLICY)

    def set_peers(self, zones: abc.Mapping[str, str]) -> None:
        """Set the zones of the other gateways that are alive, by host."""
        self.rate_limits.set_gateways(zones, self.clock.now())
        self.quarantine.set_peers(zones.keys())
        self._gateway_count = len(zones) + 1
        for budget in self._budgets.values():
            budget.gateways = self._gateway_count

    @property
    def limits(self) -> plan_module.Limits:
        """The limits on callers' requests."""
        if self.plan_index is None:
            return plan_module.DEFAULT_LIMITS
        return self.plan_index.plan.limits

    @property
    def plan_version(self) -> int:
        """The version of the current plan, 0 if there is none."""
        return self.plan_index.plan.version if self.plan_index else 0

    def adopt_plan(self, plan: plan_module.Plan) -> None:
        """Make a plan the current one if its version is newer."""
        plan_index = self.plan_index
        if plan_index is not None and plan.version <= plan_index.plan.version:
            return
        self.plan_index = plan_index_module.PlanIndex(plan=plan)
        self.plan_applied_at = self.clock.now()
        events.emit(
            events.Event.PLAN_IN_FORCE,
            version=plan.version,
            routes=len(plan.routes),
            organisations=len(plan.organisations),
        )

    def is_conditional(self, request: http1_server.Request) -> bool:
        """Return whether a caller set conditions on the endpoint."""
        return bool(request.header(self.header_names.expected_version))

    def choose_service(self, route: plan_module.Route) -> str:
        """Choose the service for a request at random by the target weights."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if not any(weights):
            return route.targets[0].service
        return self.rng.choices(route.targets, weights)[0].service

    def has_group(self, service: str) -> bool:
        """Return whether the service's endpoints are ranks of groups."""
        if self.plan_index is None:
            return False
        known = self.plan_index.plan.services.get(service)
        return known is not None and known.group is not None

    def _health_path(self, service: str) -> str:
        if self.plan_index is None:
            return plan_module.DEFAULT_HEALTH_PATH
        known = self.plan_index.plan.services.get(service)
        return known.health_path if known else plan_module.DEFAULT_HEALTH_PATH

    def group_services(self) -> list[str]:
        """Return the services whose endpoints are ranks of groups."""
        if self.plan_index is None:
            return []
        services = self.plan_index.plan.services
        return [name for name in services if self.has_group(name)]

    def should_refuse(
        self,
        route: plan_module.Route,
        service: str,
        remaining: datetime.timedelta,
    ) -> bool:
        """Return whether a request should be refused rather than queued.

        ``remaining`` is the time to its deadline.
        """
        if not self.has_group(service):
            return False
        now = self.clock.now()
        candidates = self._in_available_groups(
            self.directory.routable(service, now)
        )
        time_since_recovery = self.outages.time_since_recovery(candidates)
        return admission.should_refuse(
            route, remaining, candidates, time_since_recovery
        )

    def current_outage(self, service: str) -> outage.Outage | None:
        """Return the outage to wait for, None if there is none.

        There is none if a group is available or the service has no ranks.
        """
        if not self.has_group(service):
            return None
        candidates = self.directory.routable(service, self.clock.now())
        return self.outages.first_to_recover(candidates)

    def _in_available_groups(
        self, endpoints: list[directory_module.Endpoint]
    ) -> list[directory_module.Endpoint]:
        """Return the endpoints of available groups, all if there are none."""
        available = [
            e for e in endpoints if not self.outages.is_unavailable(e)
        ]
        return available or endpoints

    def choose_endpoint(
        self, service: str, avoid: set[str]
    ) -> directory_module.Endpoint | None:
        """Return the endpoint for an attempt, None if there is none.

        The attempt counts towards the endpoint's rate limit.  Endpoints in
        ``avoid`` are chosen only if there are no others.
        """
        now = self.clock.now()
        candidates = self.directory.routable(service, now, avoid)
        if not candidates:
            candidates = self.directory.routable(service, now)
        if not candidates:
            return None
        policy = self._plain_routing
        if self.has_group(service):
            policy = self._group_routing
            candidates = self._in_available_groups(candidates)
        chosen = policy.choose(candidates, '', True)
        self.rate_limits.record_sent(chosen.name, now)
        return chosen

    def next_permission(
        self, service: str
    ) -> send_permission.Permission | None:
        """Return when the service's endpoints may be used again, and why.

        Return None if there is no such endpoint.
        """
        return self.directory.next_permission(service, self.clock.now())

    def _create_policy(self, name: str) -> routing_policy.RoutingPolicy:
        policy: routing_policy.RoutingPolicy = registry.create(
            routing_policy.KIND,
            name,
            zone=self.cfg.availability_zone,
            rng=self.rng,
        )
        return policy

    def plan_age(self) -> datetime.timedelta | None:
        """Return how long the plan has been in use, None if there is none."""
        if self.plan_applied_at is None:
            return None
        return self.clock.now() - self.plan_applied_at

    def min_retry_budget(self) -> float:
        """Return the smallest number of retries left of any service."""
        return min((b.available for b in self._budgets.values()), default=0.0)

    def retry_budget(self, service: str) -> shared_budget.SharedBudget:
        """Return the service's retry budget, created on first use."""
        known = self._budgets.get(service)
        if known is None:
            known = shared_budget.SharedBudget(
                ratio=self.cfg.retry_ratio,
                slack=self.cfg.retry_slack,
                gateways=self._gateway_count,
            )
            self._budgets[service] = known
        return known
