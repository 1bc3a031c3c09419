"""Handling of one caller's request until its response ends."""

import asyncio
import datetime

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import attempt
from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import hold as hold_module
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import plan_index as plan_index_module
from aspenfold._internal.gateway import prompt_parts
from aspenfold._internal.gateway import refusal
from aspenfold._internal.gateway import send_permission
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events

DEFAULT_TIME_LEFT = datetime.timedelta(hours=1)
"""Time left of a request whose header is missing, invalid or larger; the
route's timeout is shorter."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""

Code = exceptions.Code
GRANTED = send_permission.GRANTED


class Exchange:
    """Serves one request by attempts at endpoints.

    ``endpoint`` is the name of the last endpoint tried.
    """

    def __init__(
        self,
        *,
        core: core_module.Core,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        self._core = core
        self._request = request
        self._response = response
        self._tried: set[str] = set()
        self._time_left = parse_time_left(
            request.header(core.header_names.time_left_ms).decode('latin-1')
        )
        self._call = call_module.Call(
            clock=core.clock,
            request=request,
            response=response,
            id=request.header(core.header_names.attempt_id).decode('latin-1'),
            deadline=request.received_at + self._time_left,
            parts=prompt_parts.parse(request, core.header_names.prompt_parts),
        )
        self._log_invalid_parts()
        self.endpoint = ''

    def _log_invalid_parts(self) -> None:
        invalid = self._call.parts.invalid
        if not invalid:
            return
        self._core.metrics.increment('invalid_headers', 'prompt-parts')
        events.emit(
            events.Event.PROMPT_PARTS_INVALID,
            call=self._call.id,
            entries=invalid,
        )

    async def run(self) -> None:
        """Serve the request; cancelled if the caller disconnects."""
        try:
            await self._serve()
            await self._wait_until_sent()
        finally:
            self._call.replace_hold(None)
            self._core.quarantine.end_trial(self._call.fingerprints)

    async def _wait_until_sent(self) -> None:
        """Wait until the caller has most of a buffered response."""
        if self._call.hold is None:
            return
        try:
            await self._response.drain()
        except http1_server.CallerDisconnected:
            # A slow reader may still get the rest, but holds up no others.
            events.emit(
                events.Event.CALLER_SLOW,
                call=self._call.id,
                age_ms=self._call.age_ms,
            )

    async def _serve(self) -> None:
        route = self._admit()
        if route is None:
            return
        history = outcome.History(route=route)
        self._core.retry_budget(self._call.service).record_request()
        try:
            await self._run_attempts(history)
        except asyncio.CancelledError:
            events.emit(
                events.Event.CALLER_LEFT,
                call=self._call.id,
                endpoint=self.endpoint,
                age_ms=self._call.age_ms,
            )
            raise

    def _admit(self) -> plan_module.Route | None:
        """Return the request's route, or refuse it and return None."""
        plan_index = self._core.plan_index
        if plan_index is None:
            self._refuse(Code.NO_FLEET, 'the gateway has not read a plan yet')
            return None
        request = self._request
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = plan_index.find_route(forwarding.host_name(request), path)
        if route is None:
            self._refuse(
                Code.UNKNOWN_SERVICE, 'no route matches the host and path'
            )
            return None
        if not self._authenticate(plan_index, route):
            self._refuse(
                Code.UNAUTHENTICATED, 'the API key is missing or unknown'
            )
            return None
        self._call.service = self._core.choose_service(route)
        time_left = min(route.timeout, self._time_left)
        self._call.deadline = request.received_at + time_left
        hold = self._core.quarantine.admit(
            self._call.fingerprints, self._core.clock.now()
        )
        if hold is not None:
            self._refuse_quarantined(hold)
            return None
        if self._core.refusing:
            self._refuse(Code.DRAINING, 'the gateway process is shutting down')
            return None
        if self._core.should_refuse(route, self._call.service, time_left):
            self._refuse(Code.NO_PLACE, 'every rank is at its request limit')
            return None
        return route

    def _authenticate(
        self, plan_index: plan_index_module.PlanIndex, route: plan_module.Route
    ) -> bool:
        key = forwarding.api_key(self._request)
        found = plan_index.find_organisation(key) if key else None
        if found is not None:
            self._call.organisation = found.name
            return True
        return route.anonymous or not plan_index.plan.organisations

    async def _run_attempts(self, history: outcome.History) -> None:
        await self._wait_for_group(history)
        while True:
            endpoint = self._core.choose_endpoint(
                self._call.service, self._tried
            )
            if endpoint is None:
                self._end_without_endpoint(history)
                return
            self.endpoint = endpoint.name
            result = await attempt.Attempt(
                core=self._core,
                call=self._call,
                history=history,
                endpoint=endpoint,
            ).run()
            step = await self._next_step(history, result)
            if step is not outcome.NextStep.RETRY:
                self._finish(step, result, history)
                return
            self._tried.add(endpoint.name)
            self._log_retry(history, endpoint, result)

    async def _next_step(
        self, history: outcome.History, result: outcome.AttemptResult
    ) -> outcome.NextStep:
        """Return the step after an attempt; a retry takes from the budget."""
        budget = self._core.retry_budget(self._call.service)
        if (
            result is outcome.AttemptResult.GROUP_UNAVAILABLE
            and not self._core.current_outage(self._call.service)
        ):
            # Another group of the service is available.
            result = outcome.AttemptResult.DECLINED
        # Only requests that were already sent need the retry budget, and
        # what was taken for a withdrawn attempt serves for the next.
        is_free = (
            history.attempts_sent == 0
            or result is outcome.AttemptResult.WITHDRAWN
        )
        has_budget = is_free or budget.available >= 1
        step = outcome.next_step(history, result, has_budget=has_budget)
        if (
            step is outcome.NextStep.REFUSE
            and result is outcome.AttemptResult.GROUP_UNAVAILABLE
        ):
            has_attempts_left = (
                history.attempts_sent < history.route.max_attempts
            )
            if (
                has_attempts_left
                and has_budget
                and await self._wait_for_group(history)
            ):
                step = outcome.NextStep.RETRY
        if (
            step is outcome.NextStep.RETRY
            and not is_free
            and not budget.take()
        ):
            # Other requests used up the budget during the wait.
            return outcome.NextStep.REFUSE
        return step

    async def _wait_for_group(self, history: outcome.History) -> bool:
        """Wait for the recovery of a group if the request can then succeed.

        Return whether it recovered.
        """
        call, now = self._call, self._core.clock.now()
        current_outage = self._core.current_outage(call.service)
        if current_outage is None:
            return False
        delay = current_outage.wait_limit(
            history.route, age=call.age, remaining=call.remaining, now=now
        )
        if not delay:
            return False
        events.emit(
            events.Event.GROUP_AWAITED,
            call=call.id,
            wait_ms=delay // clock_module.MILLISECOND,
            expected_ms=current_outage.time_to_recovery(now)
            // clock_module.MILLISECOND,
            left_ms=call.remaining_ms,
        )
        recovered = await current_outage.wait_for_recovery(delay)
        self._core.metrics.increment(
            'group_waits', 'opened' if recovered else 'vain'
        )
        return recovered

    def _finish(
        self,
        step: outcome.NextStep,
        result: outcome.AttemptResult,
        history: outcome.History,
    ) -> None:
        match step:
            case outcome.NextStep.DELIVER:
                self._deliver(history)
            case outcome.NextStep.REFUSE:
                self._refuse_after_attempt(result)
            case outcome.NextStep.REPORT_UNKNOWN:
                self._send_unknown_outcome(result)
            case outcome.NextStep.ABORT:
                self._abort_stream(result)

    def _refuse_after_attempt(self, result: outcome.AttemptResult) -> None:
        detail = f'{self.endpoint}: {result.value}'
        if result is outcome.AttemptResult.GROUP_UNAVAILABLE:
            self._refuse(Code.GROUP_DOWN, detail)
        elif (
            result is outcome.AttemptResult.MISDIRECTED
            and self._core.is_conditional(self._request)
        ):
            self._refuse(Code.CONDITION_NOT_MET, detail)
        elif result is outcome.AttemptResult.QUARANTINED:
            self._refuse_quarantined(
                self._core.quarantine.find(self._call.fingerprints)
            )
        elif self._core.next_permission(self._call.service) == GRANTED:
            self._refuse(Code.OVERLOADED, detail)
        else:
            self._refuse_without_endpoint()

    def _deliver(self, history: outcome.History) -> None:
        status = 200
        if not history.head_delivered:
            buffered = self._call.buffered_response
            assert buffered is not None
            status = buffered.status
            if status in NOT_RUN_STATUSES:
                # The endpoint did not state that the request has not run.
                self._send_unknown_outcome(outcome.AttemptResult.FAILED)
                return
            self._forward_buffered(buffered)
        self._log_finished(events.Event.CALL_FINISHED, status=status)
        kind = history.route.kind.value
        metrics = self._core.metrics
        metrics.record_latency(kind, self._call.organisation, self._call.age)
        metrics.increment('answers', str(status))

    def _forward_buffered(
        self, buffered: call_module.BufferedResponse
    ) -> None:
        length: int | None = len(buffered.body)
        if self._request.method == b'HEAD':
            length = forwarding.content_length(buffered.headers)
        headers = self._core.forwarding.response_headers(
            buffered.headers, length=length
        )
        self._response.start(buffered.status, headers)
        if buffered.body:
            self._response.write(buffered.body)
        self._response.end()

    def _end_without_endpoint(self, history: outcome.History) -> None:
        if history.head_delivered:
            self._abort_stream(outcome.AttemptResult.NOT_SENT)
        elif self._call.buffered_response is not None:
            self._deliver(history)
        elif history.may_have_run:
            self._send_unknown_outcome(outcome.AttemptResult.LOST)
        else:
            self._refuse_without_endpoint()

    def _refuse_without_endpoint(self) -> None:
        """Refuse a request that no endpoint may get now."""
        service = self._call.service
        permission = self._core.next_permission(service)
        if permission is None or permission.until is None:
            self._refuse(
                Code.NO_ENDPOINT, f'no endpoint of {service} is available'
            )
            return
        code, reason = Code.ENDPOINTS_AT_LIMIT, 'is at its rate limit'
        if permission.obstacle is send_permission.Obstacle.BACKOFF:
            code = Code.ENDPOINTS_BACKED_OFF
            reason = 'asked for no requests for a while'
        delay = permission.until - self._core.clock.now()
        self._refuse(code, f'every endpoint of {service} {reason}', delay)

    def _refuse_quarantined(self, hold: hold_module.Hold | None) -> None:
        if hold is None:
            # It has ended since.
            self._refuse(Code.OVERLOADED, 'the quarantine has just ended')
            return
        self._refuse(
            Code.QUARANTINED,
            f'{hold.crashes} endpoints ended under requests with '
            f'{hold.fingerprint}',
            hold.ends_at() - self._core.clock.now(),
            fingerprint=hold.fingerprint,
        )

    def _refuse(
        self,
        code: Code,
        detail: str,
        delay: datetime.timedelta | None = None,
        **fields: object,
    ) -> None:
        """Respond that the request has not run; log ``fields``, too.

        ``delay`` is when a retry can succeed, if that is known better than
        by the code.
        """
        failure = exceptions.Failure(code=code, detail=detail)
        if delay is None:
            delay = refusal.RETRY_AFTER.get(code)
        self._send_error(
            failure,
            refusal.retry_after(delay, self._call.remaining),
            **fields,
        )

    def _send_unknown_outcome(self, result: outcome.AttemptResult) -> None:
        code = Code.ENDPOINT_LOST
        if result is outcome.AttemptResult.TIMED_OUT:
            code = Code.FATE_UNKNOWN
        failure = exceptions.Failure(
            code=code, detail=f'{self.endpoint}: {result.value}'
        )
        self._send_error(failure, None)

    def _send_error(
        self,
        failure: exceptions.Failure,
        delay: datetime.timedelta | None,
        **fields: object,
    ) -> None:
        body = refusal.body(failure)
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', str(len(body)).encode()),
            *refusal.retry_after_headers(delay),
        ]
        status = refusal.status(failure.code)
        self._response.start(status, headers)
        self._response.write(body)
        self._response.end()
        self._core.metrics.increment('refusals', str(int(failure.code)))
        self._log_finished(
            events.Event.CALL_FAILED,
            code=int(failure.code),
            status=status,
            detail=failure.detail,
            **fields,
        )

    def _abort_stream(self, result: outcome.AttemptResult) -> None:
        self._response.abort()
        self._core.metrics.increment('broken_streams', result.value)
        self._log_finished(
            events.Event.CALL_FAILED,
            code=int(Code.ANSWER_CUT),
            detail=f'{self.endpoint}: {result.value}',
        )

    def _log_finished(self, event: events.Event, **fields: object) -> None:
        events.emit(
            event,
            call=self._call.id,
            service=self._call.service,
            endpoint=self.endpoint,
            attempts=len(self._tried) + 1,
            age_ms=self._call.age_ms,
            plan=self._core.plan_version,
            **self._end_fields(),
            **fields,
        )

    def _end_fields(self) -> dict[str, object]:
        """Return how the last response ended, for a log line."""
        end = self._call.response_end
        return {} if end is None else end.log_fields()

    def _log_retry(
        self,
        history: outcome.History,
        endpoint: directory.Endpoint,
        result: outcome.AttemptResult,
    ) -> None:
        event = events.Event.ATTEMPT_LOST
        if history.head_delivered:
            event = events.Event.CALL_RESUMED
        events.emit(
            event,
            call=self._call.id,
            endpoint=endpoint.name,
            end=result.value,
            age_ms=self._call.age_ms,
            **self._end_fields(),
            budget=round(
                self._core.retry_budget(self._call.service).available, 1
            ),
        )


def parse_time_left(text: str) -> datetime.timedelta:
    """Parse the time that a caller waits, given in milliseconds."""
    try:
        time_left = float(text)
    except ValueError:
        return DEFAULT_TIME_LEFT
    if not 0 <= time_left <= DEFAULT_TIME_LEFT / clock_module.MILLISECOND:
        return DEFAULT_TIME_LEFT
    return datetime.timedelta(milliseconds=time_left)
