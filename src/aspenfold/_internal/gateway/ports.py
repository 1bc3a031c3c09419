"""What the gateway asks of the platform, as interfaces."""

from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import plan


class StoreUnavailable(Exception):
    """The store did not answer, or would not; a write may have run."""


class HistoryTrimmed(Exception):
    """The records asked for are gone; read the newest ones."""


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

    def forget_connections(self) -> None:
        """Give up calls in progress; the path to the store was cut."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The platform as the gateway sees it."""

    store: Store
    plan_topic: str
    plan_key: str
    decode_plan: abc.Callable[[bytes], plan.Plan]
    endpoint_topic: str
    decode_listing: abc.Callable[[str, bytes], directory.Listing]
