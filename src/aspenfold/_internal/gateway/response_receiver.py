"""Receives the body of one response: forwards a stream, buffers the rest."""

from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import response_end
from aspenfold._internal.network import event_splitter
from aspenfold._internal.network import http1_client

MAX_BUFFERED_BYTES = 4_194_304
"""Size limit of a response that is buffered until it is complete."""


class ResponseReceiver:
    """Receives the body of one response after its head."""

    def __init__(
        self,
        *,
        core: core_module.Core,
        call: call_module.Call,
        history: outcome.History,
        endpoint: directory.Endpoint,
        connection: http1_client.Connection,
    ) -> None:
        self._core = core
        self._call = call
        self._history = history
        self._endpoint = endpoint
        self._connection = connection

    async def receive(
        self, head: http1_client.ResponseHead
    ) -> outcome.AttemptResult:
        """Receive the body and return the result of the attempt."""
        headers = list(head.headers)
        encoding = forwarding.header(headers, b'content-encoding')
        if encoding not in (b'', b'identity'):
            # Encoded bytes are no events.
            return await self._buffer(head, None)
        content_type = forwarding.header(headers, b'content-type')
        is_event_stream = event_splitter.is_event_stream(
            content_type.decode('latin-1')
        )
        if (
            self._history.route.kind is plan_module.Kind.STREAMING
            and head.status_code == 200
            and (is_event_stream or not content_type)
        ):
            return await self._forward(head)
        splitter = event_splitter.EventSplitter() if is_event_stream else None
        return await self._buffer(head, splitter)

    async def _buffer(
        self,
        head: http1_client.ResponseHead,
        splitter: event_splitter.EventSplitter | None,
    ) -> outcome.AttemptResult:
        """Buffer a body until it ends.

        ``splitter`` is None unless the body is an event stream.
        """
        body = bytearray()
        hold = self._core.response_budget.open()
        self._call.replace_hold(hold)
        try:
            while (data := await self._connection.read_data()) is not None:
                self._core.crash_watch.record_output(self._call)
                await hold.grow(len(data))
                body += data
                if len(body) > MAX_BUFFERED_BYTES:
                    return outcome.AttemptResult.LOST
                if splitter is not None:
                    splitter.feed(data)
        finally:
            end = self._record_end(splitter)
        if end is None or not end.is_whole:
            return outcome.AttemptResult.LOST
        if self._history.head_delivered:
            # An error response cannot continue a stream.
            return outcome.AttemptResult.FAILED
        self._call.buffered_response = call_module.BufferedResponse(
            status=head.status_code,
            headers=list(head.headers),
            body=bytes(body),
        )
        if head.status_code < 500:
            return outcome.AttemptResult.ANSWERED
        return outcome.AttemptResult.FAILED

    async def _forward(
        self, head: http1_client.ResponseHead
    ) -> outcome.AttemptResult:
        """Forward the events of a stream, each once it is whole."""
        response, stream = self._call.response, self._call.stream
        stream.begin_attempt()
        expects_events = self._expects_events()
        try:
            while (data := await self._connection.read_data()) is not None:
                events = stream.feed(data)
                if events:
                    self._core.crash_watch.record_output(self._call)
                    self._start_stream(head)
                    response.write(events)
                    await response.drain()
                if stream.splitter.is_oversized:
                    return outcome.AttemptResult.OVERSIZED
        finally:
            end = self._record_end(
                stream.splitter,
                lacks_events=expects_events and not stream.has_new_events,
            )
        if end is None or not end.is_whole:
            return outcome.AttemptResult.LOST
        self._start_stream(head)
        if stream.splitter.unfinished:
            # Comments may follow the last event.
            response.write(stream.splitter.unfinished)
        response.end()
        return outcome.AttemptResult.ANSWERED

    def _expects_events(self) -> bool:
        """Return whether a stream without any event misses some.

        A caller that goes on behind an event may have had the last one.
        """
        last_event_id = self._call.request.header(
            self._core.header_names.last_event_id
        )
        return self._history.head_delivered or not last_event_id

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

    def _record_end(
        self,
        splitter: event_splitter.EventSplitter | None,
        *,
        lacks_events: bool = False,
    ) -> response_end.ResponseEnd | None:
        """Record how the body ended; return None if it has not."""
        body_end = self._connection.body_end
        if body_end is None:
            return None
        end = response_end.ResponseEnd(body_end=body_end)
        if splitter is not None:
            end = response_end.ResponseEnd(
                body_end=body_end,
                events=self._call.stream.events,
                unfinished_bytes=len(splitter.unfinished),
                is_inside_event=splitter.is_inside_event,
                lacks_events=lacks_events,
            )
        record_end(self._core, self._call, end)
        return end


def record_end(
    core: core_module.Core,
    call: call_module.Call,
    end: response_end.ResponseEnd,
) -> None:
    """Keep the end of the attempt's response for the log, and count it."""
    call.response_end = end
    core.metrics.increment('response_ends', end.kind)
