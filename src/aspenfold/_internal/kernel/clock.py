"""Clocks that tests can replace, and conversions of time."""

import datetime
import time
import typing

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
MILLISECOND = datetime.timedelta(milliseconds=1)


class Clock(typing.Protocol):
    """A source of the current time."""

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""


class SystemClock:
    """The system clock, which may jump when it is set."""

    def now(self) -> datetime.datetime:
        """Return the system time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)


# Counts the time in which the host is suspended; only Linux has it.
BOOT_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class MonotonicClock:
    """A clock that is not affected when the system time is set.

    Its times are only comparable within the process.  The time in which the
    host is suspended counts, since it passes for callers and endpoints.
    """

    def __init__(self) -> None:
        self._start = time.clock_gettime(BOOT_CLOCK)

    def now(self) -> datetime.datetime:
        """Return the Unix epoch plus the age of this clock, in UTC."""
        elapsed = time.clock_gettime(BOOT_CLOCK) - self._start
        return EPOCH + datetime.timedelta(seconds=elapsed)


class ManualClock:
    """A clock that is set by the caller, for tests and benchmarks."""

    def __init__(self, *, start: datetime.datetime) -> None:
        self._now = start

    def now(self) -> datetime.datetime:
        """Return the time that was last set."""
        return self._now

    def advance_to(self, when: datetime.datetime) -> None:
        """Set the time to ``when`` unless that is in the past."""
        self._now = max(self._now, when)


def to_unix_ms(when: datetime.datetime) -> int:
    """Return ``when`` as whole Unix milliseconds."""
    return (when - EPOCH) // MILLISECOND


def from_unix_ms(value: int) -> datetime.datetime:
    """Return the UTC time at ``value`` Unix milliseconds."""
    return EPOCH + value * MILLISECOND


def to_ms(duration: datetime.timedelta) -> int:
    """Return ``duration`` as whole milliseconds, rounded up."""
    return -(-duration // MILLISECOND)
