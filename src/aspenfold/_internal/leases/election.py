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

RENEW_AFTER = datetime.timedelta(seconds=2)
"""A third of the lapse, so that one lost renewal costs nothing."""

LAPSE = datetime.timedelta(seconds=6)
"""A lease that was not renewed for so long is free.  Maps shift every
few seconds at most; a leader's end is told by a release anyway."""

JITTER = datetime.timedelta(milliseconds=200)
"""Spread of those who ask for a free lease: most see it taken first.
The store's answer takes 4 ms, and few contest."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The last record: ``holder`` is empty if it was released.

    ``holder`` names a process on ``host``, ``token`` is the offset at
    which its term began.
    """

    holder: str
    host: str
    token: int
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wish:
    """A record to append where the topic ends at ``end``."""

    holder: str
    host: str
    token: int
    end: int


class Contest:
    """One process's part in the contest for one lease.

    ``name`` is the process's alone, and another after a restart.
    """

    def __init__(self, *, name: str, host: str, rng: random.Random) -> None:
        self._name = name
        self._host = host
        self._rng = rng
        self._grant: Grant | None = None
        self._seen_at: datetime.datetime | None = None
        self._end = 0
        self._wait = self._new_wait()

    @property
    def token(self) -> int:
        """This process's token, 0 unless it leads."""
        grant = self._grant
        if grant is None or grant.holder != self._name:
            return 0
        return grant.token

    @property
    def end(self) -> int:
        """Where the topic ends, as far as is known."""
        return self._end

    def read(
        self, grant: Grant | None, end: int, now: datetime.datetime
    ) -> None:
        """The topic was read up to ``end``; None: no newer record."""
        self._end = max(self._end, end)
        known = self._grant
        if grant is not None and (
            known is None or grant.offset > known.offset
        ):
            self._grant = grant
            self._seen_at = now
            self._wait = self._new_wait()
        elif self._seen_at is None:
            self._seen_at = now

    def conflicted(self, end: int) -> None:
        """An append found the topic longer than was known."""
        self._end = max(self._end, end)

    def step_down(self) -> None:
        """A higher token was met: another process leads."""
        self._grant = None

    def wish(
        self, now: datetime.datetime, *, silent: bool = False
    ) -> Wish | None:
        """Return the record to append now, None if there is none.

        ``silent`` says that the holder used to be heard and is not any
        more.  If it lives, its orders are fenced by the new token.
        """
        if self.due_in(now, silent=silent) > datetime.timedelta(0):
            return None
        if self.token:
            return self._wish(self._name, self.token)
        # The token is the offset that the record will have, from 1.
        return self._wish(self._name, self._end + 1)

    def due_in(
        self, now: datetime.datetime, *, silent: bool = False
    ) -> datetime.timedelta:
        """Return how long there is nothing to append; see :meth:`wish`."""
        seen = self._seen_at
        if seen is None:
            return RENEW_AFTER
        wait = RENEW_AFTER if self.token else self._free_after(silent)
        return seen + wait - now

    def _free_after(self, silent: bool) -> datetime.timedelta:
        """Return how long after its last record the lease is free."""
        free = silent or self._grant is None or not self._grant.holder
        if self._grant is not None and self._grant.host == self._host:
            # Held by the process that ran here before this one.
            free = True
        return self._wait if free else LAPSE + self._wait

    def release(self) -> Wish | None:
        """Return the record that gives the lease up."""
        if not self.token:
            return None
        return self._wish('', self.token)

    def _wish(self, holder: str, token: int) -> Wish:
        return Wish(holder=holder, host=self._host, token=token, end=self._end)

    def _new_wait(self) -> datetime.timedelta:
        return JITTER * self._rng.random()
