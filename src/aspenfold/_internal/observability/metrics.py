"""Latency histograms and counters of one process."""

import collections
import datetime
import typing

from hdrh import histogram
import prometheus_client
from prometheus_client import core

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
MICROSECOND = datetime.timedelta(microseconds=1)


class Metrics:
    """Records latencies, counters and gauges; exports them to Prometheus."""

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._gauges: dict[str, typing.Callable[[], float]] = {}
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(typing.cast(typing.Any, self))

    def record_latency(
        self, priority: str, organisation: str, duration: datetime.timedelta
    ) -> None:
        """Record the time from a request to the end of its answer."""
        key = (priority, organisation)
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latencies[key] = latencies
        latencies.record_value(max(MIN_LATENCY_US, duration // MICROSECOND))

    def increment(self, name: str, label: str, amount: int = 1) -> None:
        """Increase the counter ``name`` for ``label``."""
        self._counts[name, label] += amount

    def add_gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Export the value of ``read()`` as a gauge."""
        self._gauges[name] = read

    def text(self) -> bytes:
        """Return all metrics in Prometheus's text format."""
        return prometheus_client.generate_latest(self._registry)

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield the metric families; called by the Prometheus client."""
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
        for key, latencies in sorted(self._latencies.items()):
            total = latencies.get_total_count()
            mean = latencies.get_mean_value()
            latency.add_metric(list(key), total, mean * total / 1e6)
            for percentile in PERCENTILES:
                value = latencies.get_value_at_percentile(percentile)
                labels = [*key, str(percentile / 100)]
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
            for (counter, label), value in sorted(self._counts.items()):
                if counter == name:
                    family.add_metric([label], value)
            yield family
