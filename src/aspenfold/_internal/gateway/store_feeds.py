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


class Believer(typing.Protocol):
    """Who acts on what the feeds learn."""

    directory: directory_module.Directory

    def adopt(self, plan: plan_module.Plan) -> None:
        """Put a plan in force if it is newer."""


class Feeds:
    """The plan's feed and the list's, which share what they see."""

    def __init__(
        self,
        *,
        platform: ports.Platform,
        believer: Believer,
        clock: clock_module.Clock,
        source: selection_module.Source,
        publish: abc.Callable[[relay.News | None], None],
    ) -> None:
        """``publish`` passes on what was read here."""
        self._platform = platform
        self.state = store_health.StoreState(clock=clock, source=source)
        self.plan = plan_feed.PlanFeed(
            platform=platform,
            adopter=believer,
            clock=clock,
            source=source,
            state=self.state,
            publish=publish,
        )
        self.list = endpoint_feed.ListFeed(
            platform=platform,
            directory=believer.directory,
            clock=clock,
            source=source,
            state=self.state,
            publish=publish,
        )

    def list_age(self) -> datetime.timedelta | None:
        """Return the age of what is known of endpoints, None for none."""
        return self.list.age()

    def snapshot(self) -> list[relay.News]:
        """Return all that is known, for a peer that begins to follow."""
        found = (self.plan.news(), self.list.news())
        return [news for news in found if news is not None]

    def relayed(self, news: relay.News) -> None:
        """Take what a peer has read; older news changes nothing."""
        if news.topic == self._platform.plan_topic:
            self.plan.relayed(news)
        elif news.topic == self._platform.endpoint_topic:
            self.list.relayed(news)
