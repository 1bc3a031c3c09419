"""Leader election by conditional appends to the lease topic.

The lease only avoids duplicate work; orders of its holder carry a
fencing token, so that a stale holder does no harm.  Each process measures
expiry with its own monotonic clock, from when it saw the last record.  A
holder that cannot reach the store keeps leading: either nobody else can
acquire the lease, or whoever does gets a higher token.

This module does no I/O; the caller reports what it read and appended.
"""

import dataclasses
import datetime
import random

RENEW_INTERVAL = datetime.timedelta(seconds=2)
"""A third of ``LEASE_DURATION``, so that one renewal may be lost."""

LEASE_DURATION = datetime.timedelta(seconds=6)
"""A lease that is not renewed for this long has expired."""

MAX_ACQUIRE_DELAY = datetime.timedelta(milliseconds=200)
"""Bound of the random delay before a free lease is acquired, which avoids
append conflicts.  The store answers in 4 ms, and few contend."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """A record of the lease topic, found at ``offset``.

    ``holder`` names a process on ``host``; it is empty if the lease was
    released.  ``token`` is the fencing token of its term.
    """

    holder: str
    host: str
    token: int
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRequest:
    """A record to append, only if the topic ends at ``expected_offset``."""

    holder: str
    host: str
    token: int
    expected_offset: int


class LeaseElection:
    """Takes part in the election for one lease on behalf of one process."""

    def __init__(self, *, name: str, host: str, rng: random.Random) -> None:
        """``name`` must be unique to the process; a restart needs another."""
        self._name = name
        self._host = host
        self._rng = rng
        self._record: LeaseRecord | None = None
        self._record_seen_at: datetime.datetime | None = None
        self._topic_end = 0
        self._acquire_delay = self._random_delay()

    @property
    def token(self) -> int:
        """This process's fencing token, 0 unless it holds the lease."""
        record = self._record
        if record is None or record.holder != self._name:
            return 0
        return record.token

    @property
    def topic_end(self) -> int:
        """The highest known end offset of the topic."""
        return self._topic_end

    def on_read(
        self, record: LeaseRecord | None, end: int, now: datetime.datetime
    ) -> None:
        """Take in a read of the topic up to ``end``.

        ``record`` is the newest record found, None if there was none.
        """
        self._topic_end = max(self._topic_end, end)
        last = self._record
        if record is not None and (
            last is None or record.offset > last.offset
        ):
            self._record = record
            self._record_seen_at = now
            self._acquire_delay = self._random_delay()
        elif self._record_seen_at is None:
            self._record_seen_at = now

    def on_append_conflict(self, end: int) -> None:
        """Handle an append that failed since the topic ends at ``end``."""
        self._topic_end = max(self._topic_end, end)

    def step_down(self) -> None:
        """Stop leading, after a rank reported a higher token."""
        self._record = None

    def next_append(
        self, now: datetime.datetime, *, holder_lost: bool = False
    ) -> AppendRequest | None:
        """Return the record to append now, None if there is none.

        With ``holder_lost``, the holder is taken to be gone before its
        lease expires.  If it is alive, the new token fences its orders.
        """
        if self.next_append_in(
            now, holder_lost=holder_lost
        ) > datetime.timedelta(0):
            return None
        if self.token:
            return self._request(self._name, self.token)
        # One more than the record's offset: 0 means "no token".
        return self._request(self._name, self._topic_end + 1)

    def next_append_in(
        self, now: datetime.datetime, *, holder_lost: bool = False
    ) -> datetime.timedelta:
        """Return the time until :meth:`next_append` has a record.

        Zero or less means that it has one now.
        """
        seen = self._record_seen_at
        if seen is None:
            return RENEW_INTERVAL
        wait = RENEW_INTERVAL if self.token else self._free_after(holder_lost)
        return seen + wait - now

    def _free_after(self, holder_lost: bool) -> datetime.timedelta:
        """Return how long after its last record to acquire the lease."""
        free = holder_lost or self._record is None or not self._record.holder
        if self._record is not None and self._record.host == self._host:
            # Held by this host's previous process, which has ended.
            free = True
        return (
            self._acquire_delay
            if free
            else LEASE_DURATION + self._acquire_delay
        )

    def release(self) -> AppendRequest | None:
        """Return the record that releases the lease, None if not held."""
        if not self.token:
            return None
        return self._request('', self.token)

    def _request(self, holder: str, token: int) -> AppendRequest:
        return AppendRequest(
            holder=holder,
            host=self._host,
            token=token,
            expected_offset=self._topic_end,
        )

    def _random_delay(self) -> datetime.timedelta:
        return MAX_ACQUIRE_DELAY * self._rng.random()
