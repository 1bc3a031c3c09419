"""State machine of one call, from admission to its final answer.

A call that must not be repeated is not sent again once an attempt may
have started.  The flow reports "not run" only if each attempt of the
call was never sent, or was sealed by its agent and so never runs.
"""

import datetime
import enum

from aspenfold._internal.calls import actions
from aspenfold._internal.calls import attempt as attempt_module
from aspenfold._internal.calls import call as call_module
from aspenfold._internal.calls import context as context_module
from aspenfold._internal.calls import refusals
from aspenfold._internal.claims import table as claim_table
from aspenfold._internal.claims import ticket as ticket_module
from aspenfold._internal.delivery import assembler
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import records

CLAIM_TIMEOUT = datetime.timedelta(seconds=2)
"""Time after which a call whose claim is undecided fails."""

JOIN_TIMEOUT = datetime.timedelta(seconds=1)
"""Time that an agent waits for a joined attempt before sealing it."""

INITIAL_QUERY_DELAY = datetime.timedelta(milliseconds=50)
"""Delay before the first query for an attempt's outcome; it doubles."""

MAX_QUERY_DELAY = datetime.timedelta(seconds=1)

Code = exceptions.Code
Outcome = exceptions.Outcome


class State(enum.Enum):
    """States of a call's flow.

    QUERYING waits to query the outcome of a lost attempt, WAITING to retry.
    """

    NEW = 'new'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    QUERYING = 'querying'
    WAITING = 'waiting'
    ENDED = 'ended'


class CallFlow:
    """The state machine of one call.

    ``wake_at`` is when :meth:`on_tick` is due, ``scheduled_at`` the time
    for which the kernel has set a timer, and ``endpoint`` the name of the
    endpoint of the newest answer stream.
    """

    def __init__(
        self, *, call: call_module.Call, context: context_module.CallContext
    ) -> None:
        self.call = call
        self.state = State.NEW
        self.wake_at = call.deadline
        self.scheduled_at: datetime.datetime | None = None
        self.endpoint = ''
        self._context = context
        self._assembler = assembler.AnswerAssembler()
        self._attempt: attempt_module.Attempt | None = None
        self._attempts_made = 0
        self._stream_id: int | None = None
        self._may_have_run = False
        self._head_sent = False
        self._last_failure: exceptions.Failure | None = None
        self._ticket: ticket_module.Ticket | None = None
        self._scoped_key = ''
        self._settled_position = 0
        self._supersedes = ''
        self._holder_offset = 0
        # Set only for this call's own attempts: the owner of another
        # call's sealed attempt may claim the key again and run.
        self._holds_unexecuted_key = False
        if call.key:
            self._scoped_key = claim_table.scoped_key(
                call.organisation, call.key
            )

    @property
    def scoped_key(self) -> str:
        """The key as written in claims; empty for a call without a key."""
        return self._scoped_key

    def start(self, now: datetime.datetime) -> list[actions.Action]:
        """Claim the key, use the ticket, or make the first attempt."""
        if self.call.deadline <= now:
            return self._fail(
                _failure(Code.DEADLINE_PASSED, 'the deadline has passed')
            )
        if not self.call.key:
            return self._make_attempt(now)
        if ticket_module.is_ticket(self.call.key):
            return self._use_ticket(now)
        self._settled_position = self._claims().settled_position(now)
        return self._claim(now, supersedes='')

    def on_claims(self, now: datetime.datetime) -> list[actions.Action]:
        """Handle new claims for the key."""
        if self.state is not State.CLAIMING:
            return []
        if not self._claims().has_all_claims(now):
            return self._fail(self._claims_incomplete())
        holder = self._claims().holder(self._scoped_key)
        assert self._attempt is not None
        if holder is None:
            return []
        if holder.claim.attempt_id == self._attempt.attempt_id:
            return self._open_stream(now)
        if holder.claim.attempt_id == self._supersedes:
            return []
        return self._join_holder(holder, now)

    def on_frame(
        self, frame: frames.Frame, now: datetime.datetime
    ) -> list[actions.Action]:
        """Handle a frame of the current answer stream."""
        match frame.body:
            case frames.Head():
                return self._on_head(frame.body)
            case frames.Items():
                return self._on_items(frame, frame.body, now)
            case frames.End():
                self._assembler.add_end(frame.attempt_id, frame.body)
                return self._check_complete(now)
            case frames.Failed():
                return self._on_failed(frame.body.failure, now)

    def on_stream_lost(
        self, sent: bool, now: datetime.datetime
    ) -> list[actions.Action]:
        """Handle the loss of the current answer stream.

        ``sent``: the request may have reached the agent.
        """
        attempt = self._attempt
        assert attempt is not None
        self._stream_id = None
        if attempt.mode is frames.Mode.RUN and sent:
            attempt.sent = True
        if attempt.is_own and not attempt.sent:
            attempt.never_executes = True
            self._holds_unexecuted_key = True
            return self._retry_or_fail(
                _failure(
                    Code.ENDPOINT_UNREACHABLE,
                    f'endpoint {attempt.endpoint} cannot be reached',
                ),
                now,
            )
        lost = _failure(
            Code.ENDPOINT_LOST,
            f'the connection to endpoint {attempt.endpoint} was lost '
            'before the end of the answer',
        )
        if self.call.repeatable and not self.call.key:
            return self._retry_or_fail(lost, now)
        self._last_failure = lost
        return self._schedule_query(now)

    def on_tick(self, now: datetime.datetime) -> list[actions.Action]:
        """Run the timer that was due at :attr:`wake_at`."""
        if self.state is State.ENDED:
            return []
        if self.call.deadline <= now:
            return self._deadline_passed()
        if self.state is State.CLAIMING:
            return self._fail(
                _failure(
                    Code.LOG_UNAVAILABLE,
                    'the claim of the key was not decided in time',
                    retry_after=CLAIM_TIMEOUT,
                )
            )
        if self.state is State.QUERYING:
            return self._query_attempt(now)
        if self.state is State.WAITING:
            return self._start_retry(now)
        self.wake_at = self.call.deadline
        return []

    def on_caller_left(self) -> list[actions.Action]:
        """Handle a caller's disconnect.

        The attempt of a call with a key continues, for a resubmission.
        """
        result = self._close_stream()
        if self._attempt is not None and not self.call.key:
            result.extend(self._cancel())
        self.state = State.ENDED
        return result

    def _claims(self) -> claim_table.ClaimTable:
        return self._context.claims(self._scoped_key)

    def _claim(
        self, now: datetime.datetime, *, supersedes: str
    ) -> list[actions.Action]:
        if not self._context.log_up:
            return self._fail(
                _failure(
                    Code.LOG_UNAVAILABLE,
                    'the log service that decides keys is unavailable; '
                    'tickets work without it',
                    retry_after=CLAIM_TIMEOUT,
                )
            )
        if not self._claims().has_all_claims(now):
            return self._fail(self._claims_incomplete())
        holder = self._claims().holder(self._scoped_key)
        if holder is not None and holder.claim.attempt_id != supersedes:
            return self._join_holder(holder, now)
        attempt = self._new_attempt(now)
        if attempt is None:
            return self._fail(self._no_endpoint())
        self._attempt = attempt
        self._supersedes = supersedes
        self.state = State.CLAIMING
        self.wake_at = min(self.call.deadline, now + CLAIM_TIMEOUT)
        claim = records.Claim(
            key=self._scoped_key,
            digest=self.call.content_digest.hex(),
            attempt_id=attempt.attempt_id,
            endpoint=attempt.endpoint,
            incarnation=attempt.incarnation,
            deadline_ms=clock.to_unix_ms(attempt.deadline),
            supersedes=supersedes,
        )
        stream = self._context.claim_stream(self._scoped_key)
        return [actions.AppendClaim(stream=stream, claim=claim)]

    def _join_holder(
        self, holder: claim_table.Holder, now: datetime.datetime
    ) -> list[actions.Action]:
        """Join the attempt that holds the key.

        Fails the call if its content differs from that of the claim.
        """
        claim = holder.claim
        if claim.digest != self.call.content_digest.hex():
            return self._fail(
                exceptions.Failure(
                    code=Code.KEY_REUSED,
                    detail='the key was used for a request with other content',
                    field='Idempotency-Key',
                    remedy='use a new key for a new request',
                )
            )
        self._holder_offset = holder.offset
        self._attempt = attempt_module.Attempt(
            attempt_id=claim.attempt_id,
            endpoint=claim.endpoint,
            incarnation=claim.incarnation,
            deadline=clock.from_unix_ms(claim.deadline_ms),
            is_own=False,
            mode=frames.Mode.JOIN,
            sent=True,
        )
        return self._open_stream(now, join_timeout=JOIN_TIMEOUT)

    def _use_ticket(self, now: datetime.datetime) -> list[actions.Action]:
        ticket = ticket_module.parse(
            self.call.key, self.call.organisation, self._context.system_key
        )
        if ticket is None:
            return self._fail(
                exceptions.Failure(
                    code=Code.BAD_TICKET,
                    detail='the ticket is invalid or belongs to another '
                    'organisation',
                    field='Idempotency-Key',
                    remedy='get a new ticket with POST /v1/tickets',
                )
            )
        self._ticket = ticket
        if ticket.expires <= now:
            return self._fail(
                _failure(Code.KEY_NOT_JUDGEABLE, 'the ticket has expired')
            )
        self._attempt = attempt_module.Attempt(
            attempt_id='t' + ticket.nonce,
            endpoint=ticket.endpoint,
            incarnation=ticket.incarnation,
            deadline=min(self.call.deadline, ticket.expires),
            is_own=True,
            mode=frames.Mode.RUN,
            sent=True,
        )
        return self._open_stream(now)

    def _make_attempt(self, now: datetime.datetime) -> list[actions.Action]:
        attempt = self._new_attempt(now)
        if attempt is None:
            return self._fail(self._no_endpoint())
        self._attempt = attempt
        return self._open_stream(now)

    def _new_attempt(
        self, now: datetime.datetime
    ) -> attempt_module.Attempt | None:
        avoid = self._attempt.endpoint if self._attempt else ''
        chosen = self._context.choose_endpoint(self.call, avoid, now)
        if chosen is None:
            return None
        self._attempts_made += 1
        resume_from = self._assembler.next_item if self.call.repeatable else 0
        return attempt_module.Attempt(
            attempt_id=self._context.new_id(),
            endpoint=chosen.name,
            incarnation=chosen.incarnation,
            deadline=self.call.deadline,
            is_own=True,
            mode=frames.Mode.RUN,
            resume_from=resume_from,
        )

    def _open_stream(
        self,
        now: datetime.datetime,
        *,
        join_timeout: datetime.timedelta = datetime.timedelta(0),
    ) -> list[actions.Action]:
        """Open an answer stream to the current attempt's agent.

        Fails the attempt if the agent was restarted or removed.
        """
        attempt = self._attempt
        assert attempt is not None
        endpoint = self._context.endpoint(attempt.endpoint)
        # An empty incarnation is unknown; the agent then checks it.
        if endpoint is None or endpoint.incarnation not in (
            '',
            attempt.incarnation,
        ):
            return self._on_failed(
                _failure(
                    Code.INCARNATION_GONE,
                    f'endpoint {attempt.endpoint} was removed, or its agent '
                    'restarted, after it was chosen',
                ),
                now,
            )
        self.state = State.RUNNING
        self.wake_at = self.call.deadline
        self._supersedes = ''
        self._holds_unexecuted_key = False
        self.endpoint = attempt.endpoint
        self._assembler.begin_attempt(attempt.attempt_id)
        self._stream_id = self._context.new_stream_id(self.call.call_id)
        request = frames.AttemptRequest(
            attempt_id=attempt.attempt_id,
            incarnation=attempt.incarnation,
            mode=attempt.mode,
            call_id=self.call.call_id,
            organisation=self.call.organisation,
            operation=self.call.operation,
            priority=self.call.priority.value,
            body=self.call.body,
            digest=self.call.content_digest,
            repeatable=self.call.repeatable,
            streamed=self.call.streamed,
            deadline=attempt.deadline,
            next_item=self._assembler.next_item,
            resume_from=attempt.resume_from,
            join_timeout=join_timeout,
        )
        return [
            actions.OpenAnswerStream(
                stream_id=self._stream_id, host=endpoint.host, request=request
            )
        ]

    def _schedule_query(self, now: datetime.datetime) -> list[actions.Action]:
        attempt = self._attempt
        assert attempt is not None
        delay = min(
            MAX_QUERY_DELAY, INITIAL_QUERY_DELAY * 2**attempt.query_count
        )
        attempt.query_count += 1
        self.state = State.QUERYING
        self.wake_at = min(self.call.deadline, now + delay)
        return []

    def _query_attempt(self, now: datetime.datetime) -> list[actions.Action]:
        """Query the outcome of an attempt that may have started.

        A ticketed attempt is sent again: its agent runs it at most
        once.  Any other is joined, which seals it if the agent has not
        seen it.
        """
        assert self._attempt is not None
        if self._ticket is None:
            self._attempt.mode = frames.Mode.JOIN
        return self._open_stream(now)

    def _retry_or_fail(
        self, failure: exceptions.Failure, now: datetime.datetime
    ) -> list[actions.Action]:
        """Schedule a retry if that is safe and allowed, or fail the call."""
        self._last_failure = failure
        attempt = self._attempt
        assert attempt is not None
        if not attempt.never_executes:
            self._may_have_run = True
        if not self._may_retry():
            return self._fail(failure)
        delay = self._context.retry_delay(self.call, self._attempts_made + 1)
        if delay is None or now + delay >= self.call.deadline:
            return self._fail(failure)
        self.state = State.WAITING
        self.wake_at = now + delay
        return self._cancel() if attempt.sent else []

    def _may_retry(self) -> bool:
        attempt = self._attempt
        assert attempt is not None
        if self._ticket is not None:
            return False
        if (
            not attempt.is_own
            and self._holder_offset >= self._settled_position
        ):
            # The key may have been claimed after this call was sent, by
            # a later submission that may have been answered with "not
            # run".  This call must not run in its place.
            return False
        return self.call.repeatable or attempt.never_executes

    def _start_retry(self, now: datetime.datetime) -> list[actions.Action]:
        assert self._attempt is not None
        if self.call.key:
            return self._claim(now, supersedes=self._attempt.attempt_id)
        return self._make_attempt(now)

    def _on_head(self, head: frames.Head) -> list[actions.Action]:
        if self._head_sent:
            return []
        self._head_sent = True
        return [actions.DeliverHead(call_id=self.call.call_id, head=head)]

    def _on_items(
        self,
        frame: frames.Frame,
        body: frames.Items,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        first = self._assembler.next_item
        ready = self._assembler.add_items(frame.attempt_id, body)
        result: list[actions.Action] = []
        if ready:
            result.append(
                actions.DeliverItems(
                    call_id=self.call.call_id, first=first, items=tuple(ready)
                )
            )
        result.extend(self._check_complete(now))
        return result

    def _check_complete(self, now: datetime.datetime) -> list[actions.Action]:
        match self._assembler.status:
            case assembler.AnswerStatus.INCOMPLETE:
                return []
            case assembler.AnswerStatus.CORRUPT:
                return self._fail(
                    _failure(
                        Code.ANSWER_BROKEN,
                        'the answer does not match its digest',
                    )
                )
            case assembler.AnswerStatus.COMPLETE:
                self._context.on_complete_answer(self.call, self.endpoint, now)
                self.state = State.ENDED
                result = self._close_stream()
                result.append(
                    actions.Finish(
                        call_id=self.call.call_id,
                        total=self._assembler.next_item,
                    )
                )
                return result

    def _on_failed(
        self, failure: exceptions.Failure, now: datetime.datetime
    ) -> list[actions.Action]:
        attempt = self._attempt
        assert attempt is not None
        result = self._close_stream()
        if failure.code is Code.KEY_REUSED:
            result.extend(self._fail(failure))
            return result
        if failure.outcome is Outcome.NOT_RUN:
            attempt.never_executes = True
            self._holds_unexecuted_key = attempt.is_own
        result.extend(self._retry_or_fail(failure, now))
        return result

    def _deadline_passed(self) -> list[actions.Action]:
        if self._head_sent:
            return self._fail(
                _failure(
                    Code.ANSWER_CUT, 'the deadline passed during the answer'
                )
            )
        attempt = self._attempt
        if attempt is not None and self.state in (
            State.RUNNING,
            State.QUERYING,
        ):
            self._may_have_run = True
        return self._fail(
            _failure(Code.DEADLINE_PASSED, 'the deadline has passed')
        )

    def _fail(self, failure: exceptions.Failure) -> list[actions.Action]:
        result = self._close_stream()
        if self.state is State.RUNNING:
            result.extend(self._cancel())
        self.state = State.ENDED
        result.append(
            actions.Fail(
                call_id=self.call.call_id, failure=self._adjust_code(failure)
            )
        )
        return result

    def _adjust_code(self, failure: exceptions.Failure) -> exceptions.Failure:
        evidence = refusals.Evidence(
            has_key=bool(self.call.key),
            holds_unexecuted_key=self._holds_unexecuted_key,
            may_have_run=self._may_have_run,
            answer_started=self._head_sent,
        )
        return refusals.adjust_code(failure, evidence)

    def _close_stream(self) -> list[actions.Action]:
        if self._stream_id is None:
            return []
        stream_id, self._stream_id = self._stream_id, None
        return [actions.CloseAnswerStream(stream_id=stream_id)]

    def _cancel(self) -> list[actions.Action]:
        attempt = self._attempt
        assert attempt is not None
        endpoint = self._context.endpoint(attempt.endpoint)
        if endpoint is None or not self.call.repeatable or not attempt.is_own:
            return []
        return [
            actions.CancelAttempt(
                host=endpoint.host, attempt_id=attempt.attempt_id
            )
        ]

    def _no_endpoint(self) -> exceptions.Failure:
        if self._last_failure is not None:
            return self._last_failure
        return _failure(
            Code.NO_ENDPOINT,
            f'no endpoint of service {self.call.service} accepts requests',
            retry_after=datetime.timedelta(seconds=1),
        )

    def _claims_incomplete(self) -> exceptions.Failure:
        return _failure(
            Code.KEY_NOT_JUDGEABLE,
            'claims of keys may have been trimmed before they were read',
            retry_after=datetime.timedelta(seconds=30),
        )


def _failure(
    code: Code,
    detail: str,
    *,
    retry_after: datetime.timedelta | None = None,
) -> exceptions.Failure:
    return exceptions.Failure(
        code=code, detail=detail, retry_after=retry_after
    )
