"""Clocks while the host is suspended."""

import datetime
import time

import pytest

from aspenfold._internal.gateway import endpoint_backoff
from aspenfold._internal.kernel import clock

SECOND = datetime.timedelta(seconds=1)


@pytest.mark.skipif(
    not hasattr(time, 'CLOCK_BOOTTIME'), reason='the system has no such clock'
)
def test_time_passes_while_the_host_is_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What an endpoint asked for ends with its time, not later by that."""
    readings = {time.CLOCK_BOOTTIME: 100.0, time.CLOCK_MONOTONIC: 100.0}
    monkeypatch.setattr(time, 'clock_gettime', readings.__getitem__)
    steady = clock.MonotonicClock()
    backoff = endpoint_backoff.EndpointBackoff()
    backoff.record_refusal(3 * SECOND, steady.now())
    readings[time.CLOCK_MONOTONIC] += 0.5
    readings[time.CLOCK_BOOTTIME] += 2.5
    assert backoff.wait(steady.now()) == 0.5 * SECOND
