"""Feeds of the plan and the endpoints, from the store or from a reader."""

from collections import abc
import datetime
import typing

from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import endpoint_feed
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import plan_feed
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_health
from aspenfold._internal.kernel import clock as clock_module


class FeedConsumer(typing.Protocol):
    """Receives the plans and endpoints that the feeds read."""

    directory: directory_module.Directory

    def adopt_plan(self, plan: plan_module.Plan) -> None:
        """Make a plan the current one if its version is newer."""


class StoreFeeds:
    """The feeds of the plan and of the endpoints, with shared health."""

    def __init__(
        self,
        *,
        platform: ports.Platform,
        consumer: FeedConsumer,
        clock: clock_module.Clock,
        selection: selection_module.ReaderSelection,
        publish: abc.Callable[[relay.RelayedRecords | None], None],
    ) -> None:
        """``publish`` sends what this gateway read to its followers."""
        self._platform = platform
        self.health = store_health.StoreHealth(
            clock=clock, selection=selection
        )
        self.plan = plan_feed.PlanFeed(
            platform=platform,
            consumer=consumer,
            clock=clock,
            selection=selection,
            health=self.health,
            publish=publish,
        )
        self.endpoints = endpoint_feed.EndpointFeed(
            platform=platform,
            directory=consumer.directory,
            clock=clock,
            selection=selection,
            health=self.health,
            publish=publish,
        )

    def endpoints_age(self) -> datetime.timedelta | None:
        """Return the age of the endpoint data, None if there is none."""
        return self.endpoints.age()

    def snapshot(self) -> list[relay.RelayedRecords]:
        """Return the current records, for a new follower."""
        found = (self.plan.snapshot(), self.endpoints.snapshot())
        return [relayed for relayed in found if relayed is not None]

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Apply records that a reader sent; older ones are ignored."""
        if relayed.topic == self._platform.plan_topic:
            self.plan.apply_relayed(relayed)
        elif relayed.topic == self._platform.endpoint_topic:
            self.endpoints.apply_relayed(relayed)
