"""The text of the metrics, for any number of requests."""

import asyncio

from aspenfold._internal.observability import metrics
from aspenfold._internal.processes import gateway_metrics


class CountedMetrics(metrics.Metrics):
    """Counts how often their text is written."""

    written = 0

    def text(self) -> bytes:
        """Return the number of this text."""
        self.written += 1
        return b'%d' % self.written


def test_requests_in_one_turn_of_the_loop_get_the_same_text() -> None:
    """Issue 48: a crowd at the metrics held the loop of the gateway."""

    async def run() -> None:
        text = gateway_metrics.MetricsText(metrics=CountedMetrics())
        assert {text.get() for _ in range(100)} == {b'1'}
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert {text.get() for _ in range(100)} == {b'2'}

    asyncio.run(run())
