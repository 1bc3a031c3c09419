"""What a gateway believes, as gauges; see docs/OPERATIONS.md."""

import datetime
import typing

from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import leadership as leadership_module
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_feeds as feeds_module

UNKNOWN_AGE = -1.0
"""Age of what was never learnt."""


def register(
    *,
    core: core_module.Core,
    feeds: feeds_module.StoreFeeds,
    selection: selection_module.ReaderSelection,
    publisher: relay.Publisher,
    leadership: leadership_module.GroupLeadership,
    in_flight: typing.Callable[[], int],
) -> None:
    """Add the gauges to the core's metrics; ages are in seconds."""
    gauge = core.metrics.gauge
    gauge('in_flight', in_flight)
    gauge('plan_version', lambda: core.plan_version)
    gauge('plan_age_seconds', lambda: _seconds(core.plan_age()))
    gauge('list_age_seconds', lambda: _seconds(feeds.endpoints_age()))
    gauge('endpoints', lambda: len(core.directory))
    gauge('reads_store', lambda: selection.is_reader(core.clock.now()))
    gauge('store_lost', lambda: selection.store_lost)
    gauge('followers', lambda: publisher.followers)
    gauge('groups_standing', core.outages.count_ongoing)
    gauge('leads_groups', lambda: leadership.is_leading)
    gauge('map_changes', lambda: leadership.map_changes)
    gauge('map_skew', lambda: leadership.skew)
    gauge('retry_budget_left', core.min_retry_budget)


def _seconds(age: datetime.timedelta | None) -> float:
    return UNKNOWN_AGE if age is None else age.total_seconds()
