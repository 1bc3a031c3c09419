"""A rank's side of the step-granting protocol; it runs in its agent."""

from collections import abc

from aspenfold._internal.expertmaps import messages

PROGRESS_INTERVAL_STEPS = 25
"""Number of steps between two progress messages to the leader."""

MAX_MISSING_GRANT_POLLS = 3
"""Consecutive polls of an engine without a run that it took, after which
the run counts as lost."""

Kind = messages.Kind


class RankMachine:
    """Promises ballots, prepares maps and takes grants for one engine.

    The initial state comes from the engine, so that nothing is lost when
    only the agent restarts.  The methods return messages to the leader and
    orders for the engine.
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
        self._last_granted_step = -1
        self._runs: set[messages.StepRun] = set()
        self._ordered_runs: set[messages.StepRun] = set()
        self._prepared: set[int] = set(prepared)
        self._preparing: set[int] = set()
        self._is_reset = False
        self._is_requesting_ballot = False
        self._leader = 0
        self._last_progress_step = -1
        self._missing_grant_polls = 0

    def receive(self, message: messages.Message) -> list[messages.Action]:
        """Handle a message from a leader; reject one with an old ballot."""
        if message.kind is Kind.RECRUIT:
            return self._recruit(message)
        is_other_incarnation = message.incarnation != self.incarnation
        if is_other_incarnation or message.ballot != self.promised_ballot:
            # The rejection informs the leader of the higher ballot or of
            # the new incarnation.
            return [self._rejection(message.sender, self.promised_ballot)]
        if self._is_requesting_ballot:
            # The first request for a higher ballot may have been lost.
            return self._request_higher_ballot()
        if message.kind is Kind.PREPARE:
            return self._prepare(message)
        if message.kind is Kind.GRANT:
            return self._grant(message)
        return []

    def on_engine_reset(
        self, token: int, last_granted_step: int, step: int
    ) -> list[messages.Action]:
        """Handle a reset of the engine's grants; promise the ballot."""
        self._last_granted_step = max(
            self._last_granted_step, last_granted_step
        )
        self.step = max(self.step, step)
        if token != self.promised_ballot:
            return []
        self._is_reset = True
        return [self._message_leader(Kind.PROMISED)]

    def on_engine_prepared(self, version: int) -> list[messages.Action]:
        """Handle that the engine has loaded the weights of a map."""
        self._preparing.discard(version)
        self._prepared.add(version)
        return [self._message_leader(Kind.PREPARED, version=version)]

    def on_engine_granted(
        self, run: messages.StepRun, token: int
    ) -> list[messages.Action]:
        """Handle that the engine took a run."""
        self._last_granted_step = max(self._last_granted_step, run.last)
        if token != self.promised_ballot:
            return []
        self._runs.add(run)
        return [self._message_leader(Kind.GRANTED)]

    def on_order_failed(
        self, action: messages.Action
    ) -> list[messages.Action]:
        """Handle an order that the engine did not take.

        The leader will repeat it.  The engine may refuse a reset because it
        has seen a higher fencing token than this agent, which may have been
        restarted.
        """
        match action:
            case messages.OrderPrepare(version=version):
                self._preparing.discard(version)
            case messages.OrderGrant(run=run):
                self._ordered_runs.discard(run)
            case messages.OrderReset(token=token):
                if token == self.promised_ballot:
                    return self._request_higher_ballot()
        return []

    def on_engine_state(
        self, step: int, runs: abc.Iterable[messages.StepRun]
    ) -> list[messages.Action]:
        """Handle the result of a poll of the engine.

        ``step`` is the last step that it finished, ``runs`` are the
        unfinished runs that it holds.
        """
        held_runs = set(runs)
        self.map_in_use = _map_version_from(held_runs, step + 1)
        if self._is_reset and self._has_lost_sync(step, held_runs):
            return self._request_higher_ballot()
        self._ordered_runs = {
            run for run in self._ordered_runs if run.last > step
        }
        if step <= self.step:
            return []
        self.step = step
        self._runs = {run for run in self._runs if run.last > step}
        if (
            not self._is_reset
            or step < self._last_progress_step + PROGRESS_INTERVAL_STEPS
        ):
            return []
        self._last_progress_step = step
        return [self._message_leader(Kind.GRANTED)]

    def _has_lost_sync(
        self, step: int, held_runs: set[messages.StepRun]
    ) -> bool:
        """Return whether the engine took an old order of another agent.

        An engine that does not check fencing tokens may take a late grant
        or reset from a paused agent.  The steps of such a grant are used
        up, so maps are not mixed, but the engine would wait forever for
        steps that no other rank has, or for grants that it discarded.  A
        higher ballot resets the whole group.
        """
        if held_runs - self._ordered_runs:
            return True
        lost = {run for run in self._runs if run.last > step} - held_runs
        # A single poll may have been read before the engine had the run.
        self._missing_grant_polls = (
            self._missing_grant_polls + 1 if lost else 0
        )
        return self._missing_grant_polls >= MAX_MISSING_GRANT_POLLS

    def _request_higher_ballot(self) -> list[messages.Action]:
        """Make the leader take a ballot with a higher counter."""
        self._is_reset = False
        self._is_requesting_ballot = True
        ballot = self.promised_ballot + (1 << messages.NONCE_BITS)
        return [self._rejection(self._leader, ballot)]

    def _recruit(self, message: messages.Message) -> list[messages.Action]:
        if message.ballot == self.promised_ballot and self._is_reset:
            return [self._message_leader(Kind.PROMISED)]
        # Two leaders may choose the same counter.  Only the first one is
        # accepted, since the counter determines which steps are skipped.
        if message.ballot != self.promised_ballot and messages.ballot_counter(
            message.ballot
        ) <= messages.ballot_counter(self.promised_ballot):
            return [self._rejection(message.sender, self.promised_ballot)]
        self.promised_ballot = message.ballot
        self._leader = message.sender
        self._is_reset = False
        self._is_requesting_ballot = False
        self._runs.clear()
        self._ordered_runs.clear()
        self._last_progress_step = -1
        return [messages.OrderReset(token=message.ballot)]

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
                token=message.ballot,
            )
        ]

    def _grant(self, message: messages.Message) -> list[messages.Action]:
        result: list[messages.Action] = []
        for run in message.runs:
            # A correct leader never grants a map that the rank has not
            # prepared.
            if run.version not in self._prepared or run in self._ordered_runs:
                continue
            if run.last <= self.step:
                continue
            self._ordered_runs.add(run)
            result.append(messages.OrderGrant(run=run, token=message.ballot))
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
                last_granted_step=self._last_granted_step,
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


def _map_version_from(runs: abc.Iterable[messages.StepRun], step: int) -> int:
    """Return the map version of the first granted step from ``step`` on.

    Return 0 if there is none.
    """
    later = [run for run in runs if run.last >= step]
    return min(later).version if later else 0
