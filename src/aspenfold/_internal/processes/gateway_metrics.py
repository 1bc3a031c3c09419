"""What a gateway believes, as gauges; see docs/OPERATIONS.md."""

import datetime
import typing

from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import leadership
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_feeds as feeds_module

UNKNOWN_AGE = -1.0
"""Age of what was never learnt."""


def register(
    *,
    core: core_module.Core,
    feeds: feeds_module.Feeds,
    source: selection_module.Source,
    publisher: relay.Publisher,
    duty: leadership.MapsDuty,
    in_flight: typing.Callable[[], int],
) -> None:
    """Add the gauges to the core's metrics; ages are in seconds."""
    gauge = core.metrics.gauge
    gauge('in_flight', in_flight)
    gauge('plan_version', lambda: core.plan_version)
    gauge('plan_age_seconds', lambda: _seconds(core.plan_age()))
    gauge('list_age_seconds', lambda: _seconds(feeds.list_age()))
    gauge('endpoints', lambda: len(core.directory))
    gauge('reads_store', lambda: source.reads(core.clock.now()))
    gauge('store_lost', lambda: source.lost)
    gauge('followers', lambda: publisher.followers)
    gauge('groups_standing', core.outages.standing)
    gauge('leads_groups', lambda: duty.leading)
    gauge('map_changes', lambda: duty.changes)
    gauge('map_skew', lambda: duty.skew)
    gauge('retry_budget_left', core.least_budget)


def _seconds(age: datetime.timedelta | None) -> float:
    return UNKNOWN_AGE if age is None else age.total_seconds()
