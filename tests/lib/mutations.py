"""Mutations that each remove one guard from the product's code.

``test_guards`` applies them by monkey patching, and expects a check to
fail.
"""

from collections import abc
import dataclasses
import typing

import pytest

from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal.calls import actions
from aspenfold._internal.calls import attempt as attempt_module
from aspenfold._internal.calls import flow as flow_module
from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.claims import table as claim_table
from aspenfold._internal.delivery import assembler
from aspenfold._internal import exceptions
from aspenfold._internal.expertmaps import leader_machine
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.expertmaps import rank_machine
from aspenfold._internal.kernel import frames
from aspenfold._internal.membership import view

MonkeyPatch = pytest.MonkeyPatch
Mutation = abc.Callable[[MonkeyPatch], None]


def run_sealed_attempts(patch: MonkeyPatch) -> None:
    """Let an agent run an attempt that it has sealed."""
    original = agent_kernel.AgentKernel.execute

    def execute(
        self: typing.Any, stream_id: int, request: typing.Any, now: typing.Any
    ) -> typing.Any:
        known = self._attempts.get(request.attempt_id)
        sealed = known is not None and known.state is agent_kernel.State.SEALED
        if sealed and request.mode is frames.Mode.RUN:
            del self._attempts[request.attempt_id]
            self._by_deadline.remove(request.attempt_id)
        return original(self, stream_id, request, now)

    patch.setattr(agent_kernel.AgentKernel, 'execute', execute)


def last_claim_wins(patch: MonkeyPatch) -> None:
    """Give a key to the last claim instead of the first valid one."""

    def apply(
        self: typing.Any, claim: typing.Any, offset: int, at: typing.Any
    ) -> None:
        self._holders[claim.key] = claim_table.Holder(
            claim=claim, offset=offset, at=at
        )

    patch.setattr(claim_table.ClaimTable, '_apply', apply)


def skip_claims(patch: MonkeyPatch) -> None:
    """Route keyed calls by rendezvous hashing, without a claim."""

    def claim(
        self: typing.Any, now: typing.Any, *, supersedes: str
    ) -> typing.Any:
        routable = self._context.view.routable(self.call.service, now)
        if not routable:
            return self._fail(self._no_endpoint())
        home = max(
            routable, key=lambda e: rendezvous_score(self._scoped_key, e.name)
        )
        self._attempt = attempt_module.Attempt(
            attempt_id='k' + self._scoped_key,
            endpoint=home.name,
            incarnation=home.incarnation,
            deadline=self.call.deadline,
            is_own=True,
            mode=frames.Mode.RUN,
        )
        return self._open_stream(now)

    patch.setattr(flow_module.CallFlow, '_claim', claim)


def rendezvous_score(key: str, name: str) -> int:
    """Return the rendezvous score of an endpoint for a key."""
    return int(claim_table.scoped_key(key, name), 16)


def retry_every_call(patch: MonkeyPatch) -> None:
    """Retry calls that must not be repeated."""
    patch.setattr(flow_module.CallFlow, '_may_retry', lambda self: True)


def assume_lost_attempts_never_ran(patch: MonkeyPatch) -> None:
    """Treat a lost attempt as one that never ran, without a query."""

    def on_stream_lost(
        self: typing.Any, sent: bool, now: typing.Any
    ) -> typing.Any:
        self._stream_id = None
        self._attempt.never_executes = True
        self._holds_unexecuted_key = True
        failure = exceptions.Failure(
            code=exceptions.Code.ENDPOINT_UNREACHABLE, detail='lost'
        )
        return self._retry_or_fail(failure, now)

    patch.setattr(flow_module.CallFlow, 'on_stream_lost', on_stream_lost)


def report_not_run_without_proof(patch: MonkeyPatch) -> None:
    """Report refusals as not run without proof."""
    patch.setattr(
        flow_module.CallFlow, '_adjust_code', lambda self, failure: failure
    )


def trust_other_attempts(patch: MonkeyPatch) -> None:
    """Report another entry's sealed attempt as not run."""
    original = flow_module.CallFlow._on_failed

    def on_failed(
        self: typing.Any, failure: typing.Any, now: typing.Any
    ) -> typing.Any:
        is_own = self._attempt.is_own
        self._attempt.is_own = True
        result = original(self, failure, now)
        if self._attempt is not None and not is_own:
            self._attempt.is_own = is_own
        return result

    patch.setattr(flow_module.CallFlow, '_on_failed', on_failed)


def ignore_settled_position(patch: MonkeyPatch) -> None:
    """Let a late request take a key over from a later one."""
    patch.setattr(
        claim_table.ClaimTable,
        'settled_position',
        lambda self, now: self.position,
    )


def forget_attempts(patch: MonkeyPatch) -> None:
    """Let an agent run an attempt again."""
    original = agent_kernel.AgentKernel.execute

    def execute(
        self: typing.Any, stream_id: int, request: typing.Any, now: typing.Any
    ) -> typing.Any:
        known = self._attempts.get(request.attempt_id)
        if known is not None and request.mode is frames.Mode.RUN:
            request = dataclasses.replace(
                request, attempt_id=request.attempt_id + '+'
            )
        return original(self, stream_id, request, now)

    patch.setattr(agent_kernel.AgentKernel, 'execute', execute)


def accept_any_incarnation(patch: MonkeyPatch) -> None:
    """Let a restarted agent run requests to its earlier incarnation."""
    original = agent_kernel.AgentKernel.execute

    def execute(
        self: typing.Any, stream_id: int, request: typing.Any, now: typing.Any
    ) -> typing.Any:
        request = dataclasses.replace(request, incarnation=self.incarnation)
        return original(self, stream_id, request, now)

    patch.setattr(agent_kernel.AgentKernel, 'execute', execute)


def ignore_item_order(patch: MonkeyPatch) -> None:
    """Deliver items in the order of arrival."""

    def add_items(
        self: typing.Any, attempt_id: str, body: frames.Items
    ) -> list[bytes]:
        self.next_item = max(self.next_item, body.first + len(body.items))
        return list(body.items)

    patch.setattr(assembler.AnswerAssembler, 'add_items', add_items)


def skip_end_check(patch: MonkeyPatch) -> None:
    """End an answer at its end frame even if items are missing."""

    def check_end(self: typing.Any) -> None:
        if self._end is not None:
            self.status = assembler.AnswerStatus.COMPLETE

    patch.setattr(assembler.AnswerAssembler, '_check_end', check_end)


def resume_from_start(patch: MonkeyPatch) -> None:
    """Number the items of a resumed attempt from zero."""
    original = flow_module.CallFlow._new_attempt

    def new_attempt(self: typing.Any, now: typing.Any) -> typing.Any:
        attempt = original(self, now)
        if attempt is not None:
            attempt.resume_from = 0
            self._assembler.next_item = 0
        return attempt

    patch.setattr(flow_module.CallFlow, '_new_attempt', new_attempt)


def drop_failures(patch: MonkeyPatch) -> None:
    """End failed calls without an answer."""
    original = flow_module.CallFlow._fail

    def fail(self: typing.Any, failure: typing.Any) -> typing.Any:
        result = original(self, failure)
        return [a for a in result if not isinstance(a, actions.Fail)]

    patch.setattr(flow_module.CallFlow, '_fail', fail)


def reuse_granted_steps(patch: MonkeyPatch) -> None:
    """Let a new leader reuse steps that an earlier one granted."""

    def skip_earlier_grants(self: typing.Any) -> None:
        self.last_granted_step = max(
            m.last_granted_step for m in self._members.values()
        )

    patch.setattr(
        leader_machine.LeaderMachine,
        '_skip_earlier_grants',
        skip_earlier_grants,
    )


def require_most_promises(patch: MonkeyPatch) -> None:
    """Let a leader begin when all ranks but one have promised."""

    def all_promised(self: typing.Any) -> bool:
        return len(self._members) >= self.ranks - 1

    patch.setattr(
        leader_machine.LeaderMachine, '_all_promised', property(all_promised)
    )


def skip_ballot_check(patch: MonkeyPatch) -> None:
    """Let a rank obey any leader, and never reset its engine."""
    original = rank_machine.RankMachine.receive

    def receive(self: typing.Any, message: messages.Message) -> typing.Any:
        if message.kind is not messages.Kind.RECRUIT:
            message = dataclasses.replace(
                message,
                ballot=self.promised_ballot,
                incarnation=self.incarnation,
            )
        return original(self, message)

    patch.setattr(rank_machine.RankMachine, 'receive', receive)
    patch.setattr(rank_machine.RankMachine, '_has_lost_sync', lambda *_: False)


def grant_newest_prepared(patch: MonkeyPatch) -> None:
    """Grant each rank the newest map that it has prepared itself."""
    original = leader_machine.LeaderMachine._send

    def send(
        self: typing.Any, kind: typing.Any, rank: int, **fields: typing.Any
    ) -> typing.Any:
        if kind is messages.Kind.GRANT:
            newest = max(self._members[rank].prepared, default=0)
            fields['runs'] = tuple(
                dataclasses.replace(run, version=newest)
                for run in fields.get('runs', ())
            )
        return original(self, kind, rank, **fields)

    patch.setattr(leader_machine.LeaderMachine, '_send', send)


def ignore_draining(patch: MonkeyPatch) -> None:
    """Make entries and agents ignore that an endpoint is draining."""
    patch.setattr(view.EndpointView, '_is_leaving', lambda self, known: False)
    patch.setattr(
        agent_kernel.AgentKernel, 'drain_permanently', lambda self: None
    )
    patch.setattr(
        agent_kernel.AgentKernel, 'on_drain_order', lambda self, order: None
    )


def exit_immediately(patch: MonkeyPatch) -> None:
    """Let processes exit on SIGTERM before their calls are complete."""
    for kernel in (agent_kernel.AgentKernel, entry_kernel.EntryKernel):
        patch.setattr(kernel, 'may_exit', property(lambda self: True))
