"""Which requests each start of an endpoint has begun and not answered.

An attempt can't tell by itself whether its endpoint ended under it: it may
stop before that shows, or after the endpoint is back.  So a request is kept
here for a while after its attempt, and whoever learns of the end, by whatever
sign, finds who was there.

A start that ended is followed by another one, which the list shows later.
What is sent meanwhile belongs to that one, so that it gets a name of its own.

This module only makes decisions: it does no I/O and reads no clock.
"""

import collections
from collections import abc
import dataclasses
import datetime

from aspenfold._internal.gateway import fingerprints

Fingerprint = fingerprints.Fingerprint

CRASH_DELAY = datetime.timedelta(seconds=1)
"""Time after its first output in which a request may crash an endpoint by its
parts, or early in its answer; one that is answered for longer is cleared of
that."""

MIN_SILENCE = datetime.timedelta(milliseconds=500)
"""Time without a sign of life after which an endpoint may have ended."""

MAX_SILENCE = datetime.timedelta(seconds=1)
"""The same while an attempt waits, which many do for as long."""

RETENTION = datetime.timedelta(seconds=6)
"""How long a request without an answer is kept after its attempt: until an
endpoint that was silent and away for some seconds is listed anew."""

MAX_STOPPED_PER_START = 32
"""Requests of one start that are kept after their attempts, the last ones."""

MAX_STOPPED = 2_048
"""The same of all starts."""

MAX_ENDED = 1_024
"""Starts that are remembered as ended, the latest ones."""

UNLISTED_MARK = '+'
"""Ends the name of a start that follows one that ended, and isn't listed."""


def listed_start(incarnation: str) -> str:
    """Return the start in the list that an unlisted one followed."""
    return incarnation.rstrip(UNLISTED_MARK)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class BegunRequest:
    """A request that was sent to a start of an endpoint.

    ``withdraw`` closes its connection.  ``first_output_at`` and
    ``last_output_at`` are when the response had an event, or a part of another
    body.  ``suspects`` are kept of the request once its attempt has stopped.
    ``has_ended`` is whether the start is known to have ended.
    """

    call_id: str
    incarnation: str
    sent_at: datetime.datetime
    withdraw: abc.Callable[[], None]
    request: fingerprints.RequestFingerprints | None
    first_output_at: datetime.datetime | None = None
    last_output_at: datetime.datetime | None = None
    stopped_at: datetime.datetime | None = None
    has_ended: bool = False
    suspects: tuple[Fingerprint, ...] = ()

    @property
    def alive_at(self) -> datetime.datetime:
        """When the request last showed its endpoint alive."""
        return self.last_output_at or self.sent_at

    def was_heard(self, since: datetime.datetime) -> bool:
        """Return whether the response had a part later than ``since``."""
        return self.last_output_at is not None and self.last_output_at > since

    @property
    def output_duration(self) -> datetime.timedelta | None:
        """The time from the first output to the last, None without any."""
        if self.first_output_at is None or self.last_output_at is None:
            return None
        return self.last_output_at - self.first_output_at

    @property
    def has_outlived(self) -> bool:
        """Whether the endpoint wrote the answer for long enough."""
        duration = self.output_duration
        return duration is not None and duration >= CRASH_DELAY

    def find_suspects(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints that may have crashed the start.

        A request that is the same each time may end each endpoint as late.
        """
        if self.request is None:
            return self.suspects
        if self.has_outlived:
            return (self.request.late,)
        return self.request.early()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartEnd:
    """The end of a start.

    ``begun`` are the requests that it had not answered.
    """

    begun: tuple[BegunRequest, ...] = ()

    def alive_at(self) -> datetime.datetime | None:
        """Return when one of the requests last showed it alive, if any."""
        return max((one.alive_at for one in self.begun), default=None)

    def suspects(self) -> set[Fingerprint]:
        """Return the fingerprints that may have crashed the start."""
        return {s for one in self.begun for s in one.find_suspects()}


@dataclasses.dataclass(kw_only=True, slots=True)
class _Start:
    """``heard_at`` is when it, or a later start in its place, gave a sign."""

    heard_at: datetime.datetime
    begun: list[BegunRequest] = dataclasses.field(default_factory=list)


class StartLedger:
    """The requests that starts of endpoints have begun and not answered."""

    def __init__(self) -> None:
        self._starts: dict[str, _Start] = {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._stopped: collections.deque[BegunRequest] = collections.deque()

    def begin(
        self,
        *,
        call_id: str,
        incarnation: str,
        request: fingerprints.RequestFingerprints,
        withdraw: abc.Callable[[], None],
        now: datetime.datetime,
    ) -> BegunRequest:
        """Record that a start accepted a connection, for a request.

        ``incarnation`` is the start in the list.
        """
        incarnation = self.current(incarnation)
        begun = BegunRequest(
            call_id=call_id,
            incarnation=incarnation,
            sent_at=now,
            withdraw=withdraw,
            request=request,
        )
        start = self._starts.setdefault(incarnation, _Start(heard_at=now))
        start.heard_at = now
        start.begun.append(begun)
        return begun

    def current(self, incarnation: str) -> str:
        """Return the name of a listed start, or of the one after its end."""
        while incarnation in self._ended:
            incarnation += UNLISTED_MARK
        return incarnation

    def record_output(
        self, begun: BegunRequest, now: datetime.datetime
    ) -> None:
        """Record that the start wrote a part of the answer."""
        begun.last_output_at = now
        if begun.first_output_at is None:
            begun.first_output_at = now
        self.record_sign(begun.incarnation, now)

    def record_sign(self, incarnation: str, now: datetime.datetime) -> None:
        """Record a sign of life of a start, or of a later one in its place."""
        start = self._starts.get(incarnation)
        if start is not None:
            start.heard_at = now

    def finish(self, begun: BegunRequest) -> None:
        """Forget a request that was answered, or not run."""
        self._remove(begun)

    def stop(self, begun: BegunRequest, now: datetime.datetime) -> None:
        """Keep a request whose attempt stopped without an answer."""
        if begun.has_ended or begun.request is None:
            return
        begun.suspects = begun.find_suspects()
        # The request itself may be large.
        begun.request = None
        begun.stopped_at = now
        self._stopped.append(begun)
        self._limit(begun.incarnation)

    def _limit(self, incarnation: str) -> None:
        """Forget what is too much, the oldest first."""
        stopped = self._stopped_at_start(incarnation)
        for begun in stopped[:-MAX_STOPPED_PER_START]:
            self._remove(begun)
        while len(self._stopped) > MAX_STOPPED:
            self._remove(self._stopped.popleft())

    def _stopped_at_start(self, incarnation: str) -> list[BegunRequest]:
        start = self._starts.get(incarnation)
        if start is None:
            return []
        return [one for one in start.begun if one.stopped_at is not None]

    def _remove(self, begun: BegunRequest) -> None:
        start = self._starts.get(begun.incarnation)
        if start is None or begun not in start.begun:
            return
        start.begun.remove(begun)
        if not start.begun:
            del self._starts[begun.incarnation]

    def forget_old(
        self, now: datetime.datetime
    ) -> list[tuple[Fingerprint, ...]]:
        """Forget requests whose attempts stopped long ago.

        Return the suspects of each whose start has outlived it.
        """
        found = []
        while self._stopped:
            oldest = self._stopped[0]
            assert oldest.stopped_at is not None
            if now - oldest.stopped_at < RETENTION:
                break
            self._stopped.popleft()
            if not oldest.has_ended:
                found.append(oldest.suspects)
            self._remove(oldest)
        return found

    def count_begun(self, incarnation: str) -> int:
        """Return how many requests are kept of a start in the list.

        Those of the unlisted one that followed it count, too.
        """
        names = {incarnation, self.current(incarnation)}
        return sum(
            len(self._starts[name].begun)
            for name in names
            if name in self._starts
        )

    def count_running(
        self, fingerprint: Fingerprint, now: datetime.datetime
    ) -> int:
        """Return how many requests with it are at starts that are alive.

        One that is silent may have ended under it.
        """
        return sum(
            one.stopped_at is None and fingerprint in one.find_suspects()
            for start in self._starts.values()
            if now - start.heard_at < MIN_SILENCE
            for one in start.begun
        )

    def time_to_check(
        self, incarnation: str, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return when to look whether a start has ended, from ``now``.

        It is None if nothing is to be found out: no attempt waits, and the
        start was alive for long enough since any stopped without an answer.
        """
        start = self._starts.get(incarnation)
        if start is None:
            return None
        last_sign = start.heard_at - MIN_SILENCE
        if any(
            one.stopped_at is not None and one.stopped_at > last_sign
            for one in start.begun
        ):
            silence = MIN_SILENCE
        elif any(one.stopped_at is None for one in start.begun):
            silence = MAX_SILENCE
        else:
            return None
        return max(datetime.timedelta(0), start.heard_at + silence - now)

    def end(self, incarnation: str) -> StartEnd:
        """Return who was at a start that has ended, and forget them."""
        start = self._starts.pop(incarnation, None)
        if start is None:
            return StartEnd()
        self._mark_ended(incarnation)
        for one in start.begun:
            one.has_ended = True
        return StartEnd(begun=tuple(start.begun))

    def end_as_told(
        self, incarnation: str, told_at: datetime.datetime
    ) -> StartEnd:
        """Return who was at a start that a peer told ``told_at`` has ended.

        What was sent later was accepted by the next start.
        """
        if incarnation in self._ended:
            return StartEnd()
        later = self._take(incarnation, lambda one: one.sent_at > told_at)
        end = self.end(incarnation)
        # The peer may know of starts between it and the listed one.
        listed = listed_start(incarnation)
        for length in range(len(listed), len(incarnation) + 1):
            self._mark_ended(incarnation[:length])
        self._move(later, self.current(incarnation))
        return end

    def replace(
        self,
        incarnation: str,
        successor: str | None,
        seen_at: datetime.datetime,
    ) -> StartEnd:
        """Return who was at a start whose place another one has.

        That showed at ``seen_at``.  A request that was heard of since speaks
        against it, for itself and for those that were sent after it: they
        are at the ``successor``, None for one of another name.
        """
        if incarnation in self._ended:
            followed = self._starts.pop(self.current(incarnation), None)
            if followed is not None and successor is not None:
                self._move(followed.begun, successor)
            return StartEnd()
        live_from = self._sent_first(incarnation, heard_from=seen_at)
        live = self._take(
            incarnation,
            lambda one: (
                one.sent_at > seen_at
                or (live_from is not None and one.sent_at >= live_from)
            ),
        )
        end = self.end(incarnation)
        self._move(live, successor or self.current(incarnation))
        return end

    def _sent_first(
        self, incarnation: str, *, heard_from: datetime.datetime
    ) -> datetime.datetime | None:
        """Return when the first request heard of since then was sent."""
        start = self._starts.get(incarnation)
        if start is None:
            return None
        return min(
            (one.sent_at for one in start.begun if one.was_heard(heard_from)),
            default=None,
        )

    def _take(
        self, incarnation: str, is_taken: abc.Callable[[BegunRequest], bool]
    ) -> list[BegunRequest]:
        """Remove the requests at a start for which ``is_taken`` is true."""
        start = self._starts.get(incarnation)
        if start is None:
            return []
        taken = [one for one in start.begun if is_taken(one)]
        start.begun = [one for one in start.begun if not is_taken(one)]
        if not start.begun:
            del self._starts[incarnation]
        return taken

    def _move(
        self, moved: abc.Sequence[BegunRequest], incarnation: str
    ) -> None:
        """Move requests to the start that they were sent to."""
        if not moved:
            return
        heard_at = max(one.alive_at for one in moved)
        start = self._starts.setdefault(incarnation, _Start(heard_at=heard_at))
        for one in moved:
            one.incarnation = incarnation
            start.begun.append(one)

    def _mark_ended(self, incarnation: str) -> None:
        self._ended[incarnation] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
