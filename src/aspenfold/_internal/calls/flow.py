"""One call from its admission to its final answer.

The flow never sends a call that must not be repeated again once an
attempt may have started, and it says "not run" only with proof: every
attempt of the call was either tombstoned by its agent or never sent.
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
"""How long a claim may take before its call is given up."""

JOIN_WAIT = datetime.timedelta(seconds=1)
"""How long an agent lets a joined attempt arrive before sealing it."""

ASK_WAIT = datetime.timedelta(milliseconds=50)
"""First wait before asking again for an attempt's fate; it doubles."""

MAX_ASK_WAIT = datetime.timedelta(seconds=1)

Code = exceptions.Code
Outcome = exceptions.Outcome


class State(enum.Enum):
    """Where a flow stands."""

    NEW = 'new'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    ASKING = 'asking'
    WAITING = 'waiting'
    ENDED = 'ended'


class CallFlow:
    """The state machine of one call."""

    def __init__(
        self, *, call: call_module.Call, context: context_module.CallContext
    ) -> None:
        self.call = call
        self.state = State.NEW
        self.wake_at = call.deadline
        self.scheduled_at: datetime.datetime | None = None
        self.endpoint = ''
        self._context = context
        self._assembler = assembler.Assembler()
        self._attempt: attempt_module.Attempt | None = None
        self._attempts_made = 0
        self._stream_id: int | None = None
        self._maybe_ran = False
        self._head_sent = False
        self._cause: exceptions.Failure | None = None
        self._ticket: ticket_module.Ticket | None = None
        self._scoped = ''
        self._position = 0
        self._supersedes = ''
        self._held_offset = 0
        # Whether this call's own attempt holds the key and never runs.
        # Of another call's sealed attempt that cannot be said: its
        # owner may claim the key again, and run.
        self._holds_unrun = False
        if call.key:
            self._scoped = claim_table.scoped_key(call.organisation, call.key)

    @property
    def scoped_key(self) -> str:
        """The key as it stands in claims, empty for an unkeyed call."""
        return self._scoped

    # -- events ----------------------------------------------------------

    def start(self, now: datetime.datetime) -> list[actions.Action]:
        """Begin: claim the key, use the ticket, or make an attempt."""
        if self.call.deadline <= now:
            return self._fail(
                _failure(Code.DEADLINE_PASSED, 'the deadline has passed')
            )
        if not self.call.key:
            return self._make_attempt(now)
        if ticket_module.is_ticket(self.call.key):
            return self._use_ticket(now)
        self._position = self._claims().settled_position(now)
        return self._claim(now, supersedes='')

    def on_claims(self, now: datetime.datetime) -> list[actions.Action]:
        """The key's claim stream was read further."""
        if self.state is not State.CLAIMING:
            return []
        if not self._claims().has_all_claims(now):
            return self._fail(self._not_judgeable())
        holder = self._claims().holder(self._scoped)
        assert self._attempt is not None
        if holder is None:
            return []
        if holder.claim.attempt_id == self._attempt.attempt_id:
            return self._open(now)
        if holder.claim.attempt_id == self._supersedes:
            return []
        return self._follow(holder, now)

    def on_frame(
        self, frame: frames.Frame, now: datetime.datetime
    ) -> list[actions.Action]:
        """A frame arrived on the current leg."""
        match frame.body:
            case frames.Head():
                return self._on_head(frame.body)
            case frames.Items():
                return self._on_items(frame, frame.body, now)
            case frames.End():
                self._assembler.end(frame.attempt_id, frame.body)
                return self._check_whole(now)
            case frames.Refused():
                return self._on_refused(frame.body.failure, now)

    def on_stream_lost(
        self, sent: bool, now: datetime.datetime
    ) -> list[actions.Action]:
        """The current leg broke; ``sent``: the request may have left."""
        attempt = self._attempt
        assert attempt is not None
        self._stream_id = None
        if attempt.mode is frames.Mode.RUN and sent:
            attempt.sent = True
        if attempt.own and not attempt.sent:
            attempt.never_runs = True
            self._holds_unrun = True
            return self._again(
                _failure(
                    Code.ENDPOINT_UNREACHABLE,
                    f'{attempt.endpoint} cannot be reached',
                ),
                now,
            )
        lost = _failure(
            Code.ENDPOINT_LOST, f'lost {attempt.endpoint} before the end'
        )
        if self.call.repeatable and not self.call.key:
            return self._again(lost, now)
        self._cause = lost
        return self._ask_later(now)

    def on_tick(self, now: datetime.datetime) -> list[actions.Action]:
        """The time of :attr:`wake_at` has come."""
        if self.state is State.ENDED:
            return []
        if self.call.deadline <= now:
            return self._deadline_passed()
        if self.state is State.CLAIMING:
            return self._fail(
                _failure(
                    Code.LOG_UNAVAILABLE,
                    'the claim could not be decided',
                    retry_after=CLAIM_TIMEOUT,
                )
            )
        if self.state is State.ASKING:
            return self._ask(now)
        if self.state is State.WAITING:
            return self._retry(now)
        self.wake_at = self.call.deadline
        return []

    def on_caller_left(self) -> list[actions.Action]:
        """The caller went away; keyed work goes on for a resubmission."""
        result = self._close_stream()
        if self._attempt is not None and not self.call.key:
            result.extend(self._cancel())
        self.state = State.ENDED
        return result

    # -- keys ------------------------------------------------------------

    def _claims(self) -> claim_table.ClaimTable:
        return self._context.claims(self._scoped)

    def _claim(
        self, now: datetime.datetime, *, supersedes: str
    ) -> list[actions.Action]:
        if not self._context.log_up:
            return self._fail(
                _failure(
                    Code.LOG_UNAVAILABLE,
                    'the log service that decides keys is down; a ticket '
                    'would work without it',
                    retry_after=CLAIM_TIMEOUT,
                )
            )
        if not self._claims().has_all_claims(now):
            return self._fail(self._not_judgeable())
        holder = self._claims().holder(self._scoped)
        if holder is not None and holder.claim.attempt_id != supersedes:
            return self._follow(holder, now)
        attempt = self._choose(now)
        if attempt is None:
            return self._fail(self._no_endpoint())
        self._attempt = attempt
        self._supersedes = supersedes
        self.state = State.CLAIMING
        self.wake_at = min(self.call.deadline, now + CLAIM_TIMEOUT)
        claim = records.Claim(
            key=self._scoped,
            digest=self.call.digest.hex(),
            attempt_id=attempt.attempt_id,
            endpoint=attempt.endpoint,
            incarnation=attempt.incarnation,
            deadline_ms=clock.to_unix_ms(attempt.deadline),
            supersedes=supersedes,
        )
        stream = self._context.claim_stream(self._scoped)
        return [actions.AppendClaim(stream=stream, claim=claim)]

    def _follow(
        self, holder: claim_table.Holder, now: datetime.datetime
    ) -> list[actions.Action]:
        """Join the attempt that holds the key, or learn its fate."""
        claim = holder.claim
        if claim.digest != self.call.digest.hex():
            return self._fail(
                exceptions.Failure(
                    code=Code.KEY_REUSED,
                    detail='the key was used for another content',
                    field='Idempotency-Key',
                    remedy='use a new key for a new request',
                )
            )
        self._held_offset = holder.offset
        self._attempt = attempt_module.Attempt(
            attempt_id=claim.attempt_id,
            endpoint=claim.endpoint,
            incarnation=claim.incarnation,
            deadline=clock.from_unix_ms(claim.deadline_ms),
            own=False,
            mode=frames.Mode.JOIN,
            sent=True,
        )
        return self._open(now, join_wait=JOIN_WAIT)

    def _use_ticket(self, now: datetime.datetime) -> list[actions.Action]:
        ticket = ticket_module.parse(
            self.call.key, self.call.organisation, self._context.system_key
        )
        if ticket is None:
            return self._fail(
                exceptions.Failure(
                    code=Code.BAD_TICKET,
                    detail='the ticket is not one of ours for this '
                    'organisation',
                    field='Idempotency-Key',
                    remedy='ask POST /v1/tickets for a new one',
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
            own=True,
            mode=frames.Mode.RUN,
            sent=True,
        )
        return self._open(now)

    # -- attempts --------------------------------------------------------

    def _make_attempt(self, now: datetime.datetime) -> list[actions.Action]:
        attempt = self._choose(now)
        if attempt is None:
            return self._fail(self._no_endpoint())
        self._attempt = attempt
        return self._open(now)

    def _choose(self, now: datetime.datetime) -> attempt_module.Attempt | None:
        avoid = self._attempt.endpoint if self._attempt else ''
        chosen = self._context.choose(self.call, avoid, now)
        if chosen is None:
            return None
        self._attempts_made += 1
        resume = self._assembler.next_item if self.call.repeatable else 0
        return attempt_module.Attempt(
            attempt_id=self._context.new_id(),
            endpoint=chosen.name,
            incarnation=chosen.incarnation,
            deadline=self.call.deadline,
            own=True,
            mode=frames.Mode.RUN,
            resume_from=resume,
        )

    def _open(
        self,
        now: datetime.datetime,
        *,
        join_wait: datetime.timedelta = datetime.timedelta(0),
    ) -> list[actions.Action]:
        """Open a leg to the current attempt's agent."""
        attempt = self._attempt
        assert attempt is not None
        known = self._context.endpoint(attempt.endpoint)
        # An agent that this entry has not heard yet judges for itself.
        if known is None or known.incarnation not in (
            '',
            attempt.incarnation,
        ):
            return self._on_refused(
                _failure(
                    Code.INCARNATION_GONE,
                    f'the agent of {attempt.endpoint} that was given the '
                    'request is gone',
                ),
                now,
            )
        self.state = State.RUNNING
        self.wake_at = self.call.deadline
        self._supersedes = ''
        self._holds_unrun = False
        self.endpoint = attempt.endpoint
        self._assembler.begin(attempt.attempt_id)
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
            digest=self.call.digest,
            repeatable=self.call.repeatable,
            streamed=self.call.streamed,
            deadline=attempt.deadline,
            next_item=self._assembler.next_item,
            resume_from=attempt.resume_from,
            join_wait=join_wait,
        )
        return [
            actions.OpenAnswerStream(
                stream_id=self._stream_id, host=known.host, request=request
            )
        ]

    def _ask_later(self, now: datetime.datetime) -> list[actions.Action]:
        attempt = self._attempt
        assert attempt is not None
        wait = min(MAX_ASK_WAIT, ASK_WAIT * 2**attempt.asked)
        attempt.asked += 1
        self.state = State.ASKING
        self.wake_at = min(self.call.deadline, now + wait)
        return []

    def _ask(self, now: datetime.datetime) -> list[actions.Action]:
        """Learn the fate of an attempt that may have started.

        A ticketed attempt is simply sent again: its agent runs it at
        most once.  Any other is joined, which seals it if unseen.
        """
        assert self._attempt is not None
        if self._ticket is None:
            self._attempt.mode = frames.Mode.JOIN
        return self._open(now)

    def _again(
        self, cause: exceptions.Failure, now: datetime.datetime
    ) -> list[actions.Action]:
        """Make another attempt if that is safe and the budget allows."""
        self._cause = cause
        attempt = self._attempt
        assert attempt is not None
        if not attempt.never_runs:
            self._maybe_ran = True
        if not self._may_repeat():
            return self._fail(cause)
        wait = self._context.retry_wait(self.call, self._attempts_made + 1)
        if wait is None or now + wait >= self.call.deadline:
            return self._fail(cause)
        self.state = State.WAITING
        self.wake_at = now + wait
        return self._cancel() if attempt.sent else []

    def _may_repeat(self) -> bool:
        attempt = self._attempt
        assert attempt is not None
        if self._ticket is not None:
            return False
        if not attempt.own and self._held_offset >= self._position:
            # An attempt that was claimed after this call was sent
            # belongs to a later submission.  Its caller may already have
            # been told "not run", so this call must not run instead.
            return False
        return self.call.repeatable or attempt.never_runs

    def _retry(self, now: datetime.datetime) -> list[actions.Action]:
        assert self._attempt is not None
        if self.call.key:
            return self._claim(now, supersedes=self._attempt.attempt_id)
        return self._make_attempt(now)

    # -- answers ---------------------------------------------------------

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
        ready = self._assembler.items(frame.attempt_id, body)
        result: list[actions.Action] = []
        if ready:
            result.append(
                actions.DeliverItems(
                    call_id=self.call.call_id, first=first, items=tuple(ready)
                )
            )
        result.extend(self._check_whole(now))
        return result

    def _check_whole(self, now: datetime.datetime) -> list[actions.Action]:
        match self._assembler.verdict:
            case assembler.Verdict.OPEN:
                return []
            case assembler.Verdict.BROKEN:
                return self._fail(
                    _failure(Code.ANSWER_BROKEN, 'the answer fails its digest')
                )
            case assembler.Verdict.WHOLE:
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

    def _on_refused(
        self, failure: exceptions.Failure, now: datetime.datetime
    ) -> list[actions.Action]:
        attempt = self._attempt
        assert attempt is not None
        result = self._close_stream()
        if failure.code is Code.KEY_REUSED:
            result.extend(self._fail(failure))
            return result
        if failure.outcome is Outcome.NOT_RUN:
            attempt.never_runs = True
            self._holds_unrun = attempt.own
        result.extend(self._again(failure, now))
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
            State.ASKING,
        ):
            self._maybe_ran = True
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
                call_id=self.call.call_id, failure=self._truthful(failure)
            )
        )
        return result

    def _truthful(self, failure: exceptions.Failure) -> exceptions.Failure:
        known = refusals.Evidence(
            keyed=bool(self.call.key),
            holds_unrun=self._holds_unrun,
            maybe_ran=self._maybe_ran,
            started=self._head_sent,
        )
        return refusals.adjust_code(failure, known)

    # -- parts -----------------------------------------------------------

    def _close_stream(self) -> list[actions.Action]:
        if self._stream_id is None:
            return []
        stream_id, self._stream_id = self._stream_id, None
        return [actions.CloseAnswerStream(stream_id=stream_id)]

    def _cancel(self) -> list[actions.Action]:
        attempt = self._attempt
        assert attempt is not None
        known = self._context.endpoint(attempt.endpoint)
        if known is None or not self.call.repeatable or not attempt.own:
            return []
        return [
            actions.CancelAttempt(
                host=known.host, attempt_id=attempt.attempt_id
            )
        ]

    def _no_endpoint(self) -> exceptions.Failure:
        if self._cause is not None:
            return self._cause
        return _failure(
            Code.NO_ENDPOINT,
            f'no endpoint of {self.call.service} takes work now',
            retry_after=datetime.timedelta(seconds=1),
        )

    def _not_judgeable(self) -> exceptions.Failure:
        return _failure(
            Code.KEY_NOT_JUDGEABLE,
            'claims of keys were trimmed from the log before their time',
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
