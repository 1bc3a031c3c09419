"""The part of a group's protocol that every rank's agent plays."""

import typing

from aspenfold._internal.expertmaps import messages

TELL_EVERY = 25
"""Steps between two progress messages to the leader."""

Kind = messages.Kind


class RankMachine:
    """Promises, prepares and takes grants on behalf of one rank's engine.

    ``runs``, ``prepared`` and ``step`` start from what the engine
    itself still holds, so that an agent's restart beside a living
    engine forgets no grant.
    """

    def __init__(
        self,
        *,
        group: str,
        rank: int,
        incarnation: str,
        runs: typing.Iterable[messages.Run] = (),
        prepared: typing.Iterable[int] = (),
        step: int = -1,
    ) -> None:
        self.group = group
        self.rank = rank
        self.incarnation = incarnation
        self.promised = 0
        self.step = step
        self._runs: set[messages.Run] = set(runs)
        self._prepared: set[int] = set(prepared)
        self._preparing: set[int] = set()
        self._leader = 0
        self._told = -1

    @property
    def runs(self) -> tuple[messages.Run, ...]:
        """Grants whose steps the engine has not all finished."""
        return tuple(sorted(self._runs))

    @property
    def map_in_use(self) -> int:
        """The map version of the step under way, 0 for none."""
        for run in self._runs:
            if run.first <= self.step <= run.last:
                return run.version
        return 0

    def receive(self, message: messages.Message) -> list[messages.Action]:
        """Take a message from a leader; old ballots are rejected."""
        if message.kind is Kind.RECRUIT:
            return self._recruit(message)
        if message.incarnation != self.incarnation:
            # The leader still knows the agent before this one; the
            # answer tells it to recruit the group anew.
            return [self._reply(message, Kind.REJECTED, self.promised)]
        if message.ballot != self.promised:
            return [self._reply(message, Kind.REJECTED, self.promised)]
        if message.kind is Kind.PREPARE:
            return self._prepare(message)
        if message.kind is Kind.GRANT:
            return self._grant(message)
        return []

    def engine_prepared(self, version: int) -> list[messages.Action]:
        """The engine holds the weights of map ``version``."""
        self._preparing.discard(version)
        self._prepared.add(version)
        return [self._tell(Kind.PREPARED, version=version)]

    def engine_prepare_failed(self, version: int) -> None:
        """The engine did not prepare; the next PREPARE tries again."""
        self._preparing.discard(version)

    def engine_step(self, step: int) -> list[messages.Action]:
        """The engine is at ``step``."""
        if step <= self.step:
            return []
        self.step = step
        self._runs = {run for run in self._runs if run.last >= step}
        if not self.promised or step < self._told + TELL_EVERY:
            return []
        self._told = step
        return [self._tell(Kind.GRANTED)]

    def _recruit(self, message: messages.Message) -> list[messages.Action]:
        if message.ballot < self.promised:
            return [self._reply(message, Kind.REJECTED, self.promised)]
        self.promised = message.ballot
        self._leader = message.sender
        return [self._tell(Kind.PROMISED)]

    def _prepare(self, message: messages.Message) -> list[messages.Action]:
        version = message.version
        if version in self._prepared:
            return [self._tell(Kind.PREPARED, version=version)]
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
            if run.version not in self._prepared or run in self._runs:
                continue
            if run.last < self.step:
                continue
            self._runs.add(run)
            result.append(messages.OrderGrant(run=run, fencing=message.ballot))
        result.append(self._tell(Kind.GRANTED))
        return result

    def _tell(self, kind: Kind, *, version: int = 0) -> messages.Action:
        return messages.SendMessage(
            message=messages.Message(
                group=self.group,
                kind=kind,
                sender=self.rank,
                target=self._leader,
                ballot=self.promised,
                incarnation=self.incarnation,
                version=version,
                runs=self.runs,
                prepared=tuple(sorted(self._prepared)),
                step=self.step,
            )
        )

    def _reply(
        self, message: messages.Message, kind: Kind, ballot: int
    ) -> messages.Action:
        return messages.SendMessage(
            message=messages.Message(
                group=self.group,
                kind=kind,
                sender=self.rank,
                target=message.sender,
                ballot=ballot,
                incarnation=self.incarnation,
            )
        )
