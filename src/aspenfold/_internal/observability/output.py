"""Writes log lines to standard output without blocking.

Each type of event has a rate limit, and the output buffer is bounded.
Lines over a limit are dropped; later lines report how many.
"""

import os
import time
import typing

import orjson

MAX_LINES_PER_S = 100.0
"""Limit of the sustained rate of lines of one event type: five lines a
request at 20 requests a second."""

BURST_LINES = 300.0
"""Lines of one event type that can be written at once."""

MAX_PENDING_BYTES = 262_144
"""Size of the output buffer; lines that do not fit are dropped."""

DROP_REPORT_INTERVAL_S = 5.0
"""Minimum time between two reports of dropped lines."""

STDOUT = 1


class _TokenBucket:
    """Rate limit of one event type."""

    __slots__ = ('dropped_lines', 'tokens', 'updated')

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.updated = now
        self.dropped_lines = 0

    def try_take(self, now: float) -> bool:
        refill = (now - self.updated) * MAX_LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.updated = now
        if self.tokens < 1:
            self.dropped_lines += 1
            return False
        self.tokens -= 1
        return True


class LogDestination:
    """An eliot destination that drops lines instead of blocking.

    ``write`` returns how many bytes it wrote, or raises BlockingIOError.
    """

    def __init__(
        self,
        *,
        write: typing.Callable[[bytes], int],
        monotonic: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._monotonic = monotonic
        self._buckets: dict[object, _TokenBucket] = {}
        self._pending = b''
        self._drops_reported_at = monotonic()
        self.dropped_lines = 0

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it as dropped."""
        now = self._monotonic()
        event_type = message.get('message_type')
        bucket = self._buckets.get(event_type)
        if bucket is None:
            bucket = self._buckets[event_type] = _TokenBucket(now)
        if not bucket.try_take(now):
            self.dropped_lines += 1
            return
        if now - self._drops_reported_at >= DROP_REPORT_INTERVAL_S:
            self._drops_reported_at = now
            message = self._add_drop_counts(message)
        self._put(orjson.dumps(message, default=str) + b'\n')

    def _add_drop_counts(
        self, message: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Add the numbers of lines dropped since the last report."""
        drop_counts = {
            str(event_type): bucket.dropped_lines
            for event_type, bucket in self._buckets.items()
            if bucket.dropped_lines
        }
        for bucket in self._buckets.values():
            bucket.dropped_lines = 0
        return {**message, 'left_out': drop_counts} if drop_counts else message

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
            # Standard output is closed.
            self._pending = b''


def stdout_destination() -> LogDestination:
    """Return a destination that writes to standard output."""
    os.set_blocking(STDOUT, False)
    return LogDestination(write=lambda data: os.write(STDOUT, data))
