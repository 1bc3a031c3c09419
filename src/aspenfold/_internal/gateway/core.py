"""What all requests of one gateway share: plan, directory, budgets."""

import datetime
import random

from aspenfold._internal.gateway import admission
from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import header_names as header_names_module
from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import outages
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import plan_index as plan_index_module
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.kernel import registry
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics as metrics_module
from aspenfold._internal.retries import shared_budget
from aspenfold._internal import routing
from aspenfold._internal.routing import policy as routing_policy

PLUGINS = (routing,)
"""Importing the package registered its policies."""

PLAIN_ROUTING = 'two-choices'

GROUP_ROUTING = 'zone-first'


class Core:
    """State of one gateway; decides, and does no I/O."""

    def __init__(
        self,
        *,
        cfg: settings.GatewaySettings,
        header_names: header_names_module.HeaderNames,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.header_names = header_names
        self.clock = clock
        self.rng = rng
        self.forwarding = forwarding.Forwarding(header_names=header_names)
        self.directory = directory_module.Directory()
        self.metrics = metrics_module.Metrics()
        self.plan_index: plan_index_module.PlanIndex | None = None
        self.plan_applied_at: datetime.datetime | None = None
        self.draining = False
        self.refusing = False
        self._budgets: dict[str, shared_budget.SharedBudget] = {}
        self.outages = outages.Outages(clock=clock)
        self._plain_routing = self._routing(PLAIN_ROUTING)
        self._group_routing = self._routing(GROUP_ROUTING)

    # -- the plan --------------------------------------------------------

    @property
    def limits(self) -> plan_module.Limits:
        """The limits on callers that are in force."""
        if self.plan_index is None:
            return plan_module.DEFAULT_LIMITS
        return self.plan_index.plan.limits

    @property
    def plan_version(self) -> int:
        """The version of the plan in force, 0 for none."""
        return self.plan_index.plan.version if self.plan_index else 0

    def adopt(self, plan: plan_module.Plan) -> None:
        """Put a plan in force; an older one than now is left out."""
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

    # -- choices ---------------------------------------------------------

    def choose_service(self, route: plan_module.Route) -> str:
        """Return the service for one request, by the route's weights."""
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

    def group_services(self) -> list[str]:
        """Return the services whose endpoints are ranks of groups."""
        if self.plan_index is None:
            return []
        services = self.plan_index.plan.services
        return [name for name in services if self.has_group(name)]

    def is_overloaded(
        self, route: plan_module.Route, service: str, left: datetime.timedelta
    ) -> bool:
        """Return whether a request is better refused than queued."""
        if not self.has_group(service):
            return False
        now = self.clock.now()
        found = self._running(self.directory.routable(service, now))
        since = self.outages.time_since_recovery(found)
        return admission.should_refuse(route, left, found, since)

    def current_outage(self, service: str) -> outage.Outage | None:
        """Return the outage to wait for, None if some group runs."""
        if not self.has_group(service):
            return None
        found = self.directory.routable(service, self.clock.now())
        return self.outages.first_to_recover(found)

    def _running(
        self, endpoints: list[directory_module.Endpoint]
    ) -> list[directory_module.Endpoint]:
        """Return those whose group runs; all of them if none does."""
        running = [e for e in endpoints if not self.outages.is_unavailable(e)]
        return running or endpoints

    def choose_endpoint(
        self, service: str, avoid: set[str]
    ) -> directory_module.Endpoint | None:
        """Return the endpoint for an attempt, None if there is none."""
        now = self.clock.now()
        found = self.directory.routable(service, now, avoid)
        if not found:
            found = self.directory.routable(service, now)
        if not found:
            return None
        policy = self._plain_routing
        if self.has_group(service):
            policy = self._group_routing
            found = self._running(found)
        return policy.choose(found, '', True)

    def _routing(self, name: str) -> routing_policy.RoutingPolicy:
        policy: routing_policy.RoutingPolicy = registry.create(
            routing_policy.KIND,
            name,
            zone=self.cfg.availability_zone,
            rng=self.rng,
        )
        return policy

    def plan_age(self) -> datetime.timedelta | None:
        """Return how long the plan has been in force, None for none."""
        if self.plan_applied_at is None:
            return None
        return self.clock.now() - self.plan_applied_at

    def min_retry_budget(self) -> float:
        """Return the fewest attempts left of any service's budget."""
        return min((b.available for b in self._budgets.values()), default=0.0)

    def retry_budget(self, service: str) -> shared_budget.SharedBudget:
        """Return the service's retry budget."""
        known = self._budgets.get(service)
        if known is None:
            known = shared_budget.SharedBudget(
                ratio=self.cfg.retry_ratio, slack=self.cfg.retry_slack
            )
            self._budgets[service] = known
        return known
