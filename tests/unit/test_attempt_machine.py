"""An agent runs an attempt at most once, and never after "not run"."""

import datetime

from aspenfold_standins import sim as sim_module
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from aspenfold._internal.attempts import actions
from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames

TICKET_LIFETIME = datetime.timedelta(minutes=10)
TICKETED = frozenset('cd')
ATTEMPTS = st.sampled_from(['a', 'b', 'c', 'd'])
Outcome = exceptions.Outcome


class AttemptMachine(stateful.RuleBasedStateMachine):
    """Streams open and close in any order; the endpoint answers or fails."""

    def __init__(self) -> None:
        super().__init__()
        self.kernel = agent_kernel.AgentKernel(
            incarnation='me', capacity=2, answer_memory=40
        )
        self.now = sim_module.START
        self.stream_id = 0
        self.expires: dict[str, datetime.datetime] = {}
        self.deadlines: dict[str, datetime.datetime] = {}
        self.sent: list[str] = []
        self.reported_not_run: set[str] = set()
        self.open_streams: set[int] = set()
        self.unfinished: set[str] = set()

    def _apply(self, result: list[actions.Action]) -> None:
        for action in result:
            match action:
                case actions.CallEndpoint(request=request):
                    self.sent.append(request.attempt_id)
                    self.unfinished.add(request.attempt_id)
                case actions.CloseAnswerStream(stream_id=stream_id):
                    self.open_streams.discard(stream_id)
                case actions.Send(stream_id=stream_id, frame=frame):
                    assert stream_id in self.open_streams
                    self._record_refusal(frame)

    def _record_refusal(self, frame: frames.Frame) -> None:
        if not isinstance(frame.body, frames.Failed):
            return
        failure = frame.body.failure
        if failure.code is exceptions.Code.KEY_REUSED:
            return
        if failure.outcome is Outcome.NOT_RUN:
            self.reported_not_run.add(frame.attempt_id)

    @stateful.rule(
        attempt=ATTEMPTS,
        mode=st.sampled_from(list(frames.Mode)),
        wait_ms=st.sampled_from([0, 100]),
        deadline_ms=st.sampled_from([-1, 500, 5000]),
        digest=st.sampled_from([b'x', b'x', b'y']),
    )
    def execute(
        self,
        attempt: str,
        mode: frames.Mode,
        wait_ms: int,
        deadline_ms: int,
        digest: bytes,
    ) -> None:
        """An entry sends or joins an attempt."""
        deadline = self.now + deadline_ms * sim_module.MILLISECOND
        if attempt in TICKETED:
            # Each submission has its own deadline within the ticket's life.
            mode = frames.Mode.RUN
            expires = self.expires.setdefault(
                attempt, self.now + TICKET_LIFETIME
            )
            if self.now > expires:
                return
            deadline = min(deadline, expires)
        else:
            # The deadline of a claimed attempt is that in the claim.
            deadline = self.deadlines.setdefault(attempt, deadline)
        self.stream_id += 1
        self.open_streams.add(self.stream_id)
        request = frames.AttemptRequest(
            attempt_id=attempt,
            incarnation='me',
            mode=mode,
            call_id='call',
            organisation='o',
            operation='job',
            priority='interactive',
            body=b'{}',
            digest=digest,
            repeatable=False,
            streamed=False,
            deadline=deadline,
            join_timeout=wait_ms * sim_module.MILLISECOND,
        )
        self._apply(self.kernel.execute(self.stream_id, request, self.now))

    @stateful.rule(data=st.data())
    def close(self, data: st.DataObject) -> None:
        """The reader of an answer stream disconnects."""
        if self.open_streams:
            stream_id = data.draw(st.sampled_from(sorted(self.open_streams)))
            self.open_streams.discard(stream_id)
            self._apply(self.kernel.on_stream_closed(stream_id))

    @stateful.rule(attempt=ATTEMPTS, size=st.integers(0, 30))
    def answer(self, attempt: str, size: int) -> None:
        """The endpoint answers completely."""
        if attempt not in self.unfinished:
            return
        self.unfinished.discard(attempt)
        self._apply(self.kernel.on_endpoint_items(attempt, (b'x' * size,)))
        self._apply(self.kernel.on_endpoint_ended(attempt, self.now))

    @stateful.rule(attempt=ATTEMPTS)
    def lose_answer(self, attempt: str) -> None:
        """The endpoint's answer is lost."""
        if attempt not in self.unfinished:
            return
        self.unfinished.discard(attempt)
        failure = exceptions.Failure(
            code=exceptions.Code.FATE_UNKNOWN, detail='lost'
        )
        self._apply(self.kernel.on_endpoint_failed(attempt, failure))

    @stateful.rule(ms=st.sampled_from([10, 150, 6000]))
    def tick(self, ms: int) -> None:
        """Time passes."""
        self.now += ms * sim_module.MILLISECOND
        self._apply(self.kernel.tick(self.now))

    @stateful.rule()
    def forget(self) -> None:
        """Enough time passes for finished attempts to be forgotten."""
        self.now += agent_kernel.ATTEMPT_RETENTION + datetime.timedelta(
            seconds=10
        )
        self._apply(self.kernel.tick(self.now))

    @stateful.invariant()
    def sent_at_most_once(self) -> None:
        """No attempt is sent to the endpoint twice."""
        assert len(self.sent) == len(set(self.sent))

    @stateful.invariant()
    def not_run_is_never_sent(self) -> None:
        """No attempt that was reported "not run" is sent to the endpoint."""
        assert not self.reported_not_run & set(self.sent)

    @stateful.invariant()
    def running_count_is_correct(self) -> None:
        """The kernel counts the attempts that the endpoint runs."""
        assert self.kernel.running == len(self.unfinished)


TestAttemptMachine = AttemptMachine.TestCase
TestAttemptMachine.pytestmark = [pytest.mark.explores]
