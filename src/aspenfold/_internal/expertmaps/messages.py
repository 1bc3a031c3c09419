"""Messages and actions of the expert map protocol."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Kinds of messages; the first three go to ranks."""

    RECRUIT = 'recruit'
    PREPARE = 'prepare'
    GRANT = 'grant'
    PROMISED = 'promised'
    PREPARED = 'prepared'
    GRANTED = 'granted'
    REJECTED = 'rejected'


NONCE_BITS = 20
"""Low bits of a ballot, random, so that no two leaders share one."""


def ballot_counter(ballot: int) -> int:
    """Return the part of a ballot that every new leader raises."""
    return ballot >> NONCE_BITS


TO_RANKS = frozenset((Kind.RECRUIT, Kind.PREPARE, Kind.GRANT))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StepRun:
    """Steps ``first`` to ``last``, both included, use map ``version``."""

    first: int
    last: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Message:
    """One message between the leader and a rank of a group.

    ``incarnation`` is the rank's agent's: empty on RECRUIT, learned from
    PROMISED, and checked by the rank on all other messages, so that
    nothing sent to a replaced rank reaches its replacement.
    ``granted_to`` is the last step that the rank's engine was granted,
    ``step`` the last that it finished; -1 for none.
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
    """Have the engine forget all grants that it has not finished."""

    fencing: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderPrepare:
    """Have the engine load what map ``version`` gives this rank."""

    version: int
    experts: tuple[int, ...]
    fencing: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderGrant:
    """Give the engine a run of steps."""

    run: StepRun
    fencing: int


Action = SendMessage | OrderReset | OrderPrepare | OrderGrant
"""What the machines ask of their shell."""
