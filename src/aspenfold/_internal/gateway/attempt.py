"""One attempt at one endpoint, from its connection to its end."""

import asyncio

from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.network import http1_client
from aspenfold._internal.observability import events

CONNECT_TIMEOUT_S = 0.3
"""How long to wait for an endpoint to accept: a cut link never does;
the longest round trip between zones is 3 ms."""

MAX_BUFFERED_BYTES = 4_194_304
"""Largest answer that is held until it is whole; as the body limit."""


class Attempt:
    """Sends a call to one endpoint, and takes what comes back."""

    def __init__(
        self,
        *,
        core: core_module.Core,
        call: call_module.Call,
        history: outcome.History,
        endpoint: directory.Endpoint,
    ) -> None:
        self._core = core
        self._names = core.header_names
        self._call = call
        self._history = history
        self._endpoint = endpoint

    async def run(self) -> outcome.AttemptResult:
        """Make the attempt and keep the books of its endpoint."""
        endpoint = self._endpoint
        events.emit(
            events.Event.ATTEMPT_OPENED,
            call=self._call.id,
            number=self._history.attempts_sent + 1,
            endpoint=endpoint.name,
            pressure=round(endpoint.pressure, 2),
            left_ms=self._call.remaining_ms,
            plan=self._core.plan_version,
        )
        endpoint.in_flight += 1
        try:
            async with asyncio.timeout(self._call.remaining.total_seconds()):
                end = await self._connect_and_send()
        except TimeoutError:
            end = outcome.AttemptResult.TIMED_OUT
        finally:
            endpoint.in_flight -= 1
        self._judge(end)
        return end

    async def _connect_and_send(self) -> outcome.AttemptResult:
        listing = self._endpoint.listing
        try:
            connection = await http1_client.connect(
                listing.host, listing.port, CONNECT_TIMEOUT_S
            )
        except http1_client.NotConnected:
            self._history.unreachable += 1
            return outcome.AttemptResult.NOT_SENT
        try:
            return await self._send(connection)
        finally:
            connection.close()

    async def _send(
        self, connection: http1_client.Connection
    ) -> outcome.AttemptResult:
        history = self._history
        request = self._call.request
        headers = self._headers()
        earlier = history.may_have_run
        history.attempts_sent += 1
        history.may_have_run = True
        try:
            connection.send(
                request.method, request.target, headers, request.body
            )
            head = await self._head(connection)
            end = self._judge_head(head)
            if end in outcome.NOT_RUN:
                history.may_have_run = earlier
                return end
            if end is outcome.AttemptResult.LOST:
                return end
            if self._is_event_stream(head.status_code):
                return await self._relay(head, connection)
            return await self._take_whole(head, connection)
        except http1_client.ConnectionLost:
            return outcome.AttemptResult.LOST

    async def _head(
        self, connection: http1_client.Connection
    ) -> http1_client.ResponseHead:
        """Wait for the answer's head; a wait tells that a group runs."""
        if not self._core.outages.is_unavailable(self._endpoint):
            return await connection.read_head()
        loop = asyncio.get_running_loop()
        taken = loop.call_later(
            outage.REFUSAL_TIMEOUT.total_seconds(),
            self._core.outages.record_recovery,
            self._call.service,
            self._endpoint.group,
        )
        try:
            return await connection.read_head()
        finally:
            taken.cancel()

    def _headers(self) -> forwarding.Headers:
        call = self._call
        last_id = b''
        if self._history.head_delivered:
            last_id = call.splitter.last_id
        return self._core.forwarding.request_headers(
            call.request,
            endpoint=self._endpoint,
            organisation=call.organisation,
            left_ms=max(1, call.remaining_ms),
            last_event_id=last_id,
        )

    # -- the answer ------------------------------------------------------

    def _judge_head(
        self, head: http1_client.ResponseHead
    ) -> outcome.AttemptResult:
        """Return what the head alone tells: not run, lost or answered."""
        headers = list(head.headers)
        load = forwarding.header(headers, self._names.load)
        if load:
            told = forwarding.parse_load(load)
            if told is not None:
                self._endpoint.update_load(told)
        if head.status_code == 421:
            return outcome.AttemptResult.REPLACED
        if forwarding.header(headers, self._names.not_run):
            return self._declined()
        echoed = forwarding.header(headers, self._names.attempt_id)
        if echoed.decode('latin-1') != self._call.id:
            # An answer to some earlier request, come late.
            return outcome.AttemptResult.LOST
        return outcome.AttemptResult.ANSWERED

    def _declined(self) -> outcome.AttemptResult:
        """Tell an endpoint that is full from one whose group is down."""
        load = self._endpoint.load
        if load is None or not self._core.has_group(self._call.service):
            return outcome.AttemptResult.DECLINED
        if load.running + load.waiting < load.capacity:
            return outcome.AttemptResult.GROUP_UNAVAILABLE
        return outcome.AttemptResult.DECLINED

    def _is_event_stream(self, status: int) -> bool:
        kind = self._history.route.kind
        return kind is plan_module.Kind.STREAMING and status == 200

    async def _take_whole(
        self,
        head: http1_client.ResponseHead,
        connection: http1_client.Connection,
    ) -> outcome.AttemptResult:
        """Hold an answer until it is whole."""
        parts: list[bytes] = []
        size = 0
        while (data := await connection.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > MAX_BUFFERED_BYTES:
                return outcome.AttemptResult.LOST
        if self._history.head_delivered:
            # A resumed stream cannot go on with a failure's body.
            return outcome.AttemptResult.FAILED
        self._call.buffered_response = call_module.BufferedResponse(
            status=head.status_code,
            headers=list(head.headers),
            body=b''.join(parts),
        )
        if head.status_code < 500:
            return outcome.AttemptResult.ANSWERED
        return outcome.AttemptResult.FAILED

    async def _relay(
        self,
        head: http1_client.ResponseHead,
        connection: http1_client.Connection,
    ) -> outcome.AttemptResult:
        """Pass events on, each as soon as it is whole."""
        response, splitter = self._call.response, self._call.splitter
        splitter.discard_partial_event()
        while (data := await connection.read_data()) is not None:
            whole = splitter.feed(data)
            if whole:
                self._begin_stream(head)
                response.write(whole)
                await response.drain()
            if splitter.is_oversized:
                return outcome.AttemptResult.OVERSIZED
        self._begin_stream(head)
        if splitter.partial_event:
            response.write(splitter.partial_event)
        response.end()
        return outcome.AttemptResult.ANSWERED

    def _begin_stream(self, head: http1_client.ResponseHead) -> None:
        if self._history.head_delivered:
            return
        self._history.head_delivered = True
        self._core.outages.record_recovery(
            self._call.service, self._endpoint.group
        )
        headers = self._core.forwarding.response_headers(
            list(head.headers), length=None
        )
        self._core.metrics.latency(
            'first-event', self._call.organisation, self._call.age
        )
        self._call.response.start(head.status_code, headers)

    # -- what is learnt --------------------------------------------------

    def _judge(self, end: outcome.AttemptResult) -> None:
        """Learn about the endpoint from how the attempt ended."""
        now = self._core.clock.now()
        known = self._core.directory
        if end is outcome.AttemptResult.ANSWERED:
            known.record_success(self._endpoint)
        elif end is outcome.AttemptResult.NOT_SENT:
            known.record_unreachable(self._endpoint, now)
        elif end is outcome.AttemptResult.REPLACED:
            known.record_replacement(self._endpoint)
        elif end is outcome.AttemptResult.GROUP_UNAVAILABLE:
            self._core.outages.record_refusal(
                self._call.service, self._endpoint.group
            )
        elif self._core.has_group(self._call.service):
            # A rank's failure is its whole group's: none is better.
            return
        elif end in (outcome.AttemptResult.LOST, outcome.AttemptResult.FAILED):
            known.record_failure(self._endpoint, now)
