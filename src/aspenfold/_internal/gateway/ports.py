"""What the gateway asks of the platform, as interfaces."""

from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import plan


class StoreUnavailable(Exception):
    """The store did not answer, or would not; a write may have run."""


class HistoryTrimmed(Exception):
    """The records asked for are gone; read the newest ones.

    ``first`` is the offset of the oldest record that is kept.
    """

    def __init__(self, *, first: int = 0) -> None:
        super().__init__(f'the oldest record kept is {first}')
        self.first = first


class EngineUnavailable(Exception):
    """An engine did not answer, or not what it should."""


class AppendConflict(Exception):
    """The partition does not end where the writer expected."""

    def __init__(self, *, end: int) -> None:
        super().__init__(f'the partition ends at {end}')
        self.end = end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """A record of a keyed topic; ``value`` None removes the key."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Records, and the offset at which the partition ends."""

    records: tuple[Record, ...]
    end: int


class Store(typing.Protocol):
    """Keyed topics of the platform's store.

    All calls raise :class:`StoreUnavailable`.
    """

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> Page:
        """Return records from ``offset``; wait up to ``wait`` for one.

        Raises :class:`HistoryTrimmed`.
        """

    async def append(
        self, topic: str, key: str, value: bytes, expected_offset: int
    ) -> int:
        """Append a record if the topic ends there; return its offset.

        Raises :class:`AppendConflict`, with nothing appended.
        """

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record wherever the topic ends; return its offset."""

    def reset_connections(self) -> None:
        """Give up calls in progress; the path to the store was cut."""


class Engine(typing.Protocol):
    """Model engines, by the address of their endpoint.

    :meth:`report` and :meth:`counts` raise :class:`EngineUnavailable`.
    """

    async def report(self, host: str, port: int) -> rank_protocol.Report:
        """Return a rank's state."""

    async def counts(self, host: str, port: int) -> rank_protocol.Counts:
        """Return how often a rank's requests chose each expert."""

    async def held(self, host: str, port: int) -> rank_protocol.RankMap:
        """Return the experts that a rank uses."""

    async def order(
        self, host: str, port: int, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Give a rank an order."""


class Forwarder(typing.Protocol):
    """Calls of an engine as they stand, for the agent beside it."""

    async def forward(
        self, host: str, port: int, target: bytes, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Return an answer's status and body; orders have a ``body``.

        Raises :class:`EngineUnavailable`.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The platform as the gateway sees it."""

    store: Store
    plan_topic: str
    plan_key: str
    decode_plan: abc.Callable[[bytes], plan.Plan]
    endpoint_topic: str
    decode_listing: abc.Callable[[str, bytes], directory.Listing]
    engine: Engine
