"""Typed messages between entry and agent, free of any codec."""

import dataclasses
import datetime
import enum

import xxhash

from aspenfold._internal import exceptions

LENGTH_BYTES = 4


class Mode(enum.Enum):
    """How an agent treats an attempt that it has not seen."""

    RUN = 0
    JOIN = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRequest:
    """One attempt at a call, bound to one incarnation of one agent.

    ``next_item`` is the first item the reader still wants;
    ``resume_from`` the item at which the endpoint starts generating.
    ``deadline`` is UTC.  ``digest`` covers the call's content.
    """

    attempt_id: str
    incarnation: str
    mode: Mode
    call_id: str
    organisation: str
    operation: str
    priority: str
    body: bytes
    digest: bytes
    repeatable: bool
    streamed: bool
    deadline: datetime.datetime
    next_item: int = 0
    resume_from: int = 0
    join_wait: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainOrder:
    """What an entry tells an agent about taking new work.

    ``token`` is a log offset: that of the drain record, or the newest
    one read when there is none.  ``leaving``: the host list says that
    the host goes away, which no later order undoes.
    """

    drain: bool
    token: int
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """An agent's own count of its work; ``capacity`` is concurrent."""

    running: int = 0
    waiting: int = 0
    capacity: int = 1
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The status and type of the endpoint's answer."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Items:
    """Consecutive items of an answer, the first one numbered ``first``."""

    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class End:
    """The answer is whole: its item count, and the attempt's digest."""

    total: int
    digest: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The attempt ended in an error; the code tells whether it ran."""

    failure: exceptions.Failure


Body = Head | Items | End | Refused


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """One message of an attempt's answer, with the agent's load."""

    attempt_id: str
    load: Load
    body: Body


class ItemDigest:
    """A running digest over items, each preceded by its length."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_128()

    def add(self, item: bytes) -> None:
        """Take the next item."""
        self._hash.update(len(item).to_bytes(LENGTH_BYTES, 'big'))
        self._hash.update(item)

    def value(self) -> bytes:
        """Return the digest of all items taken so far."""
        return self._hash.digest()
