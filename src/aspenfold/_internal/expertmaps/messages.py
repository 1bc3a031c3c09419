"""Messages between the leader and the ranks, and actions for the engine."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Kinds of messages.

    RECRUIT, PREPARE and GRANT go to ranks, the others to the leader.
    """

    RECRUIT = 'recruit'
    PREPARE = 'prepare'
    GRANT = 'grant'
    PROMISED = 'promised'
    PREPARED = 'prepared'
    GRANTED = 'granted'
    REJECTED = 'rejected'


NONCE_BITS = 20
"""Low bits of a ballot.  They are random, so that two leaders with the same
counter have different ballots."""


def ballot_counter(ballot: int) -> int:
    """Return the counter of a ballot, which each new leader increments."""
    return ballot >> NONCE_BITS


TO_RANKS = frozenset((Kind.RECRUIT, Kind.PREPARE, Kind.GRANT))
"""Kinds of messages to ranks."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StepRun:
    """The steps from ``first`` to ``last`` inclusive, on map ``version``."""

    first: int
    last: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """A message between the leader and a rank of a group.

    ``incarnation`` identifies the process of the rank's agent.  It is empty
    on RECRUIT; the leader learns it from PROMISED, and the rank checks it
    on all other messages, so that a replacement ignores what was sent to
    its predecessor.  ``last_granted_step`` is the last step that the rank's
    engine was granted, ``step`` the last that it finished; -1 for none.
    """

    group: str
    kind: Kind
    sender: int
    target: int
    ballot: int
    incarnation: str = ''
    version: int = 0
    runs: tuple[StepRun, ...] = ()
    prepared: tuple[int, ...] = ()
    last_granted_step: int = -1
    step: int = -1
    placement: tuple[tuple[int, ...], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendMessage:
    """Send a message to another agent of the group."""

    message: Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderReset:
    """Make the engine discard all unfinished grants.

    ``token`` is the fencing token of an order to the engine: the ballot.
    """

    token: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderPrepare:
    """Make the engine load this rank's ``experts`` of map ``version``."""

    version: int
    experts: tuple[int, ...]
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderGrant:
    """Grant the engine a run of steps."""

    run: StepRun
    token: int


Action = SendMessage | OrderReset | OrderPrepare | OrderGrant
"""What LeaderMachine and RankMachine return for the caller to carry out."""
