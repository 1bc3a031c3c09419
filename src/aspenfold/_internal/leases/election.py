"""Who leads, by conditional appends to a topic of the store.

A lease only keeps several processes from doing one thing at a time;
what its holder orders is fenced by its token.  Lapses are judged by
each process's own steady clock, from when it saw the last record.  A
holder that cannot reach the store goes on: others cannot take the lease
then, and if they can, their token is higher.

The machine does no I/O: it is told what was read and appended.
"""

import dataclasses
import datetime
import random

RENEW_INTERVAL = datetime.timedelta(seconds=2)
"""A third of the lapse, so that one lost renewal costs nothing."""

LEASE_DURATION = datetime.timedelta(seconds=6)
"""A lease that was not renewed for so long is free.  Maps shift every
few seconds at most; a leader's end is told by a release anyway."""

MAX_ACQUIRE_DELAY = datetime.timedelta(milliseconds=200)
"""Spread of those who ask for a free lease: most see it taken first.
The store's answer takes 4 ms, and few contest."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """The last record: ``holder`` is empty if it was released.

    ``holder`` names a process on ``host``, ``token`` is the offset at
    which its term began.
    """

    holder: str
    host: str
    token: int
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRequest:
    """A record to append where the topic ends at ``end``."""

    holder: str
    host: str
    token: int
    expected_offset: int


class LeaseElection:
    """One process's part in the contest for one lease.

    ``name`` is the process's alone, and another after a restart.
    """

    def __init__(self, *, name: str, host: str, rng: random.Random) -> None:
        self._name = name
        self._host = host
        self._rng = rng
        self._record: LeaseRecord | None = None
        self._record_seen_at: datetime.datetime | None = None
        self._topic_end = 0
        self._acquire_delay = self._random_delay()

    @property
    def token(self) -> int:
        """This process's token, 0 unless it leads."""
        record = self._record
        if record is None or record.holder != self._name:
            return 0
        return record.token

    @property
    def topic_end(self) -> int:
        """Where the topic ends, as far as is known."""
        return self._topic_end

    def on_read(
        self, record: LeaseRecord | None, end: int, now: datetime.datetime
    ) -> None:
        """The topic was read up to ``end``; None: no newer record."""
        self._topic_end = max(self._topic_end, end)
        known = self._record
        if record is not None and (
            known is None or record.offset > known.offset
        ):
            self._record = record
            self._record_seen_at = now
            self._acquire_delay = self._random_delay()
        elif self._record_seen_at is None:
            self._record_seen_at = now

    def on_append_conflict(self, end: int) -> None:
        """An append found the topic longer than was known."""
        self._topic_end = max(self._topic_end, end)

    def step_down(self) -> None:
        """A higher token was met: another process leads."""
        self._record = None

    def next_append(
        self, now: datetime.datetime, *, holder_silent: bool = False
    ) -> AppendRequest | None:
        """Return the record to append now, None if there is none.

        ``holder_silent`` says that the holder used to be heard and is not any
        more.  If it lives, its orders are fenced by the new token.
        """
        if self.next_append_in(
            now, holder_silent=holder_silent
        ) > datetime.timedelta(0):
            return None
        if self.token:
            return self._request(self._name, self.token)
        # The token is the offset that the record will have, from 1.
        return self._request(self._name, self._topic_end + 1)

    def next_append_in(
        self, now: datetime.datetime, *, holder_silent: bool = False
    ) -> datetime.timedelta:
        """Return how long there is nothing to append; see :meth:`wish`."""
        seen = self._record_seen_at
        if seen is None:
            return RENEW_INTERVAL
        wait = (
            RENEW_INTERVAL if self.token else self._free_after(holder_silent)
        )
        return seen + wait - now

    def _free_after(self, holder_silent: bool) -> datetime.timedelta:
        """Return how long after its last record the lease is free."""
        free = holder_silent or self._record is None or not self._record.holder
        if self._record is not None and self._record.host == self._host:
            # Held by the process that ran here before this one.
            free = True
        return (
            self._acquire_delay
            if free
            else LEASE_DURATION + self._acquire_delay
        )

    def release(self) -> AppendRequest | None:
        """Return the record that gives the lease up."""
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
