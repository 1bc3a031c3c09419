"""The gauges of a gateway; see docs/OPERATIONS.md."""

import asyncio
import datetime
import typing

from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import leadership as leadership_module
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_feeds as feeds_module
from aspenfold._internal.observability import metrics as metrics_module

UNKNOWN_AGE = -1.0
"""Exported as the age of data that was never read."""


class MetricsText:
    """The metrics as text, written once in a turn of the loop at most.

    Writing it takes tens of milliseconds, and anybody may ask.
    """

    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._text: bytes | None = None

    def get(self) -> bytes:
        """Return the text as it is in this turn."""
        if self._text is None:
            self._text = self._metrics.text()
            asyncio.get_running_loop().call_soon(self._expire)
        return self._text

    def _expire(self) -> None:
        self._text = None


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
    add_gauge = core.metrics.add_gauge
    add_gauge('in_flight', in_flight)
    add_gauge('body_bytes', lambda: core.body_budget.held)
    add_gauge('input_bytes', lambda: core.input_budget.held)
    add_gauge('response_bytes', lambda: core.response_budget.held)
    add_gauge('plan_version', lambda: core.plan_version)
    add_gauge('plan_age_seconds', lambda: _seconds(core.plan_age()))
    add_gauge('list_age_seconds', lambda: _seconds(feeds.endpoints_age()))
    add_gauge('endpoints', lambda: len(core.directory))
    add_gauge('limited_endpoints', core.rate_limits.count)
    add_gauge(
        'backed_off_endpoints',
        lambda: core.directory.count_backed_off(core.clock.now()),
    )
    add_gauge('leaving_endpoints', core.directory.count_leaving)
    add_gauge('quarantined_fingerprints', core.quarantine.count)
    add_gauge('reads_store', lambda: selection.is_reader(core.clock.now()))
    add_gauge('store_lost', lambda: selection.store_lost)
    add_gauge('followers', lambda: publisher.followers)
    add_gauge('groups_standing', core.outages.count_ongoing)
    add_gauge('leads_groups', lambda: leadership.is_leading)
    add_gauge('map_changes', lambda: leadership.map_changes)
    add_gauge('map_skew', lambda: leadership.skew)
    add_gauge('retry_budget_left', core.min_retry_budget)


def _seconds(age: datetime.timedelta | None) -> float:
    return UNKNOWN_AGE if age is None else age.total_seconds()
