"""Latency histograms and counters of one process."""

import collections
import datetime
import typing

from hdrh import histogram
import prometheus_client
from prometheus_client import core

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MICROSECOND = datetime.timedelta(microseconds=1)


class Metrics:
    """Records latencies by label and counts; exports them as text.

    Histograms are kept by hdrhistogram, the text format is written by
    the monitoring system's own client library.
    """

    def __init__(self) -> None:
        self._latency: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(typing.cast(typing.Any, self))

    def record_latency(
        self, priority: str, organisation: str, taken: datetime.timedelta
    ) -> None:
        """Record how long a call took to its final answer."""
        key = (priority, organisation)
        known = self._latency.get(key)
        if known is None:
            known = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._latency[key] = known
        known.record_value(max(LOWEST_US, taken // MICROSECOND))

    def increment(self, name: str, label: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counts[name, label] += by

    def add_gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Export ``read()`` as a gauge."""
        self._gauges[name] = read

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return prometheus_client.generate_latest(self._registry)

    def collect(self) -> typing.Iterator[core.Metric]:
        """Give the metric families; called by the client library."""
        latency = core.SummaryMetricFamily(
            'aspenfold_call_seconds',
            'Time to the final answer',
            labels=['priority', 'organisation'],
        )
        quantiles = core.GaugeMetricFamily(
            'aspenfold_call_quantile_seconds',
            'Quantiles of the time to the final answer',
            labels=['priority', 'organisation', 'quantile'],
        )
        for key, known in sorted(self._latency.items()):
            total = known.get_total_count()
            mean = known.get_mean_value()
            latency.add_metric(list(key), total, mean * total / 1e6)
            for quantile in QUANTILES:
                value = known.get_value_at_percentile(quantile)
                labels = [*key, str(quantile / 100)]
                quantiles.add_metric(labels, value / 1e6)
        yield latency
        yield quantiles
        yield from self._collect_counts()
        for name, read in sorted(self._gauges.items()):
            family = core.GaugeMetricFamily(f'aspenfold_{name}', name)
            family.add_metric([], read())
            yield family

    def _collect_counts(self) -> typing.Iterator[core.Metric]:
        names = sorted({name for name, _ in self._counts})
        for name in names:
            family = core.CounterMetricFamily(
                f'aspenfold_{name}', name, labels=['label']
            )
            for (other, label), value in sorted(self._counts.items()):
                if other == name:
                    family.add_metric([label], value)
            yield family
