"""The clock as an interface, so that tests can drive it."""

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
    """The host's clock."""

    def now(self) -> datetime.datetime:
        """Return the host's time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)


class MonotonicClock:
    """A clock that goes on evenly when the host's time of day jumps.

    Its readings agree with those of no other process.
    """

    def __init__(self) -> None:
        self._start = time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the time since this clock was made, after the epoch."""
        elapsed = time.monotonic() - self._start
        return EPOCH + datetime.timedelta(seconds=elapsed)


class ManualClock:
    """A clock that moves only when told to, for tests and benchmarks."""

    def __init__(self, *, start: datetime.datetime) -> None:
        self._now = start

    def now(self) -> datetime.datetime:
        """Return the time that was last set."""
        return self._now

    def advance_to(self, when: datetime.datetime) -> None:
        """Move to ``when``; a clock never goes back."""
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
