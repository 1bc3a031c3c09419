"""What a gateway learns from the store, by itself or through a peer."""

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
    """Who acts on what the feeds learn."""

    directory: directory_module.Directory

    def adopt(self, plan: plan_module.Plan) -> None:
        """Put a plan in force if it is newer."""


class StoreFeeds:
    """The plan's feed and the list's, which share what they see."""

    def __init__(
        self,
        *,
        platform: ports.Platform,
        consumer: FeedConsumer,
        clock: clock_module.Clock,
        selection: selection_module.ReaderSelection,
        publish: abc.Callable[[relay.RelayedRecords | None], None],
    ) -> None:
        """``publish`` passes on what was read here."""
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
        """Return the age of what is known of endpoints, None for none."""
        return self.endpoints.age()

    def snapshot(self) -> list[relay.RelayedRecords]:
        """Return all that is known, for a peer that begins to follow."""
        found = (self.plan.snapshot(), self.endpoints.snapshot())
        return [news for news in found if news is not None]

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Take what a peer has read; older news changes nothing."""
        if relayed.topic == self._platform.plan_topic:
            self.plan.apply_relayed(relayed)
        elif relayed.topic == self._platform.endpoint_topic:
            self.endpoints.apply_relayed(relayed)
