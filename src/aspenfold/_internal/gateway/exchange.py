"""One caller's request, from its head to the end of its answer."""

import asyncio
import datetime

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import attempt
from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import plan_index as plan_index_module
from aspenfold._internal.gateway import refusal
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events

DEFAULT_TIME_LEFT = datetime.timedelta(hours=1)
"""Stands for the wait of callers that do not tell theirs, or nonsense;
the route's timeout is shorter."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""

Code = exceptions.Code


class Exchange:
    """Answers one request by attempts at endpoints."""

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
        )
        self.endpoint = ''

    async def run(self) -> None:
        """Answer the request; cancelled when the caller leaves."""
        route = self._admit()
        if route is None:
            return
        history = outcome.History(route=route)
        self._core.retry_budget(self._call.service).record_request()
        try:
            await self._attempts(history)
        except asyncio.CancelledError:
            events.emit(
                events.Event.CALLER_LEFT,
                call=self._call.id,
                endpoint=self.endpoint,
                age_ms=self._call.age_ms,
            )
            raise

    # -- before the first attempt ----------------------------------------

    def _admit(self) -> plan_module.Route | None:
        """Return the request's route, or refuse it and return None."""
        plan_index = self._core.plan_index
        if plan_index is None:
            self._refuse(Code.NO_FLEET, 'no plan is known here yet')
            return None
        request = self._request
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = plan_index.find_route(forwarding.host_name(request), path)
        if route is None:
            self._refuse(Code.UNKNOWN_SERVICE, 'no route has this path')
            return None
        if not self._authenticate(plan_index, route):
            self._refuse(Code.UNAUTHENTICATED, 'the API key is not known')
            return None
        self._call.service = self._core.choose_service(route)
        left = min(route.timeout, self._time_left)
        self._call.deadline = request.received_at + left
        if self._core.refusing:
            self._refuse(Code.DRAINING, 'this process is about to end')
            return None
        if self._core.is_overloaded(route, self._call.service, left):
            self._refuse(Code.NO_PLACE, 'all places of all ranks are taken')
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

    # -- attempts --------------------------------------------------------

    async def _attempts(self, history: outcome.History) -> None:
        await self._wait_for_group(history)
        while True:
            endpoint = self._core.choose_endpoint(
                self._call.service, self._tried
            )
            if endpoint is None:
                self._end_without_endpoint(history)
                return
            self.endpoint = endpoint.name
            end = await attempt.Attempt(
                core=self._core,
                call=self._call,
                history=history,
                endpoint=endpoint,
            ).run()
            step = await self._next_step(history, end)
            if step is not outcome.NextStep.RETRY:
                self._conclude(step, end, history)
                return
            self._tried.add(endpoint.name)
            self._log_again(history, endpoint, end)

    async def _next_step(
        self, history: outcome.History, end: outcome.AttemptResult
    ) -> outcome.NextStep:
        """Return what follows an attempt; pay for another one."""
        budget = self._core.retry_budget(self._call.service)
        if (
            end is outcome.AttemptResult.GROUP_UNAVAILABLE
            and not self._core.current_outage(self._call.service)
        ):
            # Another group of the service runs.
            end = outcome.AttemptResult.DECLINED
        # What no endpoint got yet is not sent *again*.
        free = history.attempts_sent == 0
        allowed = free or budget.available >= 1
        step = outcome.next_step(history, end, budget=allowed)
        if (
            step is outcome.NextStep.REFUSE
            and end is outcome.AttemptResult.GROUP_UNAVAILABLE
        ):
            sends = history.attempts_sent < history.route.max_attempts
            if sends and allowed and await self._wait_for_group(history):
                step = outcome.NextStep.RETRY
        if step is outcome.NextStep.RETRY and not free and not budget.take():
            # Others took what was left while this one waited.
            return outcome.NextStep.REFUSE
        return step

    async def _wait_for_group(self, history: outcome.History) -> bool:
        """Wait for a group that stands, if that gives a chance.

        Return whether it runs now.
        """
        call, now = self._call, self._core.clock.now()
        known = self._core.current_outage(call.service)
        if known is None:
            return False
        wait = known.wait_limit(
            history.route, age=call.age, left=call.remaining, now=now
        )
        if not wait:
            return False
        events.emit(
            events.Event.GROUP_AWAITED,
            call=call.id,
            wait_ms=wait // clock_module.MILLISECOND,
            expected_ms=known.remaining(now) // clock_module.MILLISECOND,
            left_ms=call.remaining_ms,
        )
        opened = await known.wait(wait)
        self._core.metrics.count('group_waits', 'opened' if opened else 'vain')
        return opened

    # -- the end ---------------------------------------------------------

    def _conclude(
        self,
        step: outcome.NextStep,
        end: outcome.AttemptResult,
        history: outcome.History,
    ) -> None:
        match step:
            case outcome.NextStep.DELIVER:
                self._deliver(history)
            case outcome.NextStep.REFUSE:
                code = Code.OVERLOADED
                if end is outcome.AttemptResult.GROUP_UNAVAILABLE:
                    code = Code.GROUP_DOWN
                self._refuse(code, f'{self.endpoint}: {end.value}')
            case outcome.NextStep.GIVE_UP:
                self._give_up(end)
            case outcome.NextStep.ABORT:
                self._break_off(end)

    def _deliver(self, history: outcome.History) -> None:
        status = 200
        if not history.head_delivered:
            held = self._call.buffered_response
            assert held is not None
            status = held.status
            if status in NOT_RUN_STATUSES:
                # Without the endpoint's word that it did not run.
                self._give_up(outcome.AttemptResult.FAILED)
                return
            self._pass_on(held)
        self._finished(events.Event.CALL_FINISHED, status=status)
        kind = history.route.kind.value
        metrics = self._core.metrics
        metrics.latency(kind, self._call.organisation, self._call.age)
        metrics.count('answers', str(status))

    def _pass_on(self, held: call_module.BufferedResponse) -> None:
        headers = self._core.forwarding.response_headers(
            held.headers, length=len(held.body)
        )
        self._response.start(held.status, headers)
        if held.body:
            self._response.write(held.body)
        self._response.end()

    def _end_without_endpoint(self, history: outcome.History) -> None:
        if history.head_delivered:
            self._break_off(outcome.AttemptResult.NOT_SENT)
        elif history.may_have_run:
            self._give_up(outcome.AttemptResult.LOST)
        else:
            service = self._call.service
            self._refuse(Code.NO_ENDPOINT, f'no endpoint of {service} is left')

    def _refuse(self, code: Code, detail: str) -> None:
        failure = exceptions.Failure(code=code, detail=detail)
        wait = refusal.retry_after(code, self._call.remaining)
        self._send_error(failure, wait)

    def _give_up(self, end: outcome.AttemptResult) -> None:
        code = Code.ENDPOINT_LOST
        if end is outcome.AttemptResult.TIMED_OUT:
            code = Code.FATE_UNKNOWN
        failure = exceptions.Failure(
            code=code, detail=f'{self.endpoint}: {end.value}'
        )
        self._send_error(failure, None)

    def _send_error(
        self,
        failure: exceptions.Failure,
        wait: datetime.timedelta | None,
    ) -> None:
        body = f'[{int(failure.code)}] {failure.detail}\n'.encode()
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', str(len(body)).encode()),
        ]
        if wait is not None:
            value = f'{wait.total_seconds():.3f}'.encode()
            headers.append((b'retry-after', value))
        status = refusal.status(failure.code)
        self._response.start(status, headers)
        self._response.write(body)
        self._response.end()
        self._core.metrics.count('refusals', str(int(failure.code)))
        self._finished(
            events.Event.CALL_FAILED,
            code=int(failure.code),
            status=status,
            detail=failure.detail,
        )

    def _break_off(self, end: outcome.AttemptResult) -> None:
        self._response.abort()
        self._core.metrics.count('broken_streams', end.value)
        self._finished(
            events.Event.CALL_FAILED,
            code=int(Code.ANSWER_CUT),
            detail=f'{self.endpoint}: {end.value}',
            events=self._call.splitter.events,
        )

    # -- logs ------------------------------------------------------------

    def _finished(self, event: events.Event, **fields: object) -> None:
        events.emit(
            event,
            call=self._call.id,
            service=self._call.service,
            endpoint=self.endpoint,
            attempts=len(self._tried) + 1,
            age_ms=self._call.age_ms,
            plan=self._core.plan_version,
            **fields,
        )

    def _log_again(
        self,
        history: outcome.History,
        endpoint: directory.Endpoint,
        end: outcome.AttemptResult,
    ) -> None:
        event = events.Event.ATTEMPT_LOST
        if history.head_delivered:
            event = events.Event.CALL_RESUMED
        events.emit(
            event,
            call=self._call.id,
            endpoint=endpoint.name,
            end=end.value,
            age_ms=self._call.age_ms,
            budget=round(
                self._core.retry_budget(self._call.service).available, 1
            ),
        )


def parse_time_left(text: str) -> datetime.timedelta:
    """Return how long a caller says that it waits, in milliseconds."""
    try:
        left = float(text)
    except ValueError:
        return DEFAULT_TIME_LEFT
    if not 0 <= left <= DEFAULT_TIME_LEFT / clock_module.MILLISECOND:
        return DEFAULT_TIME_LEFT
    return datetime.timedelta(milliseconds=left)
