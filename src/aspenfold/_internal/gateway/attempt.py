"""One attempt to serve a request at an endpoint."""

import asyncio
import datetime

from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_connection
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import response_end
from aspenfold._internal.gateway import response_receiver
from aspenfold._internal.gateway import statement_recorder
from aspenfold._internal.network import http1_client
from aspenfold._internal.observability import events


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
            parts=self._call.fingerprints.parts,
        )
        self._call.begin_attempt()
        endpoint.in_flight += 1
        try:
            async with asyncio.timeout(self._call.remaining.total_seconds()):
                result = await self._connect_and_send()
        except TimeoutError:
            result = outcome.AttemptResult.TIMED_OUT
        except asyncio.CancelledError:
            self._core.crash_watch.abandon(self._call, endpoint)
            raise
        finally:
            endpoint.in_flight -= 1
        self._update_state(result)
        return await self._core.crash_watch.conclude(
            self._call, endpoint, result
        )

    async def _connect_and_send(self) -> outcome.AttemptResult:
        try:
            connection = await endpoint_connection.connect(
                self._endpoint.listing
            )
        except http1_client.NotConnected:
            self._history.unreachable += 1
            return outcome.AttemptResult.NOT_SENT
        try:
            now = self._core.clock.now()
            if self._endpoint.is_withdrawn(now):
                return outcome.AttemptResult.WITHDRAWN
            if self._core.quarantine.is_held(self._call.fingerprints):
                return outcome.AttemptResult.QUARANTINED
            return await self._send_request(connection)
        finally:
            connection.close()

    async def _send_request(
        self, connection: http1_client.Connection
    ) -> outcome.AttemptResult:
        history = self._history
        request = self._call.request
        headers = self._headers()
        may_have_run_before = history.may_have_run
        sent_at = self._core.clock.now()
        self._core.crash_watch.begin(
            self._call, self._endpoint, connection.close
        )
        history.attempts_sent += 1
        history.may_have_run = True
        try:
            connection.send(
                request.method, request.target, headers, request.body
            )
            with self._core.quarantine.waiting(
                self._call.fingerprints, connection.close
            ):
                head = await self._read_head(connection)
            result = self._evaluate_head(head, sent_at)
            if result in outcome.NOT_RUN:
                history.may_have_run = may_have_run_before
                return result
            if result is outcome.AttemptResult.LOST:
                return result
            return await self._receiver(connection).receive(head)
        except http1_client.ConnectionLost as exc:
            if self._call.response_end is None:
                # The response had no body yet.
                end = response_end.ResponseEnd(body_end=exc.end)
                response_receiver.record_end(self._core, self._call, end)
            return outcome.AttemptResult.LOST

    def _receiver(
        self, connection: http1_client.Connection
    ) -> response_receiver.ResponseReceiver:
        return response_receiver.ResponseReceiver(
            core=self._core,
            call=self._call,
            history=self._history,
            endpoint=self._endpoint,
            connection=connection,
        )

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
            last_event_id = call.stream.last_id
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
            return self._misdirection_result(statement)
        if statement.not_run:
            statement_recorder.log_refusal(
                self._call.id, self._endpoint, statement, head.status_code
            )
            return self._refusal_result(statement)
        if statement.attempt_id != self._call.id:
            # The response belongs to another request.
            return outcome.AttemptResult.LOST
        return outcome.AttemptResult.ANSWERED

    def _misdirection_result(
        self, statement: endpoint_statement.EndpointStatement
    ) -> outcome.AttemptResult:
        """Return the result of a 421, and have its meaning found out.

        It may be for a condition of the caller, which the endpoint doesn't
        meet.  It is for the gateway's own, that the endpoint is the one meant,
        if another one says that it has responded.
        """
        is_conditional = self._core.is_conditional(self._call.request)
        statement_recorder.log_misdirection(
            self._call.id,
            self._endpoint,
            statement,
            is_conditional=is_conditional,
        )
        replacements = self._core.crash_watch.replacements
        if statement.names_other(self._endpoint.name):
            replacements.record_other_responder(self._endpoint)
            return outcome.AttemptResult.REPLACED
        if not statement.responder and not is_conditional:
            replacements.record_unnamed_refusal(self._endpoint)
        return outcome.AttemptResult.MISDIRECTED

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

    def _update_state(self, result: outcome.AttemptResult) -> None:
        """Update the state of the endpoint or its group."""
        now = self._core.clock.now()
        endpoints = self._core.directory
        if result is outcome.AttemptResult.ANSWERED:
            endpoints.record_success(self._endpoint)
        elif result is outcome.AttemptResult.NOT_SENT:
            endpoints.record_unreachable(self._endpoint, now)
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
