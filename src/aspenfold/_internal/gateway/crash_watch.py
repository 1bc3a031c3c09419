"""Finds out whether endpoints ended under the requests that they had."""

import asyncio
import datetime

from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_connection
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import quarantine as quarantine_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics

CRASH_DELAY = datetime.timedelta(seconds=1)
"""Time after its first output in which a request may crash an endpoint; one
that is answered for longer is not the cause."""

MIN_SILENCE = datetime.timedelta(seconds=1)
"""Time without output after which an endpoint may have ended silently."""

CLEARING_TIMEOUT = datetime.timedelta(milliseconds=300)
"""How long a request that lost its endpoint waits for other gateways to say
that its parts were answered: some of their updates."""

CLEARING_POLL_INTERVAL_S = 0.025

MAX_PROBES = 16
"""Probes of silent endpoints at once."""


class CrashWatch:
    """Turns attempts that ended early into evidence for the quarantine."""

    def __init__(
        self,
        *,
        endpoint_directory: directory.Directory,
        quarantine: quarantine_module.Quarantine,
        counters: metrics.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self._directory = endpoint_directory
        self._quarantine = quarantine
        self._counters = counters
        self._clock = clock
        self._probes: set[asyncio.Task[None]] = set()

    def record_answer(self, call: call_module.Call) -> None:
        """Record that an endpoint has answered a request."""
        self._quarantine.record_answer(call.fingerprints, self._clock.now())

    def record_progress(self, call: call_module.Call) -> None:
        """Record that an endpoint has written an answer for long enough."""
        if call.is_cleared or call.output_duration < CRASH_DELAY:
            return
        call.is_cleared = True
        self.record_answer(call)

    async def explain_loss(
        self, call: call_module.Call, endpoint: directory.Endpoint
    ) -> outcome.AttemptResult:
        """Return the result of an attempt whose connection was lost.

        It is ENDED if the endpoint ended and the request may be the cause,
        else LOST.
        """
        lost_at = self._clock.now()
        request = call.fingerprints
        if self._quarantine.is_held(request):
            # Withdrawn, or one of those that are known to end endpoints.
            return outcome.AttemptResult.ENDED
        written = _time_written(call, lost_at)
        if await self._is_listening(call, endpoint):
            if written is not None and written >= CRASH_DELAY:
                self._quarantine.record_answer(request, lost_at)
            elif written is not None:
                self._quarantine.record_survival(request)
            return outcome.AttemptResult.LOST
        self._record_end(call, endpoint, written, lost_at)
        if endpoint.leaving or await self._is_cleared(request):
            return outcome.AttemptResult.LOST
        return outcome.AttemptResult.ENDED

    async def _is_cleared(
        self, request: fingerprints.RequestFingerprints
    ) -> bool:
        """Return whether a request is soon known not to be the cause."""
        deadline = self._clock.now() + CLEARING_TIMEOUT
        while not self._quarantine.may_retry(request, self._clock.now()):
            if not request.parts or self._clock.now() >= deadline:
                return False
            await asyncio.sleep(CLEARING_POLL_INTERVAL_S)
        return True

    def watch_silence(
        self, call: call_module.Call, endpoint: directory.Endpoint
    ) -> None:
        """Look, in the background, whether a silent endpoint has ended.

        The attempt ended by its deadline or since the caller left.
        """
        silent_since = call.last_output_at or call.sent_at
        if silent_since is None:
            return
        if self._clock.now() - silent_since < MIN_SILENCE:
            self._log_check(call, endpoint, 'not silent for long enough')
            return
        if len(self._probes) >= MAX_PROBES:
            self._log_check(call, endpoint, 'too many probes')
            return
        task = asyncio.get_running_loop().create_task(
            self._explain_silence(call, endpoint, silent_since)
        )
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _explain_silence(
        self,
        call: call_module.Call,
        endpoint: directory.Endpoint,
        silent_since: datetime.datetime,
    ) -> None:
        written = _time_written(call, silent_since)
        if not await self._is_listening(call, endpoint):
            self._record_end(call, endpoint, written, silent_since)

    async def _is_listening(
        self, call: call_module.Call, endpoint: directory.Endpoint
    ) -> bool:
        listening = await endpoint_connection.is_listening(endpoint.listing)
        self._log_check(
            call, endpoint, 'listening' if listening else 'not listening'
        )
        return listening

    def _log_check(
        self, call: call_module.Call, endpoint: directory.Endpoint, result: str
    ) -> None:
        self._counters.increment('endpoint_checks', result)
        events.emit(
            events.Event.ENDPOINT_CHECKED,
            call=call.id,
            endpoint=endpoint.name,
            result=result,
        )

    def _record_end(
        self,
        call: call_module.Call,
        endpoint: directory.Endpoint,
        written: datetime.timedelta | None,
        at: datetime.datetime,
    ) -> None:
        """Record the end of an endpoint ``at`` this time.

        It had ``written`` the answer for that long, None for no output.
        """
        service = endpoint.listing.service
        self._counters.increment('endpoint_ends', service)
        events.emit(
            events.Event.ENDPOINT_ENDED,
            call=call.id,
            endpoint=endpoint.name,
            leaving=endpoint.leaving,
            output_ms=None if written is None else clock_module.to_ms(written),
            fingerprints=call.fingerprints.all(),
        )
        self._directory.record_unreachable(endpoint, self._clock.now())
        if endpoint.leaving or (
            written is not None and written >= CRASH_DELAY
        ):
            return
        incarnation = endpoint.listing.incarnation
        self._quarantine.record_crash(incarnation, call.fingerprints, at)


def _time_written(
    call: call_module.Call, until: datetime.datetime
) -> datetime.timedelta | None:
    """Return for how long an answer was written, None for no output."""
    if call.first_output_at is None:
        return None
    return until - call.first_output_at
