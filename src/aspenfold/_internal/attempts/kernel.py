"""The agent's decisions: run, attach, tombstone, refuse, drain.

An attempt is *sealed* when this incarnation has promised never to run
it.  It is sealed before anyone is told "not run", which is why that
answer stays true when the attempt's own message arrives later.
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
"""How long past its deadline an attempt is remembered."""

MAX_ACCEPTED_RATIO = 4
"""Attempts accepted, as a multiple of what the endpoint runs at once."""

URGENT = fleet.Priority.INTERACTIVE.value

State = attempt_module.State
Code = exceptions.Code


@dataclasses.dataclass(kw_only=True, slots=True)
class _Joiner:
    """A leg that waits for an attempt to arrive."""

    stream_id: int
    request: frames.AttemptRequest
    until: datetime.datetime


class AgentKernel:
    """All attempts of one incarnation; typed calls in, actions out."""

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
        self._leaving = False
        self._capacity = capacity
        self._answer_memory = answer_memory
        self._answer_bytes = 0
        self._attempts: dict[str, attempt_module.Attempt] = {}
        self._finished: collections.deque[str] = collections.deque()
        self._by_deadline: collections.deque[str] = collections.deque()
        self._joiners: list[_Joiner] = []
        self._streams: dict[int, str] = {}
        self._running = 0
        self._room = slots_module.InteractiveReservation(capacity=capacity)
        self._now: datetime.datetime | None = None

    @property
    def load(self) -> frames.Load:
        """The load that rides on every frame and report."""
        return frames.Load(
            running=min(self._running, self._capacity),
            waiting=max(0, self._running - self._capacity),
            capacity=self._capacity,
            draining=self.draining,
        )

    @property
    def running(self) -> int:
        """Attempts that the endpoint has and has not finished."""
        return self._running

    @property
    def open_streams(self) -> int:
        """Legs on which a caller still waits."""
        return len(self._streams) + len(self._joiners)

    @property
    def may_exit(self) -> bool:
        """Whether a leaving agent has nothing left to finish."""
        return not self._running and not self.open_streams

    # -- from entries ----------------------------------------------------

    def execute(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        """Take an attempt, or a question about one."""
        now = self._advance(now)
        if request.incarnation != self.incarnation:
            return self._refuse(
                stream_id,
                request,
                Code.INCARNATION_GONE,
                f'this is incarnation {self.incarnation}',
            )
        known = self._attempts.get(request.attempt_id)
        if known is not None:
            return self._attach(stream_id, request, known)
        if request.deadline + ATTEMPT_RETENTION < now:
            # It may have been forgotten, so its fate cannot be told.
            return self._refuse(
                stream_id, request, Code.FATE_UNKNOWN, 'the attempt is too old'
            )
        if request.mode is frames.Mode.JOIN:
            return self._join(stream_id, request, now)
        return self._run(stream_id, request, now)

    def on_stream_closed(self, stream_id: int) -> list[actions.Action]:
        """The reader of ``leg`` went away."""
        self._joiners = [j for j in self._joiners if j.stream_id != stream_id]
        attempt_id = self._streams.pop(stream_id, None)
        if attempt_id is not None:
            self._attempts[attempt_id].streams.pop(stream_id, None)
        return []

    def cancel(self, attempt_id: str) -> list[actions.Action]:
        """The caller went away; only repeatable work is stopped."""
        known = self._attempts.get(attempt_id)
        if known is None or known.state is not State.RUNNING:
            return []
        if not known.repeatable or known.streams:
            return []
        return [actions.CancelEndpoint(attempt_id=attempt_id)]

    def on_drain_order(self, order: frames.DrainOrder) -> None:
        """Take an entry's word on new work; tokens fence old orders."""
        if order.leaving:
            self.drain_permanently()
        if self._leaving or order.token < self.drain_token:
            return
        self.draining = order.drain
        self.drain_token = order.token

    def drain_permanently(self) -> None:
        """The host goes away: drain, and never take work again."""
        self.draining = True
        self._leaving = True

    # -- from the endpoint -----------------------------------------------

    def on_endpoint_head(
        self, attempt_id: str, head: frames.Head
    ) -> list[actions.Action]:
        """The endpoint began to answer."""
        known = self._attempts[attempt_id]
        if known.state is not State.RUNNING:
            return []
        known.head = head
        return [
            self._send(stream_id, known, head) for stream_id in known.streams
        ]

    def on_endpoint_items(
        self, attempt_id: str, items: tuple[bytes, ...]
    ) -> list[actions.Action]:
        """The endpoint gave the next items of its answer."""
        known = self._attempts[attempt_id]
        if known.state is not State.RUNNING:
            return []
        known.add(items)
        result: list[actions.Action] = []
        for stream_id in known.streams:
            result.extend(self._catch_up(stream_id, known))
        return result

    def on_endpoint_ended(
        self, attempt_id: str, now: datetime.datetime
    ) -> list[actions.Action]:
        """The endpoint's answer is whole."""
        known = self._attempts[attempt_id]
        if known.state is not State.RUNNING:
            return []
        known.state = State.DONE
        self._finish(known)
        return self._end_streams(known, known.end())

    def on_endpoint_failed(
        self, attempt_id: str, failure: exceptions.Failure
    ) -> list[actions.Action]:
        """The endpoint gave no whole answer; ``failure`` tells its fate."""
        known = self._attempts[attempt_id]
        if known.state is not State.RUNNING:
            return []
        known.state = State.FAILED
        known.failure = failure
        if failure.outcome is exceptions.Outcome.NOT_RUN:
            known.state = State.SEALED
        self._finish(known)
        return self._end_streams(known, frames.Refused(failure=failure))

    # -- time ------------------------------------------------------------

    def tick(self, now: datetime.datetime) -> list[actions.Action]:
        """Seal attempts whose joiners waited long enough; forget old ones."""
        now = self._advance(now)
        due = [j for j in self._joiners if j.until <= now]
        self._joiners = [j for j in self._joiners if j.until > now]
        result: list[actions.Action] = []
        for joiner in due:
            if joiner.request.attempt_id not in self._attempts:
                self._seal(joiner.request)
            known = self._attempts[joiner.request.attempt_id]
            result.extend(
                self._attach(joiner.stream_id, joiner.request, known)
            )
        self._forget(now)
        return result

    def abort_running(
        self, failure: exceptions.Failure
    ) -> list[actions.Action]:
        """The drain limit passed: end every running attempt in a code."""
        result: list[actions.Action] = []
        for known in list(self._attempts.values()):
            if known.state is State.RUNNING:
                result.append(
                    actions.CancelEndpoint(attempt_id=known.attempt_id)
                )
                result.extend(
                    self.on_endpoint_failed(known.attempt_id, failure)
                )
        return result

    # -- parts -----------------------------------------------------------

    def _advance(self, now: datetime.datetime) -> datetime.datetime:
        # Forgetting rests on this clock not going back.
        self._now = max(now, self._now or now)
        return self._now

    def _run(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        refusal = self._reason_to_refuse(request, now)
        if refusal is not None:
            self._seal(request)
            return self._refuse(stream_id, request, refusal, '')
        known = self._remember(request, State.RUNNING)
        self._running += 1
        if known.urgent:
            self._room.started(now)
        result: list[actions.Action] = [actions.CallEndpoint(request=request)]
        result.extend(self._attach(stream_id, request, known))
        result.extend(self._attach_joiners(known))
        return result

    def _reason_to_refuse(
        self, request: frames.AttemptRequest, now: datetime.datetime
    ) -> Code | None:
        if self.draining:
            return Code.DRAINING
        if request.deadline <= now:
            return Code.DEADLINE_PASSED
        if self._running >= self._capacity * MAX_ACCEPTED_RATIO:
            return Code.OVERLOADED
        if request.priority == URGENT:
            return None
        bound = self._room.max_other_calls(now)
        others = self._running - self._room.running
        if bound is not None and others >= bound:
            return Code.OVERLOADED
        return None

    def _join(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        if request.join_wait:
            self._joiners.append(
                _Joiner(
                    stream_id=stream_id,
                    request=request,
                    until=now + request.join_wait,
                )
            )
            return []
        known = self._seal(request)
        return self._attach(stream_id, request, known)

    def _seal(self, request: frames.AttemptRequest) -> attempt_module.Attempt:
        known = self._remember(request, State.SEALED)
        known.failure = exceptions.Failure(
            code=Code.SEALED,
            detail='the attempt did not run and never will',
        )
        return known

    def _remember(
        self, request: frames.AttemptRequest, state: State
    ) -> attempt_module.Attempt:
        known = attempt_module.Attempt(
            attempt_id=request.attempt_id,
            digest=request.digest,
            repeatable=request.repeatable,
            deadline=request.deadline,
            urgent=request.priority == URGENT,
            resume_from=request.resume_from,
            state=state,
        )
        self._attempts[request.attempt_id] = known
        self._by_deadline.append(request.attempt_id)
        return known

    def _attach_joiners(
        self, known: attempt_module.Attempt
    ) -> list[actions.Action]:
        result: list[actions.Action] = []
        for joiner in self._joiners:
            if joiner.request.attempt_id == known.attempt_id:
                result.extend(
                    self._attach(joiner.stream_id, joiner.request, known)
                )
        self._joiners = [
            j
            for j in self._joiners
            if j.request.attempt_id != known.attempt_id
        ]
        return result

    def _attach(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        known: attempt_module.Attempt,
    ) -> list[actions.Action]:
        if known.state is State.SEALED:
            assert known.failure is not None
            return self._refuse(
                stream_id, request, known.failure.code, known.failure.detail
            )
        if known.digest != request.digest:
            return self._refuse(
                stream_id, request, Code.KEY_REUSED, 'the content differs'
            )
        if known.state is State.FAILED:
            assert known.failure is not None
            return self._refuse(
                stream_id, request, known.failure.code, known.failure.detail
            )
        if (
            known.state is State.DROPPED
            or request.next_item < known.resume_from
        ):
            return self._refuse(
                stream_id,
                request,
                Code.ANSWER_EXPIRED,
                'it ran; its answer is gone',
            )
        known.streams[stream_id] = request.next_item
        self._streams[stream_id] = known.attempt_id
        result: list[actions.Action] = []
        if known.head is not None:
            result.append(self._send(stream_id, known, known.head))
        result.extend(self._catch_up(stream_id, known))
        if known.state is State.DONE:
            result.extend(self._end_streams(known, known.end()))
        return result

    def _catch_up(
        self, stream_id: int, known: attempt_module.Attempt
    ) -> list[actions.Action]:
        first = known.streams[stream_id]
        items = known.since(first)
        if not items:
            return []
        known.streams[stream_id] = known.next_item
        body = frames.Items(first=first, items=items)
        return [self._send(stream_id, known, body)]

    def _end_streams(
        self, known: attempt_module.Attempt, body: frames.Body
    ) -> list[actions.Action]:
        result: list[actions.Action] = []
        for stream_id in known.streams:
            self._streams.pop(stream_id, None)
            result.append(self._send(stream_id, known, body))
            result.append(actions.CloseAnswerStream(stream_id=stream_id))
        known.streams.clear()
        return result

    def _send(
        self, stream_id: int, known: attempt_module.Attempt, body: frames.Body
    ) -> actions.Send:
        frame = frames.Frame(
            attempt_id=known.attempt_id, load=self.load, body=body
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
            body=frames.Refused(failure=failure),
        )
        return [
            actions.Send(stream_id=stream_id, frame=frame),
            actions.CloseAnswerStream(stream_id=stream_id),
        ]

    def _finish(self, known: attempt_module.Attempt) -> None:
        self._running -= 1
        if known.urgent:
            self._room.ended()
        if known.state is not State.DONE:
            known.items.clear()
            known.size = 0
        self._answer_bytes += known.size
        self._finished.append(known.attempt_id)
        while self._answer_bytes > self._answer_memory and self._finished:
            oldest = self._attempts.get(self._finished.popleft())
            if oldest is not None and not oldest.streams:
                self._answer_bytes -= oldest.size
                if oldest.state is State.DONE:
                    oldest.drop_answer()

    def _forget(self, now: datetime.datetime) -> None:
        self._forget_attempts(now)
        while self._finished and self._finished[0] not in self._attempts:
            self._finished.popleft()

    def _forget_attempts(self, now: datetime.datetime) -> None:
        # Deadlines are not quite in order; one that blocks the front
        # only delays forgetting.
        while self._by_deadline:
            known = self._attempts[self._by_deadline[0]]
            if (
                known.state is State.RUNNING
                or known.deadline + ATTEMPT_RETENTION >= now
            ):
                return
            self._by_deadline.popleft()
            self._answer_bytes -= known.size
            del self._attempts[known.attempt_id]
