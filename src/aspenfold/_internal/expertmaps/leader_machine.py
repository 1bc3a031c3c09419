"""The leader's side of the step-granting protocol.

It runs in the agent of a group's first rank.
"""

import dataclasses
import datetime
import random

from aspenfold._internal.expertmaps import messages

STEPS_PER_GRANT = 200
"""Steps in one grant."""

MIN_GRANTED_STEPS_AHEAD = 150
"""The next run is granted when fewer granted steps than this remain."""

RESEND_INTERVAL = datetime.timedelta(milliseconds=200)
"""Time between two attempts to send what is unanswered."""

HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Time between messages that check idle ranks."""

Kind = messages.Kind
Placement = tuple[tuple[int, ...], ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Member:
    """What this leader knows of a rank that has promised its ballot.

    ``runs`` are the unfinished runs that the rank's engine has confirmed.
    """

    incarnation: str
    prepared: set[int]
    step: int
    last_granted_step: int
    runs: set[messages.StepRun] = dataclasses.field(default_factory=set)


class LeaderMachine:
    """Recruits all ranks, prepares maps on them and grants them steps.

    The methods return the messages to send.
    """

    def __init__(self, *, group: str, ranks: int, rng: random.Random) -> None:
        self.group = group
        self.ranks = ranks
        self.ballot = 0
        self.last_granted_step = -1
        self._rng = rng
        self._members: dict[int, _Member] = {}
        self._placement: Placement = ()
        self._newest_version = 0
        self._runs: list[messages.StepRun] = []
        self._resend_at: datetime.datetime | None = None
        self._heartbeat_at: datetime.datetime | None = None

    def set_plan(
        self, version: int, placement: Placement
    ) -> list[messages.Action]:
        """Set the map plan to prepare next.

        A plan that is not newer, or is for another number of ranks, is
        ignored.
        """
        if version <= self._newest_version or len(placement) != self.ranks:
            return []
        self._newest_version = version
        self._placement = placement
        return self._missing_prepare_messages() if self._all_promised else []

    def tick(self, now: datetime.datetime) -> list[messages.Action]:
        """Recruit ranks, repeat unanswered messages and check idle ranks."""
        if not self._newest_version:
            return []
        if self._resend_at is not None and now < self._resend_at:
            return []
        self._resend_at = now + RESEND_INTERVAL
        if not self.ballot:
            self._raise_ballot(0)
        if not self._all_promised:
            return [
                self._send(Kind.RECRUIT, rank)
                for rank in range(self.ranks)
                if rank not in self._members
            ]
        result = (
            self._missing_prepare_messages() + self._missing_grant_messages()
        )
        result.extend(self._grant_next())
        if not result and self._is_heartbeat_due(now):
            result = [
                self._send(Kind.GRANT, rank) for rank in range(self.ranks)
            ]
        return result

    def receive(self, message: messages.Message) -> list[messages.Action]:
        """Handle a rank's answer."""
        if message.kind is Kind.REJECTED:
            return self._on_rejected(message)
        if message.ballot != self.ballot:
            return []
        if message.kind is Kind.PROMISED:
            return self._on_promised(message)
        member = self._members.get(message.sender)
        if member is None or member.incarnation != message.incarnation:
            return []
        member.prepared.update(message.prepared)
        member.runs.update(message.runs)
        member.step = max(member.step, message.step)
        member.runs = {run for run in member.runs if run.last > member.step}
        return self._grant_next() if self._all_promised else []

    def _is_heartbeat_due(self, now: datetime.datetime) -> bool:
        if self._heartbeat_at is not None and now < self._heartbeat_at:
            return False
        self._heartbeat_at = now + HEARTBEAT_INTERVAL
        return True

    @property
    def _all_promised(self) -> bool:
        return len(self._members) == self.ranks

    def _raise_ballot(self, above: int) -> None:
        counter = messages.ballot_counter(above) + 1
        nonce = self._rng.getrandbits(messages.NONCE_BITS)
        self.ballot = (counter << messages.NONCE_BITS) | nonce
        self._members.clear()
        self._runs.clear()
        self._resend_at = None

    def _on_rejected(self, message: messages.Message) -> list[messages.Action]:
        member = self._members.get(message.sender)
        counter = messages.ballot_counter(message.ballot)
        if (
            message.ballot != self.ballot
            and counter >= messages.ballot_counter(self.ballot)
        ):
            self._raise_ballot(message.ballot)
        elif member is not None and member.incarnation != message.incarnation:
            self._raise_ballot(self.ballot)
        return []

    def _on_promised(self, message: messages.Message) -> list[messages.Action]:
        member = self._members.get(message.sender)
        if member is not None:
            if member.incarnation != message.incarnation:
                self._raise_ballot(self.ballot)
            return []
        self._members[message.sender] = _Member(
            incarnation=message.incarnation,
            prepared=set(message.prepared),
            step=message.step,
            last_granted_step=message.last_granted_step,
        )
        if not self._all_promised:
            return []
        self._skip_earlier_grants()
        return self._missing_prepare_messages() + self._grant_next()

    def _skip_earlier_grants(self) -> None:
        """Choose the first step so that no step is granted twice.

        A leader grants a run only after all ranks have confirmed the one
        before, so each earlier leader may have granted one run that only a
        lost rank knew of.  The ballot's counter is at least the number of
        leaders so far.
        """
        last = max(
            member.last_granted_step for member in self._members.values()
        )
        counter = messages.ballot_counter(self.ballot)
        self.last_granted_step = last + STEPS_PER_GRANT * counter

    def _grant_next(self) -> list[messages.Action]:
        """Grant the next run if all ranks have confirmed the earlier ones.

        Only :meth:`tick` repeats unconfirmed grants, since this is called
        for each answer.
        """
        if self._missing_grant_messages():
            return []
        slowest = min(member.step for member in self._members.values())
        self._runs = [run for run in self._runs if run.last > slowest]
        remaining = sum(
            run.last - max(run.first - 1, slowest) for run in self._runs
        )
        version = self._newest_prepared_by_all()
        if not version or remaining >= MIN_GRANTED_STEPS_AHEAD:
            return []
        run = messages.StepRun(
            first=self.last_granted_step + 1,
            last=self.last_granted_step + STEPS_PER_GRANT,
            version=version,
        )
        self.last_granted_step = run.last
        self._runs.append(run)
        return [
            self._send(Kind.GRANT, rank, runs=(run,))
            for rank in range(self.ranks)
        ]

    def _newest_prepared_by_all(self) -> int:
        shared = set.intersection(
            *(member.prepared for member in self._members.values())
        )
        return max(shared, default=0)

    def _missing_prepare_messages(self) -> list[messages.Action]:
        return [
            self._send(
                Kind.PREPARE,
                rank,
                version=self._newest_version,
                placement=self._placement,
            )
            for rank, member in self._members.items()
            if self._newest_version not in member.prepared
        ]

    def _missing_grant_messages(self) -> list[messages.Action]:
        """Return grants of runs that a rank has neither finished nor taken."""
        result: list[messages.Action] = []
        for rank, member in self._members.items():
            missing = tuple(
                run
                for run in self._runs
                if run not in member.runs and run.last > member.step
            )
            if missing:
                result.append(self._send(Kind.GRANT, rank, runs=missing))
        return result

    def _send(
        self,
        kind: Kind,
        rank: int,
        *,
        version: int = 0,
        runs: tuple[messages.StepRun, ...] = (),
        placement: Placement = (),
    ) -> messages.Action:
        member = self._members.get(rank)
        return messages.SendMessage(
            message=messages.Message(
                group=self.group,
                kind=kind,
                sender=0,
                target=rank,
                ballot=self.ballot,
                incarnation=member.incarnation if member else '',
                version=version,
                runs=runs,
                placement=placement,
            )
        )
