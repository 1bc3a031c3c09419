"""Keeps requests from endpoints that end under requests like them.

All gateways gather the evidence together: each tells its peers, in peer
updates, of the crashes that it knows, whoever saw them, of answers that clear
suspects, and of what is in quarantine.  So a gateway that is started anew has
all of it with the first update.

Times cross gateways as ages, so that no two clocks are compared.
"""

import collections
from collections import abc
import contextlib
import datetime

from aspenfold._internal.gateway import crash_evidence
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import hold as hold_module
from aspenfold._internal.gateway import quarantine_report
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events
from aspenfold._internal.routing import subset

Fingerprint = fingerprints.Fingerprint
RequestFingerprints = fingerprints.RequestFingerprints

CONFIRMATION_DURATION = datetime.timedelta(milliseconds=600)
"""Time from a verdict to its effect, in which peers may clear the suspect:
some of their updates."""

JUDGEMENT_INTERVAL = datetime.timedelta(milliseconds=200)
"""How often the causes of known crashes are looked for anew."""

MAX_QUARANTINED = 32
"""Fingerprints in quarantine, the latest ones."""

MAX_REPORTED_CRASHES = 6
"""Crashes in one peer update, the most telling ones."""

MAX_OWN_CRASHES = 8
"""Crashes that this gateway saw itself and may have to write down."""

MAX_REPORTED_SUSPECTS = 36
"""Suspects of all crashes in one peer update, shared evenly by these."""

MIN_CRASHES_OF_REQUEST = 2
"""Crashes under the same request after which it is not tried again."""


class Quarantine:
    """Decides which requests are kept from all endpoints."""

    def __init__(
        self,
        *,
        host: str,
        evidence: crash_evidence.CrashEvidence | None = None,
        ledger: start_ledger.StartLedger | None = None,
    ) -> None:
        """``host`` is this gateway's, ``ledger`` has what it sent."""
        self._host = host
        self._evidence = evidence or crash_evidence.CrashEvidence()
        self._ledger = ledger or start_ledger.StartLedger()
        self._holds: dict[Fingerprint, hold_module.Hold] = {}
        self._verdicts: dict[Fingerprint, datetime.datetime] = {}
        self._judged_version = 0
        self._judged_at = clock_module.EPOCH
        self._peers: abc.Collection[str] = ()
        self._outlived: dict[str, abc.Mapping[Fingerprint, int]] = {}
        self._own_incarnations: collections.deque[str] = collections.deque(
            maxlen=MAX_OWN_CRASHES
        )
        self._waiting: dict[RequestFingerprints, abc.Callable[[], None]] = {}
        self._cleared: collections.deque[Fingerprint] = collections.deque(
            maxlen=MAX_QUARANTINED
        )
        self._telling: list[crash_evidence.Crash] = []
        self._telling_version = 0

    def count(self) -> int:
        """Return how many fingerprints are in quarantine."""
        return len(self._holds)

    def holds(self) -> list[hold_module.Hold]:
        """Return all that is in quarantine, the latest last."""
        return list(self._holds.values())

    def set_peers(self, hosts: abc.Set[str]) -> None:
        """Set the other gateways that are alive."""
        self._peers = hosts
        for gone in self._outlived.keys() - hosts:
            del self._outlived[gone]

    def admit(
        self, request: RequestFingerprints, now: datetime.datetime
    ) -> hold_module.Hold | None:
        """Return the hold of a request that came, None if it may be sent.

        It may be a trial.
        """
        holds = self._find_all(request)
        for hold in holds:
            hold.seen_at = now
        for hold in holds:
            if not hold.is_trial_due(now, self.turn(hold.fingerprint)):
                return hold
        for hold in holds:
            hold.in_trial = True
        request.trials = frozenset(hold.fingerprint for hold in holds)
        return None

    def record_sent(self, request: RequestFingerprints) -> None:
        """Count the trial if a request that is sent is one."""
        for hold in self._tried(request):
            hold.in_trial = False
            hold.trials += 1
            events.emit(
                events.Event.QUARANTINE_TRIAL,
                fingerprint=hold.fingerprint,
                trials=hold.trials,
            )

    def end_trial(self, request: RequestFingerprints) -> None:
        """Let another request be the trial if no endpoint got this one."""
        for hold in self._tried(request):
            hold.in_trial = False

    def _tried(self, request: RequestFingerprints) -> list[hold_module.Hold]:
        """Return the holds whose trial a request is until it is sent."""
        found = (self._holds.get(tried) for tried in request.trials)
        return [hold for hold in found if hold is not None and hold.in_trial]

    def find(self, request: RequestFingerprints) -> hold_module.Hold | None:
        """Return the hold of a request, None if there is none."""
        return next(iter(self._find_all(request)), None)

    def is_held(self, request: RequestFingerprints) -> bool:
        """Return whether a request must not be sent, or not again."""
        return self.find(request) is not None

    def _find_all(
        self, request: RequestFingerprints
    ) -> list[hold_module.Hold]:
        """Return the holds of a request, but those that it is a trial of."""
        if not self._holds:
            return []
        candidates = request.parts
        if any(fingerprints.is_request(held) for held in self._holds):
            candidates = request.all()
        return [
            self._holds[candidate]
            for candidate in candidates
            if candidate in self._holds and candidate not in request.trials
        ]

    def turn(self, fingerprint: Fingerprint) -> int:
        """Return how many gateways come before this one.

        What one of all gateways is to do for a fingerprint is for the first.
        """
        mine = subset.score(fingerprint, self._host)
        return sum(
            subset.score(fingerprint, peer) > mine for peer in self._peers
        )

    @contextlib.contextmanager
    def waiting(
        self, request: RequestFingerprints, withdraw: abc.Callable[[], None]
    ) -> abc.Iterator[None]:
        """Call ``withdraw`` if a quarantine begins that concerns the request.

        It was sent and waits for its answer, perhaps in an endpoint's queue.
        """
        self._waiting[request] = withdraw
        try:
            yield
        finally:
            del self._waiting[request]

    def may_retry(
        self, request: RequestFingerprints, now: datetime.datetime
    ) -> bool:
        """Return whether a request that lost its endpoint may end another.

        Its parts were answered lately, so that it is not likely the cause.
        """
        if self.is_held(request):
            return False
        if not all(self._evidence.was_answered(p, now) for p in request.parts):
            return False
        crashes = sum(
            self._evidence.count_crashes(one)
            for one in (request.whole, request.late)
        )
        return crashes < MIN_CRASHES_OF_REQUEST

    def record_crash(
        self,
        incarnation: str,
        suspects: abc.Collection[Fingerprint],
        now: datetime.datetime,
        *,
        at: datetime.datetime | None = None,
    ) -> None:
        """Record that an endpoint ended that may have begun ``suspects``.

        It ended ``at`` this time, by default ``now``.
        """
        self._add_crash(incarnation, suspects, at or now, told_by=self._host)
        if incarnation not in self._own_incarnations:
            self._own_incarnations.append(incarnation)
        self.update(now)

    def _add_crash(
        self,
        incarnation: str,
        suspects: abc.Collection[Fingerprint],
        at: datetime.datetime,
        *,
        told_by: str,
    ) -> None:
        version = self._evidence.version
        self._evidence.record_crash(incarnation, suspects, at)
        if self._evidence.version == version:
            return
        counts = map(self._evidence.count_crashes, suspects)
        events.emit(
            events.Event.CRASH_LEARNT,
            incarnation=incarnation,
            told_by=told_by,
            suspects=len(suspects),
            most_crashes=max(counts, default=0),
        )

    def own_crashes(self) -> list[crash_evidence.Crash]:
        """Return the crashes that this gateway saw itself."""
        return [
            crash
            for crash in self._evidence.crashes
            if crash.incarnation in self._own_incarnations
        ]

    def unanswered(self, crash: crash_evidence.Crash) -> list[Fingerprint]:
        """Return the suspects of a crash that may be its cause.

        Whole requests are of interest once they come again.
        """
        return [
            suspect
            for suspect in sorted(crash.suspects)
            if not self._evidence.was_answered(suspect, crash.at)
            and (
                not fingerprints.is_request(suspect)
                or self._evidence.count_crashes(suspect) > 1
            )
        ]

    def record_answer(
        self, request: RequestFingerprints, now: datetime.datetime
    ) -> None:
        """Record that an endpoint answered a request."""
        self._record_answers(request.all(), now)

    def record_progress(
        self, request: RequestFingerprints, now: datetime.datetime
    ) -> None:
        """Record that an endpoint has answered a request for long enough.

        It may still crash late in the answer.
        """
        self._record_answers(request.early(), now)

    def _record_answers(
        self, answered: abc.Iterable[Fingerprint], now: datetime.datetime
    ) -> None:
        reason = f'answered at {self._host}'
        for fingerprint in answered:
            self._record_answer(fingerprint, now, reason=reason)

    def record_survival(self, request: RequestFingerprints) -> None:
        """Record that an endpoint outlived an answer that it had begun."""
        for fingerprint in request.parts:
            self._evidence.record_survival(fingerprint)

    def record_exposure(self, request: RequestFingerprints) -> None:
        """Record that an endpoint outlived a request that it may have run."""
        self._record_exposure(request.all())

    def _record_exposure(self, outlived: abc.Iterable[Fingerprint]) -> None:
        if not self._evidence.crashes:
            return
        for fingerprint in outlived:
            self._evidence.record_exposure(fingerprint)

    def _record_answer(
        self, fingerprint: Fingerprint, at: datetime.datetime, *, reason: str
    ) -> None:
        self._evidence.record_answer(fingerprint, at)
        hold = self._holds.get(fingerprint)
        if hold is not None and at > hold.begun_at:
            self._end(hold, reason)
            self._cleared.append(fingerprint)

    def release(self, fingerprint: Fingerprint, at: datetime.datetime) -> None:
        """End a quarantine that an operator released ``at`` this time."""
        self._record_answer(fingerprint, at, reason='released')

    def update(self, now: datetime.datetime) -> None:
        """Put causes into quarantine, and end what no request came for."""
        for suspects in self._ledger.forget_old(now):
            self._record_exposure(suspects)
        for hold in list(self._holds.values()):
            if hold.ends_at() <= now:
                self._end(hold, 'no such request came')
        if not self._is_judgement_due(now):
            return
        self._judged_version = self._evidence.version
        self._judged_at = now
        causes = self._evidence.causes(
            self._holds,
            now,
            count_others=lambda suspect: self._count_others(suspect, now),
        )
        self._verdicts = {
            cause: self._verdicts.get(cause, now) for cause in causes
        }
        for cause, since in self._verdicts.items():
            if now - since >= CONFIRMATION_DURATION:
                self._begin(
                    hold_module.Hold(
                        fingerprint=cause,
                        begun_at=now,
                        seen_at=now,
                        crashes=self._evidence.count_crashes(cause),
                        source=self._host,
                    )
                )

    def _is_judgement_due(self, now: datetime.datetime) -> bool:
        """Return whether the evidence may have other causes than before.

        It does not only with a new crash: endpoints that have a suspect go
        silent.
        """
        if self._verdicts or self._evidence.version != self._judged_version:
            return True
        is_old = now - self._judged_at >= JUDGEMENT_INTERVAL
        return is_old and bool(self._evidence.crashes)

    def _count_others(
        self, fingerprint: Fingerprint, now: datetime.datetime
    ) -> int:
        told = sum(
            counts.get(fingerprint, 0) for counts in self._outlived.values()
        )
        return told + self._ledger.count_running(fingerprint, now)

    def _count_outlived(
        self,
        crashes: abc.Iterable[crash_evidence.Crash],
        now: datetime.datetime,
    ) -> dict[Fingerprint, int]:
        """Return how many endpoints outlived, or have, what may be held."""
        return {
            suspect: self._evidence.exposures(suspect)
            + self._ledger.count_running(suspect, now)
            for crash in crashes
            for suspect in crash.suspects
            if fingerprints.is_request(suspect)
            and self._evidence.count_crashes(suspect) > 1
        }

    def _begin(self, hold: hold_module.Hold) -> None:
        self._holds[hold.fingerprint] = hold
        if len(self._holds) > MAX_QUARANTINED:
            self._end(next(iter(self._holds.values())), 'too many')
        events.emit(
            events.Event.QUARANTINE_BEGUN,
            fingerprint=hold.fingerprint,
            crashes=hold.crashes,
            told_by=hold.source,
        )
        for request, withdraw in list(self._waiting.items()):
            if hold.fingerprint in request.all():
                withdraw()

    def _end(self, hold: hold_module.Hold, reason: str) -> None:
        del self._holds[hold.fingerprint]
        events.emit(
            events.Event.QUARANTINE_ENDED,
            fingerprint=hold.fingerprint,
            reason=reason,
        )

    def report(self, now: datetime.datetime) -> quarantine_report.Report:
        """Return what to tell peers."""
        crashes = self._telling_crashes(now)
        suspects = {s for crash in crashes for s in crash.suspects}
        suspects.update(self._holds, self._cleared)
        return quarantine_report.Report(
            crashes=tuple(
                self._crash_report(
                    c, now, MAX_REPORTED_SUSPECTS // len(crashes)
                )
                for c in crashes
            ),
            answer_ages={
                suspect: now - answered_at
                for suspect in sorted(suspects)
                if (answered_at := self._evidence.answered_at(suspect))
            },
            holds={
                hold.fingerprint: quarantine_report.HoldReport(
                    age=now - hold.begun_at,
                    seen_age=now - hold.seen_at,
                    crashes=hold.crashes,
                    trials=hold.trials,
                )
                for hold in self._holds.values()
            },
            outlived=self._count_outlived(crashes, now),
        )

    def _telling_crashes(
        self, now: datetime.datetime
    ) -> list[crash_evidence.Crash]:
        if not self._evidence.crashes:
            return []
        self._evidence.forget_old(now)
        if self._telling_version != self._evidence.version:
            self._telling_version = self._evidence.version
            self._telling = self._evidence.most_telling(MAX_REPORTED_CRASHES)
        begin = now - crash_evidence.CRASH_MEMORY
        return [crash for crash in self._telling if crash.at >= begin]

    def _crash_report(
        self, crash: crash_evidence.Crash, now: datetime.datetime, limit: int
    ) -> quarantine_report.CrashReport:
        suspects = self._evidence.most_suspect(crash, limit)
        return quarantine_report.CrashReport(
            incarnation=crash.incarnation,
            age=now - crash.at,
            suspects=tuple(suspects),
        )

    def receive(
        self,
        peer: str,
        report: quarantine_report.Report,
        now: datetime.datetime,
        *,
        sent_at: datetime.datetime | None = None,
    ) -> None:
        """Apply what a peer told at ``sent_at``, by default ``now``."""
        told_at = sent_at or now
        self._outlived[peer] = report.outlived
        for fingerprint, age in report.answer_ages.items():
            self._record_answer(
                fingerprint,
                told_at - age,
                reason=f'answered, as {peer} tells',
            )
        oldest = now - crash_evidence.CRASH_MEMORY
        for crash in report.crashes:
            at = told_at - crash.age
            if at < oldest:
                continue
            end = self._ledger.end_as_told(crash.incarnation, told_at)
            own = end.suspects()
            if own:
                self.record_crash(crash.incarnation, own, now, at=at)
            self._add_crash(
                crash.incarnation, crash.suspects, at, told_by=peer
            )
        for fingerprint, told in report.holds.items():
            self._receive_hold(peer, fingerprint, told, told_at)
        if report.crashes:
            self.update(now)

    def _receive_hold(
        self,
        peer: str,
        fingerprint: Fingerprint,
        told: quarantine_report.HoldReport,
        told_at: datetime.datetime,
    ) -> None:
        begun_at, seen_at = told_at - told.age, told_at - told.seen_age
        known = self._holds.get(fingerprint)
        if known is not None:
            known.begun_at = min(known.begun_at, begun_at)
            known.seen_at = max(known.seen_at, seen_at)
            known.trials = max(known.trials, told.trials)
            return
        answered_at = self._evidence.answered_at(fingerprint)
        if answered_at is not None and answered_at > begun_at:
            return
        hold = hold_module.Hold(
            fingerprint=fingerprint,
            begun_at=begun_at,
            seen_at=seen_at,
            crashes=told.crashes,
            source=peer,
            trials=told.trials,
        )
        if hold.ends_at() > told_at:
            self._begin(hold)
