"""Writes log lines to standard output, bounded, without waiting.

A line for each decision is much under load, and nobody may be reading.
So each event has a rate; what is left out is counted and told later.
"""

import os
import time
import typing

import orjson

RATE_PER_S = 100.0
"""Lines a second of one event: five lines a request at the 20 requests
a second that one gateway gets at its users' peak."""

BURST = 300.0
"""Lines of one event at once: two seconds of an outage's decisions."""

MAX_PENDING_BYTES = 262_144
"""Bytes kept while nobody reads; later lines are left out."""

TELL_INTERVAL_S = 5.0
"""How often the number of lines left out is told."""

STDOUT = 1


class _Bucket:
    """The lines that one event may still write."""

    __slots__ = ('dropped_lines', 'tokens', 'updated')

    def __init__(self, now: float) -> None:
        self.tokens = BURST
        self.updated = now
        self.dropped_lines = 0

    def take(self, now: float) -> bool:
        gained = (now - self.updated) * RATE_PER_S
        self.tokens = min(BURST, self.tokens + gained)
        self.updated = now
        if self.tokens < 1:
            self.dropped_lines += 1
            return False
        self.tokens -= 1
        return True


class LogDestination:
    """An eliot destination that never blocks."""

    def __init__(
        self,
        *,
        write: typing.Callable[[bytes], int],
        monotonic: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._monotonic = monotonic
        self._buckets: dict[object, _Bucket] = {}
        self._pending = b''
        self._told_at = monotonic()
        self.dropped_lines = 0

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it as left out."""
        now = self._monotonic()
        kind = message.get('message_type')
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets[kind] = _Bucket(now)
        if not bucket.take(now):
            self.dropped_lines += 1
            return
        if now - self._told_at >= TELL_INTERVAL_S:
            self._told_at = now
            message = self._tell(message)
        self._put(orjson.dumps(message, default=str) + b'\n')

    def _tell(self, message: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Add the numbers of lines left out since the last telling."""
        missing = {
            str(kind): bucket.dropped_lines
            for kind, bucket in self._buckets.items()
            if bucket.dropped_lines
        }
        for bucket in self._buckets.values():
            bucket.dropped_lines = 0
        return {**message, 'left_out': missing} if missing else message

    def _put(self, line: bytes) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            self._flush()
            return
        self._pending += line
        self._flush()

    def _flush(self) -> None:
        try:
            while self._pending:
                written = self._write(self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody will ever read: standard output is closed.
            self._pending = b''


def stdout_destination() -> LogDestination:
    """Return a destination on this process's standard output."""
    os.set_blocking(STDOUT, False)
    return LogDestination(write=lambda data: os.write(STDOUT, data))
