"""Checks of the service's guarantees from what was observed in a soak."""

import collections
import json
import signal

from aspenfold_standins import platform_worker

from aspenfold._internal.observability import events
from tests.soak import callers
from tests.soak import soak_history
from tests.soak import system_under_test

DRAIN_NOTICE_S = 2.0
"""Time after which a draining endpoint must get no new requests."""

MAX_TRANSIT_S = 0.25
"""Longest time that a request takes from a gateway to an endpoint."""

MAX_DRAIN_DELAY_S = DRAIN_NOTICE_S + MAX_TRANSIT_S
"""Time from a notice until the last request may arrive."""

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request was not executed."""

STREAM_EVENTS = tuple(
    platform_worker.event_bytes(n)
    for n in range(1, system_under_test.EVENT_COUNT + 1)
)


class GuaranteeChecker:
    """Collects the violations of guarantees in one soak."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        history: soak_history.SoakHistory,
        probers: list[callers.PlanProber],
    ) -> None:
        self._system = system
        self._history = history
        self._probers = probers
        self._executions: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []

    def check(self) -> list[str]:
        """Check everything; return a description of each violation."""
        all_endpoints = [
            *self._system.endpoints,
            *self._system.removed_endpoints,
        ]
        for endpoint in all_endpoints:
            self._executions.update(endpoint.worker.executions)
            self._check_received_requests(endpoint)
        for request in self._history.requests.values():
            self._check_response(request)
        for prober in self._probers:
            self.violations += prober.violations
        if self._system.group.violation is not None:
            self._add_violation(f'mixed maps: {self._system.group.violation}')
        for program in self._system.programs:
            for process in program.processes:
                self._check_process(process)
        return self.violations

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)

    def _check_received_requests(
        self, endpoint: system_under_test.Endpoint
    ) -> None:
        name = endpoint.worker.name
        for received in endpoint.worker.requests:
            attempt_id = received.headers.get(
                platform_worker.ATTEMPT_HEADER, ''
            )
            request = self._history.requests.get(attempt_id)
            if request is None:
                self._add_violation(
                    f'{name} received {attempt_id!r}, which nobody sent'
                )
                continue
            if 'authorization' in received.headers:
                self._add_violation(
                    f'{name} received the API key of {attempt_id}'
                )
            organisation = received.headers.get('x-aspenfold-tenant', '')
            is_probe = attempt_id.startswith('probe-')
            if organisation != (
                '' if is_probe else system_under_test.ORGANISATION
            ):
                self._add_violation(
                    f'{name} received organisation {organisation!r} '
                    f'with {attempt_id}'
                )
            self._check_draining(endpoint, request, received.arrived_at)

    def _check_draining(
        self,
        endpoint: system_under_test.Endpoint,
        request: soak_history.RequestRecord,
        arrived_at: float,
    ) -> None:
        since = endpoint.draining_since
        if since is None or arrived_at <= since + MAX_DRAIN_DELAY_S:
            return
        fault_free = all(
            self._history.is_fault_free(subject, since, arrived_at)
            for subject in (request.gateway, 'store', endpoint.worker.name)
        )
        if fault_free:
            delay = arrived_at - since
            self._add_violation(
                f'{endpoint.worker.name} received {request.attempt_id} from '
                f'{request.gateway} {delay:.1f} s after it began to drain'
            )

    def _check_response(self, request: soak_history.RequestRecord) -> None:
        executions = self._executions[request.attempt_id]
        at_most_once = request.path in soak_history.AT_MOST_ONCE_PATHS
        if at_most_once and executions > 1:
            self._add_violation(
                f'{request.attempt_id} to {request.path} was executed '
                f'{executions} times'
            )
        response = request.response
        if response is None:
            return
        if (
            at_most_once
            and response.status in NOT_EXECUTED_STATUSES
            and executions
        ):
            self._add_violation(
                f'{request.attempt_id} was executed but got status '
                f'{response.status}'
            )
        if response.status == 200:
            self._check_success(request)
        elif response.status in (400, 401, 403, 404, 413, 431):
            self._add_violation(
                f'{request.attempt_id} was rejected with status '
                f'{response.status}'
            )
        elif not response.complete:
            self._check_truncated(request)

    def _check_success(self, request: soak_history.RequestRecord) -> None:
        response = request.response
        assert response is not None
        if platform_worker.SEAL_HEADER.lower() not in response.headers:
            self._add_violation(
                f'{request.attempt_id}: status 200 without a seal'
            )
        if request.path in soak_history.STREAM_PATHS:
            all_events = b''.join(STREAM_EVENTS)
            if response.complete and response.body != all_events:
                self._add_violation(
                    f'{request.attempt_id}: wrong events {response.body!r}'
                )
            if not all_events.startswith(response.body):
                self._add_violation(
                    f'{request.attempt_id}: events out of order '
                    f'{response.body!r}'
                )
        elif response.complete:
            expected = b'answer to ' + request.attempt_id.encode()
            if response.body != expected:
                self._add_violation(
                    f'{request.attempt_id} got {response.body!r}'
                )
        if not response.complete:
            self._check_truncated(request)

    def _check_truncated(self, request: soak_history.RequestRecord) -> None:
        """Add a violation unless a fault explains the truncated response."""
        if (
            not self._executions[request.attempt_id]
            or request.attempt_id in self._history.broken_attempts
        ):
            return
        subjects = [request.gateway, 'store', 'group']
        subjects += [
            e.worker.name
            for e in [
                *self._system.endpoints,
                *self._system.removed_endpoints,
            ]
            if request.attempt_id in e.worker.executions
        ]
        fault_free = all(
            self._history.is_fault_free(
                subject, request.sent_at, request.ended_at
            )
            for subject in subjects
        )
        if fault_free:
            self._add_violation(
                f'the response to {request.attempt_id} from '
                f'{request.gateway} was truncated'
            )

    def _check_process(
        self, process: system_under_test.ProgramProcess
    ) -> None:
        name = process.log_path.stem
        started = False
        lines = process.log_path.read_text('utf-8', 'replace').splitlines()
        for line in lines:
            try:
                event = json.loads(line).get('event')
            except ValueError:
                # A killed process can leave an incomplete line.
                if not process.sigkill_sent:
                    # The last line of a traceback names the error.
                    text = f'{line[:200]!r} .. {lines[-1][:200]!r}'
                    self._add_violation(f'{name} wrote {text}')
                    return
                continue
            started = started or event == events.Event.STARTED
            if event == events.Event.UNEXPECTED:
                self._add_violation(f'{name}: {line[:400]}')
        if process.exit_status is None or process.sigkill_sent:
            return
        ended_by_sighup = (
            process.sighup_unhandled and process.exit_status == -signal.SIGHUP
        )
        if ended_by_sighup:
            # While the interpreter starts, SIGHUP ends the process.
            return
        if not process.sigterm_sent:
            self._add_violation(
                f'{name} exited without SIGTERM: {process.exit_status}'
            )
        elif process.exit_status != 0 and started:
            # Before the program serves, SIGTERM ends it with that signal.
            self._add_violation(
                f'{name} exited with status {process.exit_status}'
            )
