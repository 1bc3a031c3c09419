"""The promises, checked from what callers and endpoints saw."""

import collections
import json
import signal

from aspenfold_standins import platform_worker

from aspenfold._internal.observability import events
from tests.soak import callers
from tests.soak import soak_history
from tests.soak import system_under_test

DRAIN_S = 2.0
"""An endpoint that is leaving gets no new work after this."""

ON_THE_WAY_S = 0.25
"""What a request may take from its gateway to an endpoint's log."""

PROMISE_NOT_RUN = frozenset({408, 421, 429, 503})

EVENTS = tuple(
    platform_worker.event_bytes(n)
    for n in range(1, system_under_test.EVENTS + 1)
)


class GuaranteeChecker:
    """Collects what was broken in one soak."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        ledger: soak_history.SoakHistory,
        probers: list[callers.Prober],
    ) -> None:
        self._system = system
        self._ledger = ledger
        self._probers = probers
        self._runs: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    def check(self) -> list[str]:
        """Return all that was broken."""
        every = [*self._system.endpoints, *self._system.gone]
        for endpoint in every:
            self._runs.update(endpoint.worker.executions)
            self._arrivals(endpoint)
        for asked in self._ledger.asked.values():
            self._request(asked)
        for prober in self._probers:
            self.broken += prober.broken
        if self._system.group.violation is not None:
            self._tell(f'mixed maps: {self._system.group.violation}')
        for program in self._system.programs:
            for incarnation in program.incarnations:
                self._process(incarnation)
        return self.broken

    def _tell(self, text: str) -> None:
        self.broken.append(text)

    # -- endpoints -------------------------------------------------------

    def _arrivals(self, endpoint: system_under_test.Endpoint) -> None:
        name = endpoint.worker.name
        for request in endpoint.worker.requests:
            attempt = request.headers.get(platform_worker.ATTEMPT_HEADER, '')
            asked = self._ledger.asked.get(attempt)
            if asked is None:
                self._tell(f'{name} got {attempt!r}, which nobody sent')
                continue
            if 'authorization' in request.headers:
                self._tell(f'{name} got the key of {attempt}')
            told = request.headers.get('x-aspenfold-tenant', '')
            known = attempt.startswith('probe-')
            if told != ('' if known else system_under_test.ORGANISATION):
                self._tell(f'{name} got organisation {told!r} of {attempt}')
            self._drained(endpoint, asked, request.arrived_at)

    def _drained(
        self,
        endpoint: system_under_test.Endpoint,
        asked: soak_history.RequestRecord,
        arrived_at: float,
    ) -> None:
        since = endpoint.leaving_at
        if since is None or arrived_at <= since + DRAIN_S + ON_THE_WAY_S:
            return
        calm = all(
            self._ledger.calm(subject, since, arrived_at)
            for subject in (asked.gateway, 'store', endpoint.worker.name)
        )
        if calm:
            late = arrived_at - since
            self._tell(
                f'{endpoint.worker.name} got {asked.attempt} of '
                f'{asked.gateway} {late:.1f} s after it was leaving'
            )

    # -- requests --------------------------------------------------------

    def _request(self, asked: soak_history.RequestRecord) -> None:
        runs = self._runs[asked.attempt]
        once = asked.path in soak_history.ONCE
        if once and runs > 1:
            self._tell(f'{asked.attempt} of {asked.path} ran {runs} times')
        answer = asked.answer
        if answer is None:
            return
        if once and answer.status in PROMISE_NOT_RUN and runs:
            self._tell(f'{asked.attempt} ran and was told {answer.status}')
        if answer.status == 200:
            self._success(asked)
        elif answer.status in (400, 401, 403, 404, 413, 431):
            self._tell(f'{asked.attempt} was told {answer.status}')
        elif not answer.complete:
            self._cut(asked)

    def _success(self, asked: soak_history.RequestRecord) -> None:
        answer = asked.answer
        assert answer is not None
        if platform_worker.SEAL_HEADER.lower() not in answer.headers:
            self._tell(f'{asked.attempt}: a success without a signature')
        if asked.path in soak_history.STREAMS:
            whole = b''.join(EVENTS)
            if answer.complete and answer.body != whole:
                self._tell(f'{asked.attempt}: events {answer.body!r}')
            if not whole.startswith(answer.body):
                self._tell(f'{asked.attempt}: out of order {answer.body!r}')
        elif answer.complete:
            expected = b'answer to ' + asked.attempt.encode()
            if answer.body != expected:
                self._tell(f'{asked.attempt} got {answer.body!r}')
        if not answer.complete:
            self._cut(asked)

    def _cut(self, asked: soak_history.RequestRecord) -> None:
        """A connection ended early: only faults on its way excuse it."""
        if not self._runs[asked.attempt]:
            return
        subjects = [asked.gateway, 'store', 'group']
        subjects += [
            e.worker.name
            for e in [*self._system.endpoints, *self._system.gone]
            if asked.attempt in e.worker.executions
        ]
        calm = all(
            self._ledger.calm(subject, asked.sent_at, asked.ended_at)
            for subject in subjects
        )
        if calm:
            self._tell(f'{asked.attempt} of {asked.gateway} was cut')

    # -- processes -------------------------------------------------------

    def _process(self, found: system_under_test.ProgramProcess) -> None:
        name = found.log.stem
        started = False
        lines = found.log.read_text('utf-8', 'replace').splitlines()
        for line in lines:
            try:
                event = json.loads(line).get('event')
            except ValueError:
                # A killed process may leave half a line.
                if not found.killed:
                    # Of a traceback the last line names the error.
                    told = f'{line[:200]!r} .. {lines[-1][:200]!r}'
                    self._tell(f'{name} wrote {told}')
                    return
                continue
            started = started or event == events.Event.STARTED
            if event == events.Event.UNEXPECTED:
                self._tell(f'{name}: {line[:400]}')
        if found.status is None or found.killed:
            return
        early = found.reloaded_early and found.status == -signal.SIGHUP
        if early:
            # The interpreter's own start: finding 4.
            return
        if not found.asked_to_end:
            self._tell(f'{name} ended by itself: {found.status}')
        elif found.status != 0 and started:
            # Before it serves, SIGTERM may end it like any program.
            self._tell(f'{name} ended with {found.status}')
