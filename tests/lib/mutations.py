"""Takes one guard away from a kernel, to see its proof fail.

Each mutation changes the true code by monkey patching, in the test
only; the product has no switch for it.
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

Patch = pytest.MonkeyPatch
Mutation = abc.Callable[[Patch], None]


def no_seal(patch: Patch) -> None:
    """The agent says "sealed" but runs the attempt when it arrives."""
    right = agent_kernel.AgentKernel.execute

    def execute(
        self: typing.Any, stream_id: int, request: typing.Any, now: typing.Any
    ) -> typing.Any:
        known = self._attempts.get(request.attempt_id)
        sealed = known is not None and known.state is agent_kernel.State.SEALED
        if sealed and request.mode is frames.Mode.RUN:
            del self._attempts[request.attempt_id]
            self._by_deadline.remove(request.attempt_id)
        return right(self, stream_id, request, now)

    patch.setattr(agent_kernel.AgentKernel, 'execute', execute)


def claim_by_last_writer(patch: Patch) -> None:
    """Whoever claims last holds the key."""

    def apply(
        self: typing.Any, claim: typing.Any, offset: int, at: typing.Any
    ) -> None:
        self._holders[claim.key] = claim_table.Holder(
            claim=claim, offset=offset, at=at
        )

    patch.setattr(claim_table.ClaimTable, '_apply', apply)


def no_claim(patch: Patch) -> None:
    """Keyed calls go to the key's home endpoint by membership alone."""

    def claim(
        self: typing.Any, now: typing.Any, *, supersedes: str
    ) -> typing.Any:
        routable = self._context.view.routable(self.call.service, now)
        if not routable:
            return self._fail(self._no_endpoint())
        home = max(routable, key=lambda e: hash_of(self._scoped_key, e.name))
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


def hash_of(key: str, name: str) -> int:
    """Return a rendezvous score."""
    return int(claim_table.scoped_key(key, name), 16)


def repeat_anything(patch: Patch) -> None:
    """A call is made again whether it may be repeated or not."""
    patch.setattr(flow_module.CallFlow, '_may_retry', lambda self: True)


def ask_nobody(patch: Patch) -> None:
    """A lost attempt counts as one that never started."""

    def lost(self: typing.Any, sent: bool, now: typing.Any) -> typing.Any:
        self._stream_id = None
        self._attempt.never_executes = True
        self._holds_unexecuted_key = True
        failure = exceptions.Failure(
            code=exceptions.Code.ENDPOINT_UNREACHABLE, detail='lost'
        )
        return self._retry_or_fail(failure, now)

    patch.setattr(flow_module.CallFlow, 'on_stream_lost', lost)


def any_not_run(patch: Patch) -> None:
    """Refusals say "not run" without proof."""
    patch.setattr(
        flow_module.CallFlow, '_adjust_code', lambda self, failure: failure
    )


def trust_followed(patch: Patch) -> None:
    """A follower says "not run" of another's sealed attempt."""
    right = flow_module.CallFlow._on_failed

    def refused(
        self: typing.Any, failure: typing.Any, now: typing.Any
    ) -> typing.Any:
        own = self._attempt.is_own
        self._attempt.is_own = True
        result = right(self, failure, now)
        if self._attempt is not None and not own:
            self._attempt.is_own = own
        return result

    patch.setattr(flow_module.CallFlow, '_on_failed', refused)


def no_settled_position(patch: Patch) -> None:
    """A late request may take a key over from a later one."""
    patch.setattr(
        claim_table.ClaimTable,
        'settled_position',
        lambda self, now: self.position,
    )


def forget_attempts(patch: Patch) -> None:
    """The agent forgets that it has seen an attempt."""
    right = agent_kernel.AgentKernel.execute

    def execute(
        self: typing.Any, stream_id: int, request: typing.Any, now: typing.Any
    ) -> typing.Any:
        known = self._attempts.get(request.attempt_id)
        if known is not None and request.mode is frames.Mode.RUN:
            request = dataclasses.replace(
                request, attempt_id=request.attempt_id + '+'
            )
        return right(self, stream_id, request, now)

    patch.setattr(agent_kernel.AgentKernel, 'execute', execute)


def any_incarnation(patch: Patch) -> None:
    """A restarted agent takes what its predecessor was sent."""
    right = agent_kernel.AgentKernel.execute

    def execute(
        self: typing.Any, stream_id: int, request: typing.Any, now: typing.Any
    ) -> typing.Any:
        request = dataclasses.replace(request, incarnation=self.incarnation)
        return right(self, stream_id, request, now)

    patch.setattr(agent_kernel.AgentKernel, 'execute', execute)


def no_order(patch: Patch) -> None:
    """Items are delivered as they come."""

    def add_items(
        self: typing.Any, attempt_id: str, body: frames.Items
    ) -> list[bytes]:
        self.next_item = max(self.next_item, body.first + len(body.items))
        return list(body.items)

    patch.setattr(assembler.AnswerAssembler, 'add_items', add_items)


def no_end_check(patch: Patch) -> None:
    """An end mark ends the answer, whatever is missing."""

    def check(self: typing.Any) -> None:
        if self._end is not None:
            self.status = assembler.AnswerStatus.COMPLETE

    patch.setattr(assembler.AnswerAssembler, '_check_end', check)


def resume_from_start(patch: Patch) -> None:
    """A resumed attempt is numbered as if it began at the gap."""
    right = flow_module.CallFlow._new_attempt

    def choose(self: typing.Any, now: typing.Any) -> typing.Any:
        attempt = right(self, now)
        if attempt is not None:
            attempt.resume_from = 0
            self._assembler.next_item = 0
        return attempt

    patch.setattr(flow_module.CallFlow, '_new_attempt', choose)


def silent_end(patch: Patch) -> None:
    """A call that cannot go on ends without an answer."""
    right = flow_module.CallFlow._fail

    def fail(self: typing.Any, failure: typing.Any) -> typing.Any:
        result = right(self, failure)
        return [a for a in result if not isinstance(a, actions.Fail)]

    patch.setattr(flow_module.CallFlow, '_fail', fail)


def begin_at_last(patch: Patch) -> None:
    """A new leader skips no steps."""

    def begin(self: typing.Any) -> None:
        self.last_granted_step = max(
            m.last_granted_step for m in self._members.values()
        )

    patch.setattr(leader_machine.LeaderMachine, '_skip_earlier_grants', begin)


def promise_of_some(patch: Patch) -> None:
    """A leader begins once most ranks have promised."""

    def complete(self: typing.Any) -> bool:
        return len(self._members) >= self.ranks - 1

    patch.setattr(
        leader_machine.LeaderMachine, '_all_promised', property(complete)
    )


def no_ballot_check(patch: Patch) -> None:
    """A rank heeds any leader, and its engine is not reset."""
    right = rank_machine.RankMachine.receive

    def receive(self: typing.Any, message: messages.Message) -> typing.Any:
        if message.kind is not messages.Kind.RECRUIT:
            message = dataclasses.replace(
                message,
                ballot=self.promised_ballot,
                incarnation=self.incarnation,
            )
        return right(self, message)

    patch.setattr(rank_machine.RankMachine, 'receive', receive)
    patch.setattr(rank_machine.RankMachine, '_has_lost_sync', lambda *_: False)


def grant_at_once(patch: Patch) -> None:
    """Each rank is granted the newest map that it has prepared."""
    right = leader_machine.LeaderMachine._send

    def send(
        self: typing.Any, kind: typing.Any, rank: int, **fields: typing.Any
    ) -> typing.Any:
        if kind is messages.Kind.GRANT:
            newest = max(self._members[rank].prepared, default=0)
            fields['runs'] = tuple(
                dataclasses.replace(run, version=newest)
                for run in fields.get('runs', ())
            )
        return right(self, kind, rank, **fields)

    patch.setattr(leader_machine.LeaderMachine, '_send', send)


def ignore_leaving(patch: Patch) -> None:
    """Neither entries nor agents heed that an endpoint leaves."""
    patch.setattr(view.EndpointView, '_is_leaving', lambda self, known: False)
    patch.setattr(
        agent_kernel.AgentKernel, 'drain_permanently', lambda self: None
    )
    patch.setattr(
        agent_kernel.AgentKernel, 'on_drain_order', lambda self, order: None
    )


def exit_at_once(patch: Patch) -> None:
    """Processes exit on SIGTERM without finishing their work."""
    for kernel in (agent_kernel.AgentKernel, entry_kernel.EntryKernel):
        patch.setattr(kernel, 'may_exit', property(lambda self: True))
