"""One attempt to serve a request at an endpoint."""

import asyncio
import datetime

from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import response_end as end_module
from aspenfold._internal.gateway import statement_recorder
from aspenfold._internal.network import http1_client
from aspenfold._internal.observability import events

CONNECT_TIMEOUT_S = 0.3
"""Timeout of a connection to an endpoint, in seconds.  A cut link never
accepts; the longest round trip between zones is 3 ms."""

MAX_BUFFERED_BYTES = 4_194_304
"""Size limit of a response that is buffered until it is complete."""


class Attempt:
    """Sends a request to one endpoint and receives the response."""

    def __init__(
        self,
        *,
        core: core_module.Core,
        call: call_module.Call,
        history: outcome.History,
        endpoint: directory.Endpoint,
    ) -> None:
        self._core = core
        self._call = call
        self._history = history
        self._endpoint = endpoint

    async def run(self) -> outcome.AttemptResult:
        """Make the attempt and update the state of the endpoint."""
        endpoint = self._endpoint
        events.emit(
            events.Event.ATTEMPT_OPENED,
            call=self._call.id,
            number=self._history.attempts_sent + 1,
            endpoint=endpoint.name,
            pressure=round(endpoint.pressure, 2),
            rate_limit=self._core.rate_limits.rate(endpoint.name),
            left_ms=self._call.remaining_ms,
            plan=self._core.plan_version,
        )
        self._call.response_end = None
        endpoint.in_flight += 1
        try:
            async with asyncio.timeout(self._call.remaining.total_seconds()):
                result = await self._connect_and_send()
        except TimeoutError:
            result = outcome.AttemptResult.TIMED_OUT
        finally:
            endpoint.in_flight -= 1
        self._update_state(result)
        return result

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
            if self._endpoint.is_withdrawn(self._core.clock.now()):
                return outcome.AttemptResult.WITHDRAWN
            return await self._send_request(connection)
        finally:
            self._record_end(connection)
            connection.close()

    def _record_end(self, connection: http1_client.Connection) -> None:
        if connection.body_end is None:
            return
        splitter = self._call.splitter
        end = end_module.ResponseEnd(
            body_end=connection.body_end,
            events=splitter.events,
            unfinished_bytes=len(splitter.partial_event),
        )
        self._call.response_end = end
        self._core.metrics.increment('response_ends', end.kind)

    async def _send_request(
        self, connection: http1_client.Connection
    ) -> outcome.AttemptResult:
        history = self._history
        request = self._call.request
        headers = self._headers()
        may_have_run_before = history.may_have_run
        sent_at = self._core.clock.now()
        history.attempts_sent += 1
        history.may_have_run = True
        try:
            connection.send(
                request.method, request.target, headers, request.body
            )
            head = await self._read_head(connection)
            result = self._evaluate_head(head, sent_at)
            if result in outcome.NOT_RUN:
                history.may_have_run = may_have_run_before
                return result
            if result is outcome.AttemptResult.LOST:
                return result
            if self._is_event_stream(head.status_code):
                return await self._forward_stream(head, connection)
            return await self._buffer_response(head, connection)
        except http1_client.ConnectionLost:
            return outcome.AttemptResult.LOST

    async def _read_head(
        self, connection: http1_client.Connection
    ) -> http1_client.ResponseHead:
        """Return the head of the response.

        An unavailable group refuses requests quickly, so a recovery is
        recorded if the head takes longer than that.
        """
        if not self._core.outages.is_unavailable(self._endpoint):
            return await connection.read_head()
        loop = asyncio.get_running_loop()
        recovery_timer = loop.call_later(
            outage.REFUSAL_TIMEOUT.total_seconds(),
            self._core.outages.record_recovery,
            self._call.service,
            self._endpoint.group,
        )
        try:
            return await connection.read_head()
        finally:
            recovery_timer.cancel()

    def _headers(self) -> forwarding.Headers:
        call = self._call
        last_event_id = b''
        if self._history.head_delivered:
            last_event_id = call.splitter.last_id
        return self._core.forwarding.request_headers(
            call.request,
            endpoint=self._endpoint,
            organisation=call.organisation,
            remaining_ms=max(1, call.remaining_ms),
            last_event_id=last_event_id,
        )

    def _evaluate_head(
        self, head: http1_client.ResponseHead, sent_at: datetime.datetime
    ) -> outcome.AttemptResult:
        """Return the result that the head implies and update the endpoint.

        The result is ANSWERED if the body has to be read.
        """
        statement = self._core.decode_statement(list(head.headers))
        self._core.statement_recorder.record(
            self._endpoint,
            statement,
            status=head.status_code,
            attempt_id=self._call.id,
            sent_at=sent_at,
            now=self._core.clock.now(),
        )
        if head.status_code == statement_recorder.MISDIRECTED_STATUS:
            return outcome.AttemptResult.REPLACED
        if statement.not_run:
            statement_recorder.log_refusal(
                self._call.id, self._endpoint, statement, head.status_code
            )
            return self._refusal_result(statement)
        if statement.attempt_id != self._call.id:
            # The response belongs to another request.
            return outcome.AttemptResult.LOST
        return outcome.AttemptResult.ANSWERED

    def _refusal_result(
        self, statement: endpoint_statement.EndpointStatement
    ) -> outcome.AttemptResult:
        """Return the result of a refusal.

        A rank blames another one if its group is unavailable.
        """
        is_rank = self._core.has_group(self._call.service)
        if is_rank and statement.blames_other(self._endpoint.name):
            return outcome.AttemptResult.GROUP_UNAVAILABLE
        return outcome.AttemptResult.DECLINED

    def _is_event_stream(self, status: int) -> bool:
        kind = self._history.route.kind
        return kind is plan_module.Kind.STREAMING and status == 200

    async def _buffer_response(
        self,
        head: http1_client.ResponseHead,
        connection: http1_client.Connection,
    ) -> outcome.AttemptResult:
        """Buffer a response until it is complete."""
        parts: list[bytes] = []
        size = 0
        while (data := await connection.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > MAX_BUFFERED_BYTES:
                return outcome.AttemptResult.LOST
        if self._history.head_delivered:
            # An error response cannot continue a stream.
            return outcome.AttemptResult.FAILED
        self._call.buffered_response = call_module.BufferedResponse(
            status=head.status_code,
            headers=list(head.headers),
            body=b''.join(parts),
        )
        if head.status_code < 500:
            return outcome.AttemptResult.ANSWERED
        return outcome.AttemptResult.FAILED

    async def _forward_stream(
        self,
        head: http1_client.ResponseHead,
        connection: http1_client.Connection,
    ) -> outcome.AttemptResult:
        """Forward the events of a stream, each once it is complete."""
        response, splitter = self._call.response, self._call.splitter
        splitter.discard_partial_event()
        while (data := await connection.read_data()) is not None:
            complete = splitter.feed(data)
            if complete:
                self._start_stream(head)
                response.write(complete)
                await response.drain()
            if splitter.is_oversized:
                return outcome.AttemptResult.OVERSIZED
        self._start_stream(head)
        if splitter.partial_event:
            response.write(splitter.partial_event)
        response.end()
        return outcome.AttemptResult.ANSWERED

    def _start_stream(self, head: http1_client.ResponseHead) -> None:
        if self._history.head_delivered:
            return
        self._history.head_delivered = True
        self._core.outages.record_recovery(
            self._call.service, self._endpoint.group
        )
        headers = self._core.forwarding.response_headers(
            list(head.headers), length=None
        )
        self._core.metrics.record_latency(
            'first-event', self._call.organisation, self._call.age
        )
        self._call.response.start(head.status_code, headers)

    def _update_state(self, result: outcome.AttemptResult) -> None:
        """Update the state of the endpoint or its group."""
        now = self._core.clock.now()
        endpoints = self._core.directory
        if result is outcome.AttemptResult.ANSWERED:
            endpoints.record_success(self._endpoint)
        elif result is outcome.AttemptResult.NOT_SENT:
            endpoints.record_unreachable(self._endpoint, now)
        elif result is outcome.AttemptResult.REPLACED:
            endpoints.record_replacement(self._endpoint)
        elif result is outcome.AttemptResult.GROUP_UNAVAILABLE:
            self._core.outages.record_refusal(
                self._call.service, self._endpoint.group
            )
        elif self._core.has_group(self._call.service):
            # A failure affects all ranks of the group alike.
            return
        elif result in (
            outcome.AttemptResult.LOST,
            outcome.AttemptResult.FAILED,
        ):
            endpoints.record_failure(self._endpoint, now)
