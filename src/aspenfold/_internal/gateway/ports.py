"""Interfaces of the platform that the gateway uses."""

from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import plan


class StoreUnavailable(Exception):
    """The store did not answer or refused; a write may have been done."""


class HistoryTrimmed(Exception):
    """The requested records were trimmed; read the newest ones instead.

    ``first`` is the offset of the oldest record that is kept.
    """

    def __init__(self, *, first: int = 0) -> None:
        super().__init__(f'records before offset {first} were trimmed')
        self.first = first


class EngineUnavailable(Exception):
    """An engine did not answer, or its answer is invalid."""


class AppendConflict(Exception):
    """The topic does not end at the offset that the writer expected."""

    def __init__(self, *, end: int) -> None:
        super().__init__(f'the topic ends at offset {end}')
        self.end = end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """A record of a keyed topic; a ``value`` of None removes the key."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Records of a topic; records from the offset ``end`` on may follow."""

    records: tuple[Record, ...]
    end: int


class Store(typing.Protocol):
    """Keyed topics of the platform's store.

    All coroutines raise :class:`StoreUnavailable` if a call fails.
    """

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> Page:
        """Return records from ``offset``; wait up to ``wait`` for one.

        Raises :class:`HistoryTrimmed` if they are not kept any more.
        """

    async def append(
        self, topic: str, key: str, value: bytes, expected_offset: int
    ) -> int:
        """Append a record at ``expected_offset``; return its offset.

        Raises :class:`AppendConflict` if the topic ends elsewhere; nothing
        is appended then.
        """

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record unconditionally; return its offset."""

    def reset_connections(self) -> None:
        """Cancel calls in progress and close connections."""


class Engine(typing.Protocol):
    """Model engines, called at the address of their endpoint.

    All methods but :meth:`order` raise :class:`EngineUnavailable`.
    """

    async def report(self, host: str, port: int) -> rank_protocol.Report:
        """Return a rank's report."""

    async def counts(self, host: str, port: int) -> rank_protocol.Counts:
        """Return how often each expert was chosen by a rank's requests."""

    async def rank_map(self, host: str, port: int) -> rank_protocol.RankMap:
        """Return the experts that a rank uses."""

    async def order(
        self, host: str, port: int, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Send a rank an order; return ``Answer.NONE`` without an answer."""


class Forwarder(typing.Protocol):
    """Forwards unchanged calls to an engine, for the agent on its host."""

    async def forward(
        self, host: str, port: int, target: bytes, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Call ``target`` and return the response's status and body.

        A call with a ``body`` is a POST.  Raises
        :class:`EngineUnavailable` if there is no response.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """Everything that the gateway needs of the platform."""

    store: Store
    plan_topic: str
    plan_key: str
    decode_plan: abc.Callable[[bytes], plan.Plan]
    endpoint_topic: str
    decode_listing: abc.Callable[[str, bytes], endpoint_listing.Listing]
    engine: Engine
    decode_statement: endpoint_statement.Decoder
