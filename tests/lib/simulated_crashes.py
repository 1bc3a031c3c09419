"""Simulated endpoints that crash, and the gateways that find the cause.

Runs the real Quarantine, or one with another inference, on a simulated
network and a driven clock.
"""

from collections import abc
import dataclasses
import datetime
import random

from aspenfold._internal.gateway import crash_evidence
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import peer_update
from aspenfold._internal.gateway import peers
from aspenfold._internal.gateway import quarantine
from aspenfold._internal.gateway import quarantine_report
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock
from tests.lib import peer_updates
from tests.lib import samples

SECOND = datetime.timedelta(seconds=1)
TICK = 25 * clock.MILLISECOND
FIRST_OUTPUT_DELAY = 200 * clock.MILLISECOND
CRASH_DELAY = 70 * clock.MILLISECOND
"""Time after which a bad request crashes its endpoint."""

STALL_DURATION = 1500 * clock.MILLISECOND
"""Time from the crash of a rank to the loss of all requests of its group."""

EvidenceFactory = abc.Callable[[], crash_evidence.CrashEvidence]


@dataclasses.dataclass(kw_only=True)
class Load:
    """What callers, endpoints and the network of a simulation do.

    ``bad_per_s`` requests with a bad part and ``sound_per_s`` others come,
    which share ``parts`` common parts unevenly.  ``kills_per_s`` endpoints
    end without a cause, ``kill_size`` at once.  With ``is_group`` endpoints
    are ranks of one group.  A part ``alike`` of the sound requests is the same
    one, without parts.  Updates take up to ``delay`` and are lost with
    probability ``loss``.
    """

    gateways: int
    endpoints: int = 16
    bad_per_s: float = 5.0
    sound_per_s: float = 40.0
    parts: int = 40
    answer_time: datetime.timedelta = 2 * SECOND
    down_time: datetime.timedelta = 3 * SECOND
    kills_per_s: float = 0.0
    kill_size: int = 1
    is_group: bool = False
    alike: float = 0.0
    delay: datetime.timedelta = 100 * clock.MILLISECOND
    loss: float = 0.1

    @property
    def update_interval(self) -> datetime.timedelta:
        """Minimum time between two updates of one gateway."""
        return peers.MIN_INTERVAL + peers.INTERVAL_PER_PEER * self.gateways


@dataclasses.dataclass(kw_only=True, eq=False)
class _Attempt:
    """A request at an endpoint, sent by a gateway."""

    gateway: int
    request: fingerprints.RequestFingerprints
    begun: start_ledger.BegunRequest
    sent_at: datetime.datetime
    is_bad: bool
    is_cleared: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class _Endpoint:
    starts: int = 0
    up_at: datetime.datetime = clock.EPOCH
    attempts: list[_Attempt] = dataclasses.field(default_factory=list)


class Simulation:
    """Gateways, endpoints and what became of the requests.

    ``bad_sent`` has when bad requests were sent to endpoints, ``bad_ends``
    when these ended under them, ``kills`` counts other ends.  ``held`` has
    what any gateway held, with the first time.  ``sound_refused`` counts
    sound requests that were held back, of ``sound_count``.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        factory: EvidenceFactory = crash_evidence.CrashEvidence,
        *,
        exchange: bool = True,
    ) -> None:
        """Without ``exchange`` gateways tell each other nothing."""
        self.now = clock.EPOCH + 3600 * SECOND
        self.began_at = self.now
        self.bad_sent: list[datetime.datetime] = []
        self.bad_ends: list[datetime.datetime] = []
        self.kills = 0
        self.sound_count = 0
        self.sound_refused = 0
        self.held: dict[fingerprints.Fingerprint, datetime.datetime] = {}
        self._load = load
        self._exchange = exchange
        self._rng = random.Random(seed)
        self._ledgers = [
            start_ledger.StartLedger() for _ in range(load.gateways)
        ]
        self._gateways = [
            quarantine.Quarantine(
                host=f'g-{number}', evidence=factory(), ledger=ledger
            )
            for number, ledger in enumerate(self._ledgers)
        ]
        hosts = {f'g-{number}' for number in range(load.gateways)}
        for number, gateway in enumerate(self._gateways):
            if exchange:
                gateway.set_peers(hosts - {f'g-{number}'})
        self._told_at = [clock.EPOCH] * load.gateways
        self._told: list[object] = [None] * load.gateways
        self._pending: list[
            tuple[datetime.datetime, int, int, quarantine_report.Report]
        ] = []
        self._endpoints = [_Endpoint() for _ in range(load.endpoints)]
        self._requests = 0
        self._lost: list[tuple[datetime.datetime, _Attempt]] = []

    def run(self, duration: datetime.timedelta, *, bad: bool = True) -> None:
        """Advance; bad requests come only if ``bad``."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            self._answer()
            self._crash()
            self._kill()
            self._lose_stalled()
            self._send(self._load.sound_per_s, is_bad=False)
            if bad:
                self._send(self._load.bad_per_s, is_bad=True)
            self._update()

    def _send(self, per_s: float, *, is_bad: bool) -> None:
        for _ in range(self._count(per_s)):
            request = self._request(is_bad=is_bad)
            number = self._rng.randrange(self._load.gateways)
            self.sound_count += not is_bad
            if self._gateways[number].admit(request, self.now):
                self.sound_refused += not is_bad
                continue
            up = [e for e in self._endpoints if e.up_at <= self.now]
            if not up:
                self._gateways[number].end_trial(request)
                continue
            self._gateways[number].record_sent(request)
            endpoint = min(up, key=lambda e: len(e.attempts))
            begun = self._ledgers[number].begin(
                call_id='',
                incarnation=self._incarnation(endpoint),
                request=request,
                withdraw=lambda: None,
                now=self.now,
            )
            endpoint.attempts.append(
                _Attempt(
                    gateway=number,
                    request=request,
                    begun=begun,
                    sent_at=self.now,
                    is_bad=is_bad,
                )
            )
            if is_bad:
                self.bad_sent.append(self.now)

    def _count(self, per_s: float) -> int:
        mean = per_s * TICK.total_seconds()
        return int(mean) + (self._rng.random() < mean % 1)

    def _request(self, *, is_bad: bool) -> fingerprints.RequestFingerprints:
        self._requests += 1
        if (
            not is_bad
            and self._load.alike
            and self._rng.random() < self._load.alike
        ):
            return samples.request(body=b'alike')
        # The first parts are the most common ones.
        common = int(self._load.parts * self._rng.random() ** 2)
        shared = (f'c{common}', *(('bad',) if is_bad else ()))
        return samples.request(*shared, body=b'%d' % self._requests)

    def _answer(self) -> None:
        for endpoint in self._endpoints:
            for attempt in list(endpoint.attempts):
                age = self.now - attempt.sent_at
                if attempt.is_bad:
                    continue
                gateway = self._gateways[attempt.gateway]
                ledger = self._ledgers[attempt.gateway]
                if age >= FIRST_OUTPUT_DELAY:
                    ledger.record_output(attempt.begun, self.now)
                if attempt.begun.has_outlived and not attempt.is_cleared:
                    attempt.is_cleared = True
                    gateway.record_progress(attempt.request, self.now)
                if age >= self._load.answer_time:
                    endpoint.attempts.remove(attempt)
                    ledger.finish(attempt.begun)
                    gateway.record_answer(attempt.request, self.now)

    def _crash(self) -> None:
        for endpoint in self._endpoints:
            if any(
                attempt.is_bad and self.now - attempt.sent_at >= CRASH_DELAY
                for attempt in endpoint.attempts
            ):
                self.bad_ends.append(self.now)
                self._end(endpoint)

    def _kill(self) -> None:
        for _ in range(self._count(self._load.kills_per_s)):
            up = [e for e in self._endpoints if e.up_at <= self.now]
            size = min(self._load.kill_size, len(up))
            for endpoint in self._rng.sample(up, size):
                self.kills += 1
                self._end(endpoint)

    def _end(self, endpoint: _Endpoint) -> None:
        """End an endpoint; all its requests are lost."""
        incarnation = self._incarnation(endpoint)
        endpoint.starts += 1
        for gateway, ledger in zip(self._gateways, self._ledgers, strict=True):
            suspects = ledger.end(incarnation).suspects()
            if suspects:
                gateway.record_crash(incarnation, suspects, self.now)
        endpoint.attempts.clear()
        endpoint.up_at = self.now + self._load.down_time
        if self._load.is_group:
            self._stall()

    def _incarnation(self, endpoint: _Endpoint) -> str:
        number = self._endpoints.index(endpoint)
        return f'w-{number}@{endpoint.starts}'

    def _stall(self) -> None:
        """Let all ranks stall and lose their requests."""
        lost_at = self.now + STALL_DURATION
        for endpoint in self._endpoints:
            self._lost += [(lost_at, a) for a in endpoint.attempts]
            endpoint.attempts.clear()
            endpoint.up_at = max(
                endpoint.up_at, self.now + self._load.down_time
            )

    def _lose_stalled(self) -> None:
        due = [one for one in self._lost if one[0] <= self.now]
        self._lost = [one for one in self._lost if one[0] > self.now]
        for lost_at, attempt in due:
            self._ledgers[attempt.gateway].stop(attempt.begun, self.now)
            # Nothing is written while the group stalls.
            if self._written(attempt, lost_at - STALL_DURATION) is not None:
                self._gateways[attempt.gateway].record_survival(
                    attempt.request
                )

    def _written(
        self, attempt: _Attempt, at: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return for how long an answer had been written, None for none."""
        begun_at = attempt.sent_at + FIRST_OUTPUT_DELAY
        if attempt.is_bad or at < begun_at:
            return None
        return at - begun_at

    def _update(self) -> None:
        """Exchange reports that are due."""
        arrived = [one for one in self._pending if one[0] <= self.now]
        self._pending = [one for one in self._pending if one[0] > self.now]
        for _, sender, number, report in arrived:
            self._gateways[number].receive(f'g-{sender}', report, self.now)
        for number, gateway in enumerate(self._gateways):
            gateway.update(self.now)
            for hold in gateway.holds():
                self.held.setdefault(hold.fingerprint, self.now)
            if self._exchange:
                self._tell(number, gateway)

    def _tell(self, sender: int, gateway: quarantine.Quarantine) -> None:
        age = self.now - self._told_at[sender]
        if age < self._load.update_interval:
            return
        report = gateway.report(self.now)
        if report.key() == self._told[sender] and age < peers.IDLE_INTERVAL:
            return
        self._told[sender] = report.key()
        self._told_at[sender] = self.now
        report = shorten(report)
        for number in range(self._load.gateways):
            if number == sender or self._rng.random() < self._load.loss:
                continue
            delay = self._rng.random() * self._load.delay
            self._pending.append((self.now + delay, sender, number, report))

    def late_count(self, window: datetime.timedelta) -> int:
        """Return the bad requests sent ``window`` after the fifth end."""
        if len(self.bad_ends) < 5:
            return 0
        limit = sorted(self.bad_ends)[4] + window
        return sum(at > limit for at in self.bad_sent)

    def false_holds(self) -> list[fingerprints.Fingerprint]:
        """Return what was held beside the bad part."""
        return [one for one in self.held if one != BAD]


BAD = fingerprints.of_part('bad')


def shorten(report: quarantine_report.Report) -> quarantine_report.Report:
    """Return what of a report arrives in one datagram."""
    encoded = peer_update.encode(peer_updates.make_update(quarantine=report))
    assert encoded.data is not None
    return peer_update.decode(encoded.data).quarantine


class FiveCrashes(crash_evidence.CrashEvidence):
    """Holds each part that was in five crashes, as the simplest baseline."""

    def causes(
        self,
        known: abc.Collection[fingerprints.Fingerprint],
        now: datetime.datetime,
        **_: object,
    ) -> list[fingerprints.Fingerprint]:
        """Return the parts of five crashes."""
        suspects = {s for crash in self.crashes for s in crash.suspects}
        return sorted(
            s
            for s in suspects - set(known)
            if sum(s in crash.suspects for crash in self.crashes) >= 5
        )
