"""One caller's request, from its head to the end of its answer."""

import asyncio
import datetime
import math

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import event_stream
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import refusal
from aspenfold._internal.gateway import table as table_module
from aspenfold._internal.network import http1_client
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events

CONNECT_TIMEOUT_S = 0.3
"""How long to wait for an endpoint to accept: a cut link never does;
the longest round trip between zones is 3 ms."""

MAX_WHOLE_ANSWER = 4_194_304
"""Largest answer that is held until it is whole; as the body limit."""

UNTOLD_LEFT = datetime.timedelta(hours=1)
"""Stands for the wait of callers that do not tell theirs, or nonsense;
the route's timeout is shorter."""

MILLISECOND = datetime.timedelta(milliseconds=1)

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""

Code = exceptions.Code


class Exchange:
    """Answers one request by attempts at endpoints."""

    def __init__(
        self,
        *,
        core: core_module.Core,
        request: http1_server.Request,
        answer: http1_server.Answer,
    ) -> None:
        self._core = core
        self._request = request
        self._answer = answer
        self._names = core.names
        self._id = request.header(core.names.attempt_id).decode('latin-1')
        self._deadline = request.received_at + self._told_left()
        self._organisation = ''
        self._service = ''
        self._tried: set[str] = set()
        self._cutter = event_stream.EventCutter()
        self._held: tuple[int, forwarding.Headers, bytes] | None = None
        self.endpoint = ''

    async def run(self) -> None:
        """Answer the request; cancelled when the caller leaves."""
        route = self._admit()
        if route is None:
            return
        history = outcome.History(route=route)
        self._core.budget(self._service).request()
        try:
            await self._attempts(history)
        except asyncio.CancelledError:
            events.emit(
                events.Event.CALLER_LEFT,
                call=self._id,
                endpoint=self.endpoint,
                age_ms=self._age_ms(),
            )
            raise

    # -- before the first attempt ----------------------------------------

    def _admit(self) -> plan_module.Route | None:
        """Return the request's route, or refuse it and return None."""
        table = self._core.table
        if table is None:
            self._refuse(Code.NO_FLEET, 'no plan is known here yet')
            return None
        request = self._request
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = table.route(forwarding.host_name(request), path)
        if route is None:
            self._refuse(Code.UNKNOWN_SERVICE, 'no route has this path')
            return None
        if not self._authenticate(table, route):
            self._refuse(Code.UNAUTHENTICATED, 'the API key is not known')
            return None
        self._service = self._core.service_of(route)
        self._deadline = self._deadline_of(route)
        if self._core.refusing:
            self._refuse(Code.DRAINING, 'this process is about to end')
            return None
        return route

    def _authenticate(
        self, table: table_module.Table, route: plan_module.Route
    ) -> bool:
        key = forwarding.api_key(self._request)
        found = table.organisation(key) if key else None
        if found is not None:
            self._organisation = found.name
            return True
        return route.anonymous or not table.plan.organisations

    def _deadline_of(self, route: plan_module.Route) -> datetime.datetime:
        """Return when the caller or the route's timeout ends the wait."""
        left = min(route.timeout, self._told_left())
        return self._request.received_at + left

    def _told_left(self) -> datetime.timedelta:
        """Return how long the caller says that it waits."""
        told = self._request.header(self._names.time_left_ms)
        try:
            left = float(told)
        except ValueError:
            return UNTOLD_LEFT
        if not 0 <= left <= UNTOLD_LEFT / MILLISECOND:
            return UNTOLD_LEFT
        return datetime.timedelta(milliseconds=left)

    # -- attempts --------------------------------------------------------

    async def _attempts(self, history: outcome.History) -> None:
        while True:
            endpoint = self._core.choose(self._service, self._tried)
            if endpoint is None:
                self._end_without_endpoint(history)
                return
            end = await self._attempt(history, endpoint)
            budget = self._core.budget(self._service)
            # What no endpoint got yet is not sent *again*.
            free = history.sent == 0
            allowed = free or budget.left >= 1
            step = outcome.after(history, end, budget=allowed)
            if step is outcome.Step.AGAIN:
                if not free:
                    budget.take()
                self._tried.add(endpoint.name)
                self._log_again(history, endpoint, end)
                continue
            self._conclude(step, end, history)
            return

    async def _attempt(
        self, history: outcome.History, endpoint: directory.Endpoint
    ) -> outcome.End:
        """Make one attempt and keep the books of its endpoint."""
        self.endpoint = endpoint.name
        events.emit(
            events.Event.ATTEMPT_OPENED,
            call=self._id,
            number=history.sent + 1,
            endpoint=endpoint.name,
            pressure=round(endpoint.pressure, 2),
            left_ms=self._left_ms(),
            plan=self._plan_version(),
        )
        endpoint.in_flight += 1
        try:
            async with asyncio.timeout(self._left_s()):
                end = await self._connect_and_send(history, endpoint)
        except TimeoutError:
            end = outcome.End.TIMED_OUT
        finally:
            endpoint.in_flight -= 1
        self._judge(endpoint, end)
        return end

    async def _connect_and_send(
        self, history: outcome.History, endpoint: directory.Endpoint
    ) -> outcome.End:
        listing = endpoint.listing
        try:
            connection = await http1_client.connect(
                listing.host, listing.port, CONNECT_TIMEOUT_S
            )
        except http1_client.NotConnected:
            history.unreachable += 1
            return outcome.End.NOT_SENT
        try:
            return await self._send(history, endpoint, connection)
        finally:
            connection.close()

    async def _send(
        self,
        history: outcome.History,
        endpoint: directory.Endpoint,
        connection: http1_client.Connection,
    ) -> outcome.End:
        request = self._request
        last_id = self._cutter.last_id if history.head_delivered else b''
        headers = self._core.forwarding.request(
            request,
            endpoint=endpoint,
            organisation=self._organisation,
            left_ms=max(1, self._left_ms()),
            last_event_id=last_id,
        )
        earlier = history.may_have_run
        history.sent += 1
        history.may_have_run = True
        try:
            connection.send(
                request.method, request.target, headers, request.body
            )
            head = await connection.head()
            end = self._judge_head(head, endpoint)
            if end in outcome.NOT_RUN:
                history.may_have_run = earlier
                return end
            if end is outcome.End.LOST:
                return end
            if self._is_event_stream(history, head.status_code):
                return await self._relay(history, head, connection)
            return await self._take_whole(history, head, connection)
        except http1_client.ConnectionLost:
            return outcome.End.LOST

    def _judge_head(
        self,
        head: http1_client.Head,
        endpoint: directory.Endpoint,
    ) -> outcome.End:
        """Return what the head alone tells: not run, lost or answered."""
        headers = list(head.headers)
        load = forwarding.header(headers, self._names.load)
        if load:
            told = forwarding.parse_load(load)
            if told is not None:
                endpoint.take_load(told)
        if head.status_code == 421:
            return outcome.End.REPLACED
        if forwarding.header(headers, self._names.not_run):
            return self._declined(endpoint)
        echoed = forwarding.header(headers, self._names.attempt_id)
        if echoed.decode('latin-1') != self._id:
            # An answer to some earlier request, come late.
            return outcome.End.LOST
        return outcome.End.ANSWERED

    def _declined(self, endpoint: directory.Endpoint) -> outcome.End:
        """Tell an endpoint that is full from one whose group is down."""
        load = endpoint.load
        if load is None or not self._core.has_group(self._service):
            return outcome.End.DECLINED
        if load.running + load.waiting < load.capacity:
            return outcome.End.DOWN
        return outcome.End.DECLINED

    def _is_event_stream(self, history: outcome.History, status: int) -> bool:
        streaming = history.route.kind is plan_module.Kind.STREAMING
        return streaming and status == 200

    async def _take_whole(
        self,
        history: outcome.History,
        head: http1_client.Head,
        connection: http1_client.Connection,
    ) -> outcome.End:
        """Hold an answer until it is whole."""
        parts: list[bytes] = []
        size = 0
        while (data := await connection.data()) is not None:
            parts.append(data)
            size += len(data)
            if size > MAX_WHOLE_ANSWER:
                return outcome.End.LOST
        if history.head_delivered:
            # A resumed stream cannot go on with a failure's body.
            return outcome.End.FAILED
        status = head.status_code
        self._held = (status, list(head.headers), b''.join(parts))
        if status < 500:
            return outcome.End.ANSWERED
        return outcome.End.FAILED

    async def _relay(
        self,
        history: outcome.History,
        head: http1_client.Head,
        connection: http1_client.Connection,
    ) -> outcome.End:
        """Pass events on, each as soon as it is whole."""
        self._cutter.drop_rest()
        while (data := await connection.data()) is not None:
            whole = self._cutter.feed(data)
            if whole:
                self._begin_stream(history, head)
                self._answer.data(whole)
                await self._answer.room()
        self._begin_stream(history, head)
        if self._cutter.rest:
            self._answer.data(self._cutter.rest)
        self._answer.end()
        return outcome.End.ANSWERED

    def _begin_stream(
        self, history: outcome.History, head: http1_client.Head
    ) -> None:
        if history.head_delivered:
            return
        history.head_delivered = True
        headers = self._core.forwarding.answer(list(head.headers), length=None)
        self._core.metrics.latency(
            'first-event', self._organisation, self._age()
        )
        self._answer.start(head.status_code, headers)

    def _judge(self, endpoint: directory.Endpoint, end: outcome.End) -> None:
        """Learn about the endpoint from how an attempt ended."""
        now = self._core.clock.now()
        known = self._core.directory
        if end is outcome.End.ANSWERED:
            known.succeeded(endpoint)
        elif end is outcome.End.NOT_SENT:
            known.unreachable(endpoint, now)
        elif end is outcome.End.REPLACED:
            known.replaced(endpoint)
        elif self._core.has_group(self._service):
            # A rank's failure is its whole group's: none is better.
            return
        elif end in (outcome.End.LOST, outcome.End.FAILED):
            known.failed(endpoint, now)

    # -- the end ---------------------------------------------------------

    def _conclude(
        self, step: outcome.Step, end: outcome.End, history: outcome.History
    ) -> None:
        match step:
            case outcome.Step.DELIVER:
                self._deliver(history)
            case outcome.Step.REFUSE:
                code = Code.OVERLOADED
                if end is outcome.End.DOWN:
                    code = Code.GROUP_DOWN
                self._refuse(code, f'{self.endpoint}: {end.value}')
            case outcome.Step.GIVE_UP:
                self._give_up(end)
            case outcome.Step.BREAK_OFF:
                self._break_off(end)

    def _deliver(self, history: outcome.History) -> None:
        status = 200
        if not history.head_delivered:
            assert self._held is not None
            status, headers, body = self._held
            if status in PROMISES_NOT_RUN:
                # Without the endpoint's word that it did not run.
                self._give_up(outcome.End.FAILED)
                return
            self._answer.start(
                status,
                self._core.forwarding.answer(headers, length=len(body)),
            )
            if body:
                self._answer.data(body)
            self._answer.end()
        self._finished(events.Event.CALL_FINISHED, status=status)
        kind = history.route.kind.value
        self._core.metrics.latency(kind, self._organisation, self._age())
        self._core.metrics.count('answers', str(status))

    def _end_without_endpoint(self, history: outcome.History) -> None:
        if history.head_delivered:
            self._break_off(outcome.End.NOT_SENT)
        elif history.may_have_run:
            self._give_up(outcome.End.LOST)
        else:
            self._refuse(
                Code.NO_ENDPOINT, f'no endpoint of {self._service} is left'
            )

    def _refuse(self, code: Code, detail: str) -> None:
        failure = exceptions.Failure(code=code, detail=detail)
        left = self._deadline - self._core.clock.now()
        wait = refusal.retry_after(code, left)
        self._short_answer(failure, wait)

    def _give_up(self, end: outcome.End) -> None:
        code = Code.ENDPOINT_LOST
        if end is outcome.End.TIMED_OUT:
            code = Code.FATE_UNKNOWN
        failure = exceptions.Failure(
            code=code, detail=f'{self.endpoint}: {end.value}'
        )
        self._short_answer(failure, None)

    def _short_answer(
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
        self._answer.start(status, headers)
        self._answer.data(body)
        self._answer.end()
        self._core.metrics.count('refusals', str(int(failure.code)))
        self._finished(
            events.Event.CALL_FAILED,
            code=int(failure.code),
            status=status,
            detail=failure.detail,
        )

    def _break_off(self, end: outcome.End) -> None:
        self._answer.abort()
        self._core.metrics.count('broken_streams', end.value)
        self._finished(
            events.Event.CALL_FAILED,
            code=int(Code.ANSWER_CUT),
            detail=f'{self.endpoint}: {end.value}',
            events=self._cutter.events,
        )

    # -- logs ------------------------------------------------------------

    def _finished(self, event: events.Event, **fields: object) -> None:
        events.emit(
            event,
            call=self._id,
            service=self._service,
            endpoint=self.endpoint,
            attempts=len(self._tried) + 1,
            age_ms=self._age_ms(),
            plan=self._plan_version(),
            **fields,
        )

    def _log_again(
        self,
        history: outcome.History,
        endpoint: directory.Endpoint,
        end: outcome.End,
    ) -> None:
        event = events.Event.ATTEMPT_LOST
        if history.head_delivered:
            event = events.Event.CALL_RESUMED
        events.emit(
            event,
            call=self._id,
            endpoint=endpoint.name,
            end=end.value,
            age_ms=self._age_ms(),
            budget=round(self._core.budget(self._service).left, 1),
        )

    def _plan_version(self) -> int:
        table = self._core.table
        return table.plan.version if table else 0

    def _age(self) -> datetime.timedelta:
        return self._core.clock.now() - self._request.received_at

    def _age_ms(self) -> int:
        return int(self._age().total_seconds() * 1000)

    def _left_s(self) -> float:
        left = self._deadline - self._core.clock.now()
        return left.total_seconds()

    def _left_ms(self) -> int:
        return math.floor(self._left_s() * 1000)
