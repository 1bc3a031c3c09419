"""Clocks while the host is suspended."""

import asyncio
import datetime
import time

import pytest

from aspenfold._internal.gateway import endpoint_backoff
from aspenfold._internal.kernel import clock
from aspenfold._internal.processes import event_loop

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


def test_timers_are_due_once_the_host_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request whose deadline has passed meanwhile is answered at once."""
    suspended_s = 0.0
    read_clock = time.clock_gettime

    def read_with_suspension(clock_id: int) -> float:
        is_boot_clock = clock_id == clock.BOOT_CLOCK
        return read_clock(clock_id) + suspended_s * is_boot_clock

    monkeypatch.setattr(time, 'clock_gettime', read_with_suspension)

    async def wait() -> float:
        nonlocal suspended_s
        begun_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60):
                await asyncio.sleep(0)
                suspended_s = 60.0
                await asyncio.Event().wait()
        return time.monotonic() - begun_at

    assert event_loop.run(wait()) < 60
