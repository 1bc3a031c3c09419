"""The decisions of an agent about attempts, without I/O.

The kernel gets every event of its process by a method call and returns
the actions that the process has to perform.

An attempt is *sealed* when this incarnation of the agent will never run
it.  It is sealed before "not run" is sent to an entry, so that this stays
true if the request to run the attempt arrives later.
"""

import collections
import dataclasses
import datetime

from aspenfold._internal.attempts import actions
from aspenfold._internal.attempts import attempt as attempt_module
from aspenfold._internal.attempts import reserved_slots as slots_module
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import fleet

ATTEMPT_RETENTION = datetime.timedelta(hours=1)
"""How long an attempt is remembered after its deadline."""

MAX_ACCEPTED_RATIO = 4
"""Attempts accepted at a time, as a multiple of the endpoint's capacity."""

INTERACTIVE = fleet.Priority.INTERACTIVE.value

State = attempt_module.State
Code = exceptions.Code


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingJoin:
    """An answer stream that waits for the request to run its attempt."""

    stream_id: int
    request: frames.AttemptRequest
    expires_at: datetime.datetime


class AgentKernel:
    """The attempts of one incarnation of an agent.

    ``capacity`` is how many attempts the endpoint runs concurrently;
    ``answer_memory`` is how many bytes of finished answers are kept.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        capacity: int,
        answer_memory: int,
    ) -> None:
        self.incarnation = incarnation
        self.draining = False
        self.drain_token = 0
        self._draining_permanently = False
        self._capacity = capacity
        self._answer_memory = answer_memory
        self._answer_bytes = 0
        self._attempts: dict[str, attempt_module.Attempt] = {}
        self._finished: collections.deque[str] = collections.deque()
        self._by_deadline: collections.deque[str] = collections.deque()
        self._pending_joins: list[_PendingJoin] = []
        self._streams: dict[int, str] = {}
        self._running = 0
        self._reservation = slots_module.InteractiveReservation(
            capacity=capacity
        )
        self._now: datetime.datetime | None = None

    @property
    def load(self) -> frames.Load:
        """The load that is sent with each frame and report."""
        return frames.Load(
            running=min(self._running, self._capacity),
            waiting=max(0, self._running - self._capacity),
            capacity=self._capacity,
            draining=self.draining,
        )

    @property
    def running(self) -> int:
        """Number of attempts that the endpoint has not finished."""
        return self._running

    @property
    def open_streams(self) -> int:
        """Number of answer streams that have not ended."""
        return len(self._streams) + len(self._pending_joins)

    @property
    def may_exit(self) -> bool:
        """Whether no attempt runs and no answer stream is open."""
        return not self._running and not self.open_streams

    def execute(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        """Run or join an attempt; its frames are sent on the stream.

        A known attempt is not run again: the stream is attached to it.
        """
        now = self._advance_clock(now)
        if request.incarnation != self.incarnation:
            return self._refuse(
                stream_id,
                request,
                Code.INCARNATION_GONE,
                f'this is incarnation {self.incarnation}',
            )
        attempt = self._attempts.get(request.attempt_id)
        if attempt is not None:
            return self._attach(stream_id, request, attempt)
        if request.deadline + ATTEMPT_RETENTION < now:
            # It may have run and been forgotten.
            return self._refuse(
                stream_id, request, Code.FATE_UNKNOWN, 'the attempt is too old'
            )
        if request.mode is frames.Mode.JOIN:
            return self._join(stream_id, request, now)
        return self._run(stream_id, request, now)

    def on_stream_closed(self, stream_id: int) -> list[actions.Action]:
        """Handle the end of an answer stream by its reader."""
        self._pending_joins = [
            join for join in self._pending_joins if join.stream_id != stream_id
        ]
        attempt_id = self._streams.pop(stream_id, None)
        if attempt_id is not None:
            self._attempts[attempt_id].streams.pop(stream_id, None)
        return []

    def cancel(self, attempt_id: str) -> list[actions.Action]:
        """Cancel a running attempt if it is repeatable and has no reader."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.state is not State.RUNNING:
            return []
        if not attempt.repeatable or attempt.streams:
            return []
        return [actions.CancelEndpoint(attempt_id=attempt_id)]

    def on_drain_order(self, order: frames.DrainOrder) -> None:
        """Apply an entry's drain order unless its token is outdated.

        The order to a leaving host is applied whatever its token.
        """
        if order.leaving:
            self.drain_permanently()
        if self._draining_permanently or order.token < self.drain_token:
            return
        self.draining = order.drain
        self.drain_token = order.token

    def drain_permanently(self) -> None:
        """Drain, and ignore any later order to accept work again."""
        self.draining = True
        self._draining_permanently = True

    def on_endpoint_head(
        self, attempt_id: str, head: frames.Head
    ) -> list[actions.Action]:
        """Handle the start of the endpoint's answer."""
        attempt = self._attempts[attempt_id]
        if attempt.state is not State.RUNNING:
            return []
        attempt.head = head
        return [
            self._send(stream_id, attempt, head)
            for stream_id in attempt.streams
        ]

    def on_endpoint_items(
        self, attempt_id: str, items: tuple[bytes, ...]
    ) -> list[actions.Action]:
        """Handle the next items of the endpoint's answer."""
        attempt = self._attempts[attempt_id]
        if attempt.state is not State.RUNNING:
            return []
        attempt.add(items)
        result: list[actions.Action] = []
        for stream_id in attempt.streams:
            result.extend(self._send_new_items(stream_id, attempt))
        return result

    def on_endpoint_ended(
        self, attempt_id: str, now: datetime.datetime
    ) -> list[actions.Action]:
        """Handle the end of the endpoint's complete answer."""
        attempt = self._attempts[attempt_id]
        if attempt.state is not State.RUNNING:
            return []
        attempt.state = State.DONE
        self._finish(attempt)
        return self._end_streams(attempt, attempt.end())

    def on_endpoint_failed(
        self, attempt_id: str, failure: exceptions.Failure
    ) -> list[actions.Action]:
        """Handle an attempt without a complete answer.

        The code of ``failure`` tells whether the attempt ran.
        """
        attempt = self._attempts[attempt_id]
        if attempt.state is not State.RUNNING:
            return []
        attempt.state = State.FAILED
        attempt.failure = failure
        if failure.outcome is exceptions.Outcome.NOT_RUN:
            attempt.state = State.SEALED
        self._finish(attempt)
        return self._end_streams(attempt, frames.Failed(failure=failure))

    def tick(self, now: datetime.datetime) -> list[actions.Action]:
        """Seal attempts whose pending joins expired; forget old attempts."""
        now = self._advance_clock(now)
        due = [join for join in self._pending_joins if join.expires_at <= now]
        self._pending_joins = [
            join for join in self._pending_joins if join.expires_at > now
        ]
        result: list[actions.Action] = []
        for pending in due:
            if pending.request.attempt_id not in self._attempts:
                self._seal(pending.request)
            attempt = self._attempts[pending.request.attempt_id]
            result.extend(
                self._attach(pending.stream_id, pending.request, attempt)
            )
        self._forget_expired(now)
        return result

    def abort_running(
        self, failure: exceptions.Failure
    ) -> list[actions.Action]:
        """Cancel every running attempt and end its answer with ``failure``."""
        result: list[actions.Action] = []
        for attempt in list(self._attempts.values()):
            if attempt.state is State.RUNNING:
                result.append(
                    actions.CancelEndpoint(attempt_id=attempt.attempt_id)
                )
                result.extend(
                    self.on_endpoint_failed(attempt.attempt_id, failure)
                )
        return result

    def _advance_clock(self, now: datetime.datetime) -> datetime.datetime:
        # An attempt must not be forgotten early, so time never goes back.
        self._now = max(now, self._now or now)
        return self._now

    def _run(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        refusal = self._refusal_code(request, now)
        if refusal is not None:
            self._seal(request)
            return self._refuse(stream_id, request, refusal, '')
        attempt = self._remember(request, State.RUNNING)
        self._running += 1
        if attempt.interactive:
            self._reservation.on_started(now)
        result: list[actions.Action] = [actions.CallEndpoint(request=request)]
        result.extend(self._attach(stream_id, request, attempt))
        result.extend(self._attach_pending_joins(attempt))
        return result

    def _refusal_code(
        self, request: frames.AttemptRequest, now: datetime.datetime
    ) -> Code | None:
        if self.draining:
            return Code.DRAINING
        if request.deadline <= now:
            return Code.DEADLINE_PASSED
        if self._running >= self._capacity * MAX_ACCEPTED_RATIO:
            return Code.OVERLOADED
        if request.priority == INTERACTIVE:
            return None
        limit = self._reservation.max_other_calls(now)
        others = self._running - self._reservation.running
        if limit is not None and others >= limit:
            return Code.OVERLOADED
        return None

    def _join(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        if request.join_timeout:
            self._pending_joins.append(
                _PendingJoin(
                    stream_id=stream_id,
                    request=request,
                    expires_at=now + request.join_timeout,
                )
            )
            return []
        attempt = self._seal(request)
        return self._attach(stream_id, request, attempt)

    def _seal(self, request: frames.AttemptRequest) -> attempt_module.Attempt:
        attempt = self._remember(request, State.SEALED)
        attempt.failure = exceptions.Failure(
            code=Code.SEALED,
            detail='the attempt did not run and never will',
        )
        return attempt

    def _remember(
        self, request: frames.AttemptRequest, state: State
    ) -> attempt_module.Attempt:
        attempt = attempt_module.Attempt(
            attempt_id=request.attempt_id,
            digest=request.digest,
            repeatable=request.repeatable,
            deadline=request.deadline,
            interactive=request.priority == INTERACTIVE,
            resume_from=request.resume_from,
            state=state,
        )
        self._attempts[request.attempt_id] = attempt
        self._by_deadline.append(request.attempt_id)
        return attempt

    def _attach_pending_joins(
        self, attempt: attempt_module.Attempt
    ) -> list[actions.Action]:
        result: list[actions.Action] = []
        for pending in self._pending_joins:
            if pending.request.attempt_id == attempt.attempt_id:
                result.extend(
                    self._attach(pending.stream_id, pending.request, attempt)
                )
        self._pending_joins = [
            join
            for join in self._pending_joins
            if join.request.attempt_id != attempt.attempt_id
        ]
        return result

    def _attach(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        attempt: attempt_module.Attempt,
    ) -> list[actions.Action]:
        if attempt.state is State.SEALED:
            assert attempt.failure is not None
            return self._refuse(
                stream_id,
                request,
                attempt.failure.code,
                attempt.failure.detail,
            )
        if attempt.digest != request.digest:
            return self._refuse(
                stream_id,
                request,
                Code.KEY_REUSED,
                'the key was used for a request with other content',
            )
        if attempt.state is State.FAILED:
            assert attempt.failure is not None
            return self._refuse(
                stream_id,
                request,
                attempt.failure.code,
                attempt.failure.detail,
            )
        if (
            attempt.state is State.ANSWER_DISCARDED
            or request.next_item < attempt.resume_from
        ):
            return self._refuse(
                stream_id,
                request,
                Code.ANSWER_EXPIRED,
                'the attempt ran, but the requested items are not stored',
            )
        attempt.streams[stream_id] = request.next_item
        self._streams[stream_id] = attempt.attempt_id
        result: list[actions.Action] = []
        if attempt.head is not None:
            result.append(self._send(stream_id, attempt, attempt.head))
        result.extend(self._send_new_items(stream_id, attempt))
        if attempt.state is State.DONE:
            result.extend(self._end_streams(attempt, attempt.end()))
        return result

    def _send_new_items(
        self, stream_id: int, attempt: attempt_module.Attempt
    ) -> list[actions.Action]:
        first = attempt.streams[stream_id]
        items = attempt.items_from(first)
        if not items:
            return []
        attempt.streams[stream_id] = attempt.next_item
        body = frames.Items(first=first, items=items)
        return [self._send(stream_id, attempt, body)]

    def _end_streams(
        self, attempt: attempt_module.Attempt, body: frames.Body
    ) -> list[actions.Action]:
        result: list[actions.Action] = []
        for stream_id in attempt.streams:
            self._streams.pop(stream_id, None)
            result.append(self._send(stream_id, attempt, body))
            result.append(actions.CloseAnswerStream(stream_id=stream_id))
        attempt.streams.clear()
        return result

    def _send(
        self,
        stream_id: int,
        attempt: attempt_module.Attempt,
        body: frames.Body,
    ) -> actions.Send:
        frame = frames.Frame(
            attempt_id=attempt.attempt_id, load=self.load, body=body
        )
        return actions.Send(stream_id=stream_id, frame=frame)

    def _refuse(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        code: Code,
        detail: str,
    ) -> list[actions.Action]:
        failure = exceptions.Failure(
            code=code, detail=detail or code.name.lower().replace('_', ' ')
        )
        frame = frames.Frame(
            attempt_id=request.attempt_id,
            load=self.load,
            body=frames.Failed(failure=failure),
        )
        return [
            actions.Send(stream_id=stream_id, frame=frame),
            actions.CloseAnswerStream(stream_id=stream_id),
        ]

    def _finish(self, attempt: attempt_module.Attempt) -> None:
        self._running -= 1
        if attempt.interactive:
            self._reservation.on_ended()
        if attempt.state is not State.DONE:
            attempt.items.clear()
            attempt.size = 0
        self._answer_bytes += attempt.size
        self._finished.append(attempt.attempt_id)
        while self._answer_bytes > self._answer_memory and self._finished:
            oldest = self._attempts.get(self._finished.popleft())
            if oldest is not None and not oldest.streams:
                self._answer_bytes -= oldest.size
                if oldest.state is State.DONE:
                    oldest.discard_answer()

    def _forget_expired(self, now: datetime.datetime) -> None:
        self._forget_attempts(now)
        while self._finished and self._finished[0] not in self._attempts:
            self._finished.popleft()

    def _forget_attempts(self, now: datetime.datetime) -> None:
        # The queue is only roughly in order of deadlines.  A late one at
        # its front delays forgetting.
        while self._by_deadline:
            attempt = self._attempts[self._by_deadline[0]]
            if (
                attempt.state is State.RUNNING
                or attempt.deadline + ATTEMPT_RETENTION >= now
            ):
                return
            self._by_deadline.popleft()
            self._answer_bytes -= attempt.size
            del self._attempts[attempt.attempt_id]
