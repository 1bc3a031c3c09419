"""The text of the metrics, for any number of requests."""

import datetime

from aspenfold._internal.observability import metrics
from aspenfold._internal.processes import gateway_metrics

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.time = START

    def now(self) -> datetime.datetime:
        """Return the time."""
        return self.time


class CountedMetrics(metrics.Metrics):
    """Counts how often their text is written."""

    written = 0

    def text(self) -> bytes:
        """Return the number of this text."""
        self.written += 1
        return b'%d' % self.written


def test_requests_in_quick_succession_get_the_same_text() -> None:
    """Issue 48: a crowd at the metrics held the loop of the gateway."""
    clock, counted = FakeClock(), CountedMetrics()
    text = gateway_metrics.MetricsText(metrics=counted, clock=clock)
    assert {text.get() for _ in range(100)} == {b'1'}
    clock.time += gateway_metrics.MAX_TEXT_AGE
    assert {text.get() for _ in range(100)} == {b'2'}
