"""Finds out which endpoints ended, and under which requests.

What was sent to each start of an endpoint is in the ledger.  Signs of an end
are a lost connection, an address that accepts none, another start there or
under the same name, and what peers tell.  Whichever comes first, the requests
that the start had not answered become evidence.
"""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.gateway import call as call_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_connection
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import quarantine as quarantine_module
from aspenfold._internal.gateway import replacement_watch
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics

CLEARING_TIMEOUT = datetime.timedelta(milliseconds=300)
"""How long a request that lost its endpoint waits for other gateways to say
that its parts were answered: some of their updates."""

CLEARING_POLL_INTERVAL_S = 0.025

MAX_PROBES = 16
"""Connections to endpoints at once that only look whether they listen."""


class CrashWatch:
    """Turns ends of endpoints into evidence for the quarantine."""

    def __init__(
        self,
        *,
        endpoint_directory: directory.Directory,
        quarantine: quarantine_module.Quarantine,
        ledger: start_ledger.StartLedger,
        inquiry: replacement_watch.Inquiry,
        counters: metrics.Metrics,
        clock: clock_module.Clock,
    ) -> None:
        self._directory = endpoint_directory
        self._quarantine = quarantine
        self._ledger = ledger
        self._counters = counters
        self._clock = clock
        self._probes = asyncio.Semaphore(MAX_PROBES)
        self._tasks: set[asyncio.Task[object]] = set()
        self._checked: set[str] = set()
        self._closed = False
        self.replacements = replacement_watch.ReplacementWatch(
            endpoint_directory=endpoint_directory,
            ledger=ledger,
            inquiry=inquiry,
            clock=clock,
            spawn=self._spawn_unless_closed,
            on_ended=self._record_replaced,
        )
        endpoint_directory.observer = self.replacements

    def close(self) -> None:
        """Begin no further look: attempts are cancelled as the loop ends."""
        self._closed = True

    def begin(
        self,
        call: call_module.Call,
        endpoint: directory.Endpoint,
        withdraw: abc.Callable[[], None],
    ) -> None:
        """Record that a request is sent; ``withdraw`` closes its connection.

        It is called once another start has taken the endpoint's place.
        """
        call.begun = self._ledger.begin(
            call_id=call.id,
            incarnation=endpoint.listing.incarnation,
            request=call.fingerprints,
            withdraw=withdraw,
            now=self._clock.now(),
        )
        self._quarantine.record_sent(call.fingerprints)
        self._doubt(endpoint, call.begun.incarnation)

    def record_output(self, call: call_module.Call) -> None:
        """Record that an endpoint wrote a part of its answer."""
        begun = call.begun
        assert begun is not None
        had_outlived = begun.has_outlived
        self._ledger.record_output(begun, self._clock.now())
        if begun.has_outlived and not had_outlived:
            self._quarantine.record_progress(
                call.fingerprints, self._clock.now()
            )

    def abandon(
        self, call: call_module.Call, endpoint: directory.Endpoint
    ) -> None:
        """Record that an attempt stopped since its caller left."""
        if call.begun is None:
            return
        self._ledger.stop(call.begun, self._clock.now())
        self._doubt(endpoint, call.begun.incarnation)

    async def conclude(
        self,
        call: call_module.Call,
        endpoint: directory.Endpoint,
        result: outcome.AttemptResult,
    ) -> outcome.AttemptResult:
        """Return the result of an attempt, with what became of its endpoint.

        LOST becomes ENDED if the endpoint ended and the request may be the
        cause.
        """
        if result is outcome.AttemptResult.NOT_SENT:
            start = self._ledger.current(endpoint.listing.incarnation)
            self._doubt(endpoint, start)
        begun = call.begun
        if begun is None:
            return result
        if result in outcome.NOT_RUN:
            self._ledger.finish(begun)
            return result
        if result in outcome.WHOLE:
            self._ledger.finish(begun)
            if result is outcome.AttemptResult.ANSWERED:
                self._quarantine.record_answer(
                    call.fingerprints, self._clock.now()
                )
            else:
                self._quarantine.record_exposure(call.fingerprints)
            return result
        self._ledger.stop(begun, self._clock.now())
        if result is outcome.AttemptResult.LOST:
            return await self._explain_loss(call, endpoint, begun)
        self._doubt(endpoint, begun.incarnation)
        return result

    async def _explain_loss(
        self,
        call: call_module.Call,
        endpoint: directory.Endpoint,
        begun: start_ledger.BegunRequest,
    ) -> outcome.AttemptResult:
        request = call.fingerprints
        if self._quarantine.is_held(request):
            # Withdrawn, or one of those that are known to end endpoints.
            self._doubt(endpoint, begun.incarnation)
            return outcome.AttemptResult.ENDED
        if not begun.has_ended:
            look = self._look(
                endpoint,
                begun.incarnation,
                call_id=call.id,
                ended_at=self._clock.now(),
            )
            # It goes on if the caller leaves.
            await asyncio.shield(self._spawn(look))
        if not begun.has_ended:
            if begun.output_duration is not None and not begun.has_outlived:
                self._quarantine.record_survival(request)
            return outcome.AttemptResult.LOST
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

    def _spawn(
        self, work: abc.Coroutine[None, None, object]
    ) -> asyncio.Task[object]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _spawn_unless_closed(
        self, work: abc.Coroutine[None, None, None]
    ) -> None:
        if self._closed:
            work.close()
            return
        self._spawn(work)

    def _doubt(self, endpoint: directory.Endpoint, start: str) -> None:
        """Look, in the background, whether a start of an endpoint ended."""
        if self._closed or start in self._checked:
            return
        if self._ledger.time_to_check(start, self._clock.now()) is None:
            return
        self._checked.add(start)
        task = self._spawn(self._check(endpoint, start))
        task.add_done_callback(lambda _: self._checked.discard(start))

    async def _check(self, endpoint: directory.Endpoint, start: str) -> None:
        """Look whenever the start was silent for long enough."""
        while True:
            delay = self._ledger.time_to_check(start, self._clock.now())
            if delay is None:
                return
            if delay:
                await asyncio.sleep(delay.total_seconds())
            else:
                await self._look(endpoint, start)

    async def _look(
        self,
        endpoint: directory.Endpoint,
        start: str,
        *,
        call_id: str = '',
        ended_at: datetime.datetime | None = None,
    ) -> None:
        """Look whether an endpoint accepts connections.

        If it does not, it ended at ``ended_at``; by default that is not known.
        """
        async with self._probes:
            is_listening = await endpoint_connection.is_listening(
                endpoint.listing
            )
        result = 'listening' if is_listening else 'not listening'
        self._counters.increment('endpoint_checks', result)
        events.emit(
            events.Event.ENDPOINT_CHECKED,
            call=call_id,
            endpoint=endpoint.name,
            result=result,
        )
        now = self._clock.now()
        if is_listening:
            self._ledger.record_sign(start, now)
            return
        self._directory.record_unreachable(endpoint, now)
        end = self._ledger.end(start)
        self._record_end(endpoint, start, end, 'not listening', at=ended_at)

    def _record_replaced(
        self,
        endpoint: directory.Endpoint,
        start: str,
        end: start_ledger.StartEnd,
    ) -> None:
        self._record_end(endpoint, start, end, 'replaced')

    def _record_end(
        self,
        endpoint: directory.Endpoint,
        start: str,
        end: start_ledger.StartEnd,
        sign: str,
        *,
        at: datetime.datetime | None = None,
    ) -> None:
        """Make the end of a start evidence, and log who was there."""
        for begun in end.begun:
            self._log_end(begun, endpoint, sign)
        suspects = end.suspects()
        if suspects and not endpoint.leaving:
            self._quarantine.record_crash(
                start, suspects, self._clock.now(), at=at or end.alive_at()
            )

    def _log_end(
        self,
        begun: start_ledger.BegunRequest,
        endpoint: directory.Endpoint,
        sign: str,
    ) -> None:
        duration = begun.output_duration
        self._counters.increment('endpoint_ends', endpoint.listing.service)
        events.emit(
            events.Event.ENDPOINT_ENDED,
            call=begun.call_id,
            endpoint=endpoint.name,
            sign=sign,
            leaving=endpoint.leaving,
            output_ms=None
            if duration is None
            else clock_module.to_ms(duration),
            fingerprints=begun.find_suspects(),
        )
