"""Messages between entries and agents, independent of their encoding."""

import dataclasses
import datetime
import enum

import xxhash

from aspenfold._internal import exceptions

LENGTH_BYTES = 4


class Mode(enum.Enum):
    """What an agent does with an attempt that it has not seen.

    RUN runs it; JOIN waits for ``join_timeout`` and then seals it.
    """

    RUN = 0
    JOIN = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRequest:
    """One attempt at a call, bound to one incarnation of one agent.

    ``next_item`` is the number of the first item to send;
    ``resume_from`` that of the first item that the endpoint generates.
    ``deadline`` is UTC.  ``digest`` covers the call's content.
    ``join_timeout`` is how long an attempt that is joined may take to
    arrive at the agent before it is sealed.
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
    join_timeout: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainOrder:
    """An entry's order to an agent to drain or to accept attempts.

    ``token`` is the log offset of the drain record, or if there is none,
    the newest offset read.  ``leaving``: the host is leaving according
    to the host list; no later order reverts this.
    """

    drain: bool
    token: int
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """The load of an agent, in attempts.

    ``capacity`` is how many attempts its endpoint runs concurrently.
    """

    running: int = 0
    waiting: int = 0
    capacity: int = 1
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The HTTP status and content type of the endpoint's answer."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Items:
    """Consecutive items of an answer; ``first`` numbers the first."""

    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class End:
    """The end of a complete answer.

    ``total`` is the number of the item after the last one; ``digest``
    covers the items of the attempt.
    """

    total: int
    digest: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The end of an attempt without a complete answer.

    The code of ``failure`` tells whether the attempt ran.
    """

    failure: exceptions.Failure


Body = Head | Items | End | Failed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """One message on an answer stream, with the agent's current load."""

    attempt_id: str
    load: Load
    body: Body


class ItemDigest:
    """A running digest of items; each is hashed after its length."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_128()

    def add(self, item: bytes) -> None:
        """Add the next item."""
        self._hash.update(len(item).to_bytes(LENGTH_BYTES, 'big'))
        self._hash.update(item)

    def value(self) -> bytes:
        """Return the digest of all items added so far."""
        return self._hash.digest()
