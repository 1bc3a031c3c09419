"""Infers which requests crash endpoints from the crashes of all gateways.

A crash has as suspects the fingerprints of the requests that an endpoint may
have begun to answer when it ended.  One crash shows nothing: an endpoint may
end for any reason, and beside the request that ended it were others.  Over
several crashes the cause is what they have in common and what no endpoint
answered since:

* An answer clears its fingerprints of all crashes before it.
* Crashes close to each other count once, as one failure of a host, a rack or a
  link may cause them all.  Of a whole request that was never answered and ends
  most endpoints that it meets each counts: to hold it wrongly costs its caller
  only, until a trial.
* An endpoint that outlives an answer which it has begun, but which broke off,
  speaks against the suspects of that request.
* What endpoints answered shortly before the crashes is more likely beside the
  cause than the cause itself, and needs more crashes.  So does what was in
  less than half of the crashes of its time: many endpoints end for other
  reasons then.
* Of the fingerprints that could explain the crashes the fewest are chosen.
  One that is chosen explains its crashes for all others.

This module only makes decisions: it does no I/O and reads no clock.
"""

import collections
from collections import abc
import dataclasses
import datetime

from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock
from aspenfold._internal.routing import subset

Fingerprint = fingerprints.Fingerprint

Counter = abc.Callable[[Fingerprint], int]

MIN_CRASHES_CERTAIN = 2
"""Crashes, apart in time, after which a part is a cause if it is in all
crashes since its first one, and no endpoint outlived it."""

MIN_CRASHES = 3
"""The same if it is in MIN_SHARE of them, and where it is not told from
another one.  Also crashes, of whatever share and also at once, of a whole
request that met no more endpoints that outlived it."""

MIN_CRASHES_UNLIKELY = 5
"""The same if it is in fewer, or was answered shortly before the first."""

MIN_SHARE = 0.5

ANSWER_MEMORY = datetime.timedelta(minutes=1)
"""How long before a crash an answer makes a fingerprint unlikely."""

EPISODE = datetime.timedelta(milliseconds=500)
"""Crashes within this time count once."""

MIN_RESTART = datetime.timedelta(milliseconds=500)
"""Ends of one endpoint within this time are one: it takes longer to start
anew, and what accepts connections meanwhile is not it."""

CRASH_MEMORY = datetime.timedelta(minutes=10)

MAX_CRASHES = 64
"""Crashes that are remembered, the latest ones."""

MAX_SUSPECTS = 32
"""Suspects of one crash, those that were never answered first."""

MAX_ANSWERED_PARTS = 4_096
"""Parts of which answers are remembered, the latest ones."""

MAX_ANSWERED_REQUESTS = 1_024
"""The same of whole requests, most of which never come again."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Crash:
    """The end of one start of an endpoint at ``at``, and its suspects."""

    incarnation: str
    at: datetime.datetime
    suspects: set[Fingerprint]


class _AnswerTimes:
    """When fingerprints were last answered; ``limit`` are remembered."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._times: collections.OrderedDict[
            Fingerprint, datetime.datetime
        ] = collections.OrderedDict()

    def get(self, fingerprint: Fingerprint) -> datetime.datetime | None:
        """Return the time, None if it is not known."""
        return self._times.get(fingerprint)

    def record(self, fingerprint: Fingerprint, at: datetime.datetime) -> None:
        """Note an answer; times told by others may come out of order."""
        self._times[fingerprint] = max(at, self._times.get(fingerprint, at))
        self._times.move_to_end(fingerprint)
        if len(self._times) > self._limit:
            self._times.popitem(last=False)


def _count_none(fingerprint: Fingerprint) -> int:
    return 0


class CrashEvidence:
    """Crashes and answers that this and other gateways saw.

    ``version`` changes with each new crash or suspect.
    """

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        self._answered_parts = _AnswerTimes(limit=MAX_ANSWERED_PARTS)
        self._answered_requests = _AnswerTimes(limit=MAX_ANSWERED_REQUESTS)
        self._survivals: collections.Counter[Fingerprint] = (
            collections.Counter()
        )
        self._exposures: collections.Counter[Fingerprint] = (
            collections.Counter()
        )
        self._suspects: set[Fingerprint] = set()
        self._count_others: Counter = _count_none
        self.version = 0

    @property
    def crashes(self) -> abc.Sequence[Crash]:
        """The crashes that are remembered, in order of their times."""
        return self._crashes

    def most_telling(self, limit: int) -> list[Crash]:
        """Return the crashes that have the most in common with others."""
        counts = collections.Counter(
            suspect
            for crash in self._crashes
            for suspect in crash.suspects
            if self._is_open(suspect, crash)
        )

        def rank(crash: Crash) -> tuple[int, datetime.datetime]:
            return max(
                (counts[s] for s in crash.suspects), default=0
            ), crash.at

        return sorted(self._crashes, key=rank, reverse=True)[:limit]

    def unlikely_last(
        self, suspects: abc.Iterable[Fingerprint]
    ) -> list[Fingerprint]:
        """Return suspects in order of their last answers, if any."""
        return sorted(
            suspects, key=lambda s: (self.answered_at(s) or clock.EPOCH, s)
        )

    def most_suspect(self, crash: Crash, limit: int) -> list[Fingerprint]:
        """Return suspects of a crash, those of several crashes first.

        The others are in an order of the crash's own, so that a cause is not
        left out of each one.
        """

        def rank(suspect: Fingerprint) -> tuple[int, datetime.datetime, int]:
            return (
                -self.count_crashes(suspect),
                self.answered_at(suspect) or clock.EPOCH,
                subset.score(crash.incarnation, suspect),
            )

        return sorted(crash.suspects, key=rank)[:limit]

    def answered_at(
        self, fingerprint: Fingerprint
    ) -> datetime.datetime | None:
        """Return when it was last answered, None if that is not known."""
        return self._answers(fingerprint).get(fingerprint)

    def _answers(self, fingerprint: Fingerprint) -> '_AnswerTimes':
        if fingerprints.is_request(fingerprint):
            return self._answered_requests
        return self._answered_parts

    def was_answered(
        self, fingerprint: Fingerprint, at: datetime.datetime
    ) -> bool:
        """Return whether it was answered shortly before ``at`` or since."""
        answered_at = self.answered_at(fingerprint)
        return answered_at is not None and answered_at > at - ANSWER_MEMORY

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return of how many crashes it may be the cause."""
        return sum(self._is_open(fingerprint, c) for c in self._crashes)

    def record_crash(
        self,
        incarnation: str,
        suspects: abc.Iterable[Fingerprint],
        at: datetime.datetime,
    ) -> None:
        """Add the crash of an endpoint, or suspects of a known one."""
        crash = self._find(incarnation, at)
        if crash is None:
            crash = Crash(incarnation=incarnation, at=at, suspects=set())
            self._crashes.append(crash)
            self._sort()
            self.version += 1
        elif at < crash.at:
            # What is told late, by a suspended gateway, seems to be later.
            crash.at = at
            self._sort()
        for suspect in self.unlikely_last(set(suspects) - crash.suspects):
            if len(crash.suspects) < MAX_SUSPECTS:
                crash.suspects.add(suspect)
                self._suspects.add(suspect)
                self.version += 1

    def _sort(self) -> None:
        self._crashes.sort(key=lambda one: one.at)
        del self._crashes[:-MAX_CRASHES]

    def _find(self, incarnation: str, at: datetime.datetime) -> Crash | None:
        """Return the crash of a start, or of one too shortly before or after.

        The latter are of the same listed start.
        """
        near = None
        for crash in self._crashes:
            if crash.incarnation == incarnation:
                return crash
            if abs(crash.at - at) < MIN_RESTART and start_ledger.listed_start(
                crash.incarnation
            ) == start_ledger.listed_start(incarnation):
                near = crash
        return near

    def record_answer(
        self, fingerprint: Fingerprint, at: datetime.datetime
    ) -> None:
        """Note that an endpoint answered a request at ``at``."""
        self._answers(fingerprint).record(fingerprint, at)

    def record_survival(self, fingerprint: Fingerprint) -> None:
        """Note that an endpoint outlived an answer that it had begun."""
        is_known = fingerprint in self._survivals
        if self._crashes and (
            is_known or len(self._survivals) < MAX_ANSWERED_PARTS
        ):
            self._survivals[fingerprint] += 1

    def exposures(self, fingerprint: Fingerprint) -> int:
        """Return how often an endpoint outlived a suspect here."""
        return self._exposures[fingerprint]

    def record_exposure(self, fingerprint: Fingerprint) -> None:
        """Note that an endpoint outlived a request of this gateway."""
        if fingerprint in self._suspects:
            self._exposures[fingerprint] += 1

    def forget_old(self, now: datetime.datetime) -> None:
        """Forget crashes that are too old to matter."""
        begin = now - CRASH_MEMORY
        if self._crashes and self._crashes[0].at < begin:
            self._crashes = [c for c in self._crashes if c.at >= begin]
            self._forget_suspects()

    def _forget_suspects(self) -> None:
        """Forget what is a suspect of no crash any more."""
        self._suspects = {s for crash in self._crashes for s in crash.suspects}
        for fingerprint in self._exposures.keys() - self._suspects:
            del self._exposures[fingerprint]
        if not self._crashes:
            self._survivals.clear()

    def causes(
        self,
        known: abc.Collection[Fingerprint],
        now: datetime.datetime,
        *,
        count_others: Counter = _count_none,
    ) -> list[Fingerprint]:
        """Return the new causes, beside those that are ``known``.

        ``count_others`` returns how many requests with a fingerprint are at
        endpoints now, or met others that outlived them by other gateways.
        """
        self.forget_old(now)
        self._count_others = count_others
        unexplained = [
            crash
            for crash in self._crashes
            if not any(k in crash.suspects for k in known)
        ]
        found: list[Fingerprint] = []
        while len(unexplained) >= MIN_CRASHES_CERTAIN:
            chosen = self._best_causes(unexplained)
            if not chosen:
                break
            found += chosen
            unexplained = [
                crash
                for crash in unexplained
                if not crash.suspects.intersection(chosen)
            ]
        return found

    def _best_causes(self, crashes: abc.Sequence[Crash]) -> list[Fingerprint]:
        """Return the best cause, several if nothing tells them apart."""
        times = collections.defaultdict(list)
        for crash in crashes:
            for suspect in crash.suspects:
                if self._is_open(suspect, crash):
                    times[suspect].append(crash.at)
        ranks = {
            suspect: self._rank(suspect, ats)
            for suspect, ats in times.items()
            if self._is_cause(suspect, ats, crashes)
        }
        if not ranks:
            return []
        best = min(ranks.values())
        chosen = sorted(s for s, rank in ranks.items() if rank == best)
        if len(chosen) > 1:
            # One more crash may tell them apart.
            chosen = [
                s for s in chosen if count_episodes(times[s]) >= MIN_CRASHES
            ]
        return chosen

    def _is_open(self, suspect: Fingerprint, crash: Crash) -> bool:
        """Return whether no answer clears a suspect of a crash."""
        if suspect not in crash.suspects:
            return False
        answered_at = self.answered_at(suspect)
        return answered_at is None or answered_at <= crash.at

    def _is_cause(
        self,
        suspect: Fingerprint,
        times: abc.Sequence[datetime.datetime],
        crashes: abc.Sequence[Crash],
    ) -> bool:
        if fingerprints.is_request(suspect):
            return self._is_request_cause(suspect, times)
        survivals = self._survivals[suspect]
        if len(times) <= survivals:
            return False
        since = sum(crash.at >= times[0] for crash in crashes)
        needed = MIN_CRASHES
        if len(times) == since and not survivals:
            needed = MIN_CRASHES_CERTAIN
        is_likely = len(times) >= MIN_SHARE * since
        if not is_likely or self.was_answered(suspect, times[0]):
            needed = MIN_CRASHES_UNLIKELY
        return count_episodes(times) >= needed

    def _is_request_cause(
        self, request: Fingerprint, times: abc.Sequence[datetime.datetime]
    ) -> bool:
        """Return whether a whole request is a cause.

        What else crashes meanwhile says nothing of it.
        """
        outlived = self._exposures[request] + self._count_others(request)
        if len(times) < outlived or self.was_answered(request, times[0]):
            return count_episodes(times) >= MIN_CRASHES_UNLIKELY
        return len(times) >= MIN_CRASHES

    def _rank(
        self, suspect: Fingerprint, times: abc.Sequence[datetime.datetime]
    ) -> tuple[bool, int, float, int, bool]:
        """Return the order of causes; the least one is the best.

        It was not answered, met no endpoint that outlived it, was sent seldom
        for each crash, and explains the most crashes.  What is asked for often
        is beside many causes.
        """
        return (
            self.was_answered(suspect, times[0]),
            self._survivals[suspect],
            self._exposures[suspect] / len(times),
            -len(times),
            fingerprints.is_request(suspect),
        )


def count_episodes(times: abc.Iterable[datetime.datetime]) -> int:
    """Return how many of the times, in order, are EPISODE or more apart."""
    count = 0
    begun_at: datetime.datetime | None = None
    for at in times:
        if begun_at is None or at - begun_at >= EPISODE:
            begun_at = at
            count += 1
    return count
