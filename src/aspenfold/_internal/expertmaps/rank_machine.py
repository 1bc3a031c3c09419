"""The part of a group's protocol that every rank's agent plays."""

from collections import abc

from aspenfold._internal.expertmaps import messages

PROGRESS_INTERVAL_STEPS = 25
"""Steps between two progress messages to the leader."""

MAX_MISSING_GRANT_POLLS = 3
"""Looks in a row at an engine that lacks a grant which it took."""

Kind = messages.Kind


class RankMachine:
    """Promises, prepares and takes grants on behalf of one rank's engine.

    What the engine has is learned from the engine itself, so that an
    agent's restart beside a living engine forgets nothing.
    """

    def __init__(
        self,
        *,
        group: str,
        rank: int,
        incarnation: str,
        prepared: abc.Iterable[int] = (),
        step: int = -1,
    ) -> None:
        self.group = group
        self.rank = rank
        self.incarnation = incarnation
        self.promised_ballot = 0
        self.step = step
        self.map_in_use = 0
        self._granted_to = -1
        self._runs: set[messages.StepRun] = set()
        self._ordered_runs: set[messages.StepRun] = set()
        self._prepared: set[int] = set(prepared)
        self._preparing: set[int] = set()
        self._reset_done = False
        self._is_requesting_ballot = False
        self._leader = 0
        self._last_progress_step = -1
        self._missing_grant_polls = 0

    def receive(self, message: messages.Message) -> list[messages.Action]:
        """Take a message from a leader; old ballots are rejected."""
        if message.kind is Kind.RECRUIT:
            return self._recruit(message)
        wrong = message.incarnation != self.incarnation
        if wrong or message.ballot != self.promised_ballot:
            # The answer tells the leader what it has missed: a higher
            # ballot, or that the rank's agent is a new one.
            return [self._rejection(message.sender, self.promised_ballot)]
        if self._is_requesting_ballot:
            # The first request for a higher ballot may have been lost.
            return self._request_higher_ballot()
        if message.kind is Kind.PREPARE:
            return self._prepare(message)
        if message.kind is Kind.GRANT:
            return self._grant(message)
        return []

    # -- from the engine -------------------------------------------------

    def on_engine_reset(
        self, fencing_token: int, last_granted_step: int, step: int
    ) -> list[messages.Action]:
        """The engine forgot its grants; now the promise can be given."""
        self._granted_to = max(self._granted_to, last_granted_step)
        self.step = max(self.step, step)
        if fencing_token != self.promised_ballot:
            return []
        self._reset_done = True
        return [self._message_leader(Kind.PROMISED)]

    def on_engine_prepared(self, version: int) -> list[messages.Action]:
        """The engine holds the weights of map ``version``."""
        self._preparing.discard(version)
        self._prepared.add(version)
        return [self._message_leader(Kind.PREPARED, version=version)]

    def on_engine_granted(
        self, run: messages.StepRun, fencing_token: int
    ) -> list[messages.Action]:
        """The engine took a run."""
        self._granted_to = max(self._granted_to, run.last)
        if fencing_token != self.promised_ballot:
            return []
        self._runs.add(run)
        return [self._message_leader(Kind.GRANTED)]

    def on_order_failed(
        self, action: messages.Action
    ) -> list[messages.Action]:
        """The engine did not take an order; the leader asks again.

        A reset may be refused because the engine knows a higher fencing
        number than this agent, which was restarted since.
        """
        match action:
            case messages.OrderPrepare(version=version):
                self._preparing.discard(version)
            case messages.OrderGrant(run=run):
                self._ordered_runs.discard(run)
            case messages.OrderReset(fencing=fencing_token):
                if fencing_token == self.promised_ballot:
                    return self._request_higher_ballot()
        return []

    def on_engine_state(
        self, step: int, runs: abc.Iterable[messages.StepRun]
    ) -> list[messages.Action]:
        """The engine finished ``step`` and holds ``runs``."""
        held = set(runs)
        self.map_in_use = _version_at(held, step + 1)
        if self._reset_done and self._has_lost_sync(step, held):
            return self._request_higher_ballot()
        self._ordered_runs = {
            run for run in self._ordered_runs if run.last > step
        }
        if step <= self.step:
            return []
        self.step = step
        self._runs = {run for run in self._runs if run.last > step}
        if (
            not self._reset_done
            or step < self._last_progress_step + PROGRESS_INTERVAL_STEPS
        ):
            return []
        self._last_progress_step = step
        return [self._message_leader(Kind.GRANTED)]

    # -- parts -----------------------------------------------------------

    def _has_lost_sync(self, step: int, held: set[messages.StepRun]) -> bool:
        """Return whether the engine took an old order from elsewhere.

        An engine that does not check fencing numbers takes the late
        grant or reset of a paused agent.  The steps of such a grant are
        used up, so no map is mixed, but the engine would wait for ever,
        in steps that no other rank has or without the grants that it
        forgot.  A higher ballot then resets the whole group.
        """
        if held - self._ordered_runs:
            return True
        lost = {run for run in self._runs if run.last > step} - held
        # One look may have been taken before the engine had the grant.
        self._missing_grant_polls = (
            self._missing_grant_polls + 1 if lost else 0
        )
        return self._missing_grant_polls >= MAX_MISSING_GRANT_POLLS

    def _request_higher_ballot(self) -> list[messages.Action]:
        """Ask the leader for a ballot of a higher counter."""
        self._reset_done = False
        self._is_requesting_ballot = True
        ballot = self.promised_ballot + (1 << messages.NONCE_BITS)
        return [self._rejection(self._leader, ballot)]

    def _recruit(self, message: messages.Message) -> list[messages.Action]:
        if message.ballot == self.promised_ballot and self._reset_done:
            return [self._message_leader(Kind.PROMISED)]
        # Two leaders may choose one counter; only the first is heeded,
        # since the steps that a leader skips depend on the counter.
        if message.ballot != self.promised_ballot and messages.ballot_counter(
            message.ballot
        ) <= messages.ballot_counter(self.promised_ballot):
            return [self._rejection(message.sender, self.promised_ballot)]
        self.promised_ballot = message.ballot
        self._leader = message.sender
        self._reset_done = False
        self._is_requesting_ballot = False
        self._runs.clear()
        self._ordered_runs.clear()
        self._last_progress_step = -1
        return [messages.OrderReset(fencing=message.ballot)]

    def _prepare(self, message: messages.Message) -> list[messages.Action]:
        version = message.version
        if version in self._prepared:
            return [self._message_leader(Kind.PREPARED, version=version)]
        if version in self._preparing:
            return []
        self._preparing.add(version)
        return [
            messages.OrderPrepare(
                version=version,
                experts=message.placement[self.rank],
                fencing=message.ballot,
            )
        ]

    def _grant(self, message: messages.Message) -> list[messages.Action]:
        result: list[messages.Action] = []
        for run in message.runs:
            # A map that this rank has not prepared is never granted to
            # it; a leader that did so would be at fault.
            if run.version not in self._prepared or run in self._ordered_runs:
                continue
            if run.last <= self.step:
                continue
            self._ordered_runs.add(run)
            result.append(messages.OrderGrant(run=run, fencing=message.ballot))
        result.append(self._message_leader(Kind.GRANTED))
        return result

    def _message_leader(
        self, kind: Kind, *, version: int = 0
    ) -> messages.Action:
        return messages.SendMessage(
            message=messages.Message(
                group=self.group,
                kind=kind,
                sender=self.rank,
                target=self._leader,
                ballot=self.promised_ballot,
                incarnation=self.incarnation,
                version=version,
                runs=tuple(sorted(self._runs)),
                prepared=tuple(sorted(self._prepared)),
                last_granted_step=self._granted_to,
                step=self.step,
            )
        )

    def _rejection(self, target: int, ballot: int) -> messages.Action:
        return messages.SendMessage(
            message=messages.Message(
                group=self.group,
                kind=Kind.REJECTED,
                sender=self.rank,
                target=target,
                ballot=ballot,
                incarnation=self.incarnation,
            )
        )


def _version_at(runs: abc.Iterable[messages.StepRun], step: int) -> int:
    """Return the map of the first granted step from ``step`` on, or 0."""
    later = [run for run in runs if run.last >= step]
    return min(later).version if later else 0
