"""Reads the endpoints' list of the store at a pace.

Each endpoint writes there every second or so, and a waiting read would
return at each of these writes.
"""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_health
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

POLL_INTERVAL = datetime.timedelta(milliseconds=900)
"""Pace of the list's reads.  An endpoint may be sent to for 2 s after
its leaving was accepted; this leaves a second for a lost read."""

MIN_RETRY_DELAY = datetime.timedelta(milliseconds=150)
"""Wait after a failed call, doubled each time up to a limit."""

MAX_REMEMBERED_OFFSETS = 20_000
"""Endpoints whose last offset is kept: over the 12,000 aimed for."""


class EndpointFeed:
    """Keeps the directory up to date while this gateway is to read."""

    def __init__(
        self,
        *,
        platform: ports.Platform,
        directory: directory_module.Directory,
        clock: clock_module.Clock,
        selection: selection_module.ReaderSelection,
        health: store_health.StoreHealth,
        publish: abc.Callable[[relay.RelayedRecords | None], None],
    ) -> None:
        """``publish`` passes on what was read here."""
        self._platform = platform
        self._store = platform.store
        self._directory = directory
        self._clock = clock
        self._selection = selection
        self._health = health
        self._publish = publish
        self._next: int | None = None
        # The newest offset of each key, also of removed ones.
        self._listed_at: dict[str, int] = {}
        self._entries: dict[str, ports.Record] = {}
        # What the current reading brought, for followers.
        self._changed: list[ports.Record] = []
        self._absent: list[str] = []
        self._failures = 0
        self._read_at: datetime.datetime | None = None

    async def run(self) -> None:
        """Read the list for ever."""
        while True:
            self.settle()
            pace = self._selection.read_mode(self._clock.now())
            if pace is selection_module.ReadMode.NONE:
                await asyncio.sleep(store_health.IDLE_POLL_INTERVAL_S)
                continue
            wait = POLL_INTERVAL
            try:
                await self.poll()
                self.publish_changes()
            except ports.StoreUnavailable as exc:
                self._health.on_failure('list', exc)
                self._store.reset_connections()
                limit = self._selection.max_retry_delay(self._clock.now())
                wait = min(
                    limit, MIN_RETRY_DELAY * 2 ** min(self._failures, 5)
                )
                self._failures += 1
            await asyncio.sleep(wait.total_seconds())

    def age(self) -> datetime.timedelta | None:
        """Return the age of what is known of endpoints, None for none."""
        known = [t for t in (self._read_at, self._selection.relayed_at) if t]
        return self._clock.now() - max(known) if known else None

    def publish_changes(self) -> None:
        """Pass on what the reading brought, or that it brought nothing."""
        self._failures = 0
        self._read_at = self._clock.now()
        changed, self._changed = self._changed, []
        absent, self._absent = self._absent, []
        if not changed and not absent:
            self._publish(None)
            return
        self._publish(
            relay.RelayedRecords(
                topic=self._platform.endpoint_topic,
                end=self._next or 0,
                records=tuple(changed),
                absent=tuple(absent),
            )
        )

    async def poll(self) -> None:
        """Read the list once: what is new, or all after a trim."""
        topic = self._platform.endpoint_topic
        if self._next is None or self._health.must_reread():
            self._take_all(await self._store.newest(topic))
            return
        try:
            page = await self._store.read(
                topic, self._next, datetime.timedelta(0)
            )
        except ports.HistoryTrimmed:
            self._health.on_history_trimmed('list')
            self._take_all(await self._store.newest(topic))
            return
        self._health.on_success()
        for record in page.records:
            self._take_listing(record)
        if page.records:
            last = page.records[-1].offset + 1
            self._next = max(self._next, last)

    def _take_all(self, page: ports.Page) -> None:
        self._health.on_success()
        if self._next is not None and page.end < self._next:
            # An old reading: what it lacks may have come since.
            for record in page.records:
                self._take_listing(record)
            return
        now = self._clock.now()
        self._next = page.end
        for record in page.records:
            self._take_listing(record)
        present = {record.key for record in page.records}
        for name in self._directory.names():
            if name not in present:
                self._remove(name, now)

    def _take_listing(self, record: ports.Record) -> None:
        if record.offset <= self._listed_at.get(record.key, -1):
            return
        self._remember(record)
        if record.value is None:
            self._remove(record.key, self._clock.now())
            return
        self._entries[record.key] = record
        try:
            listing = self._platform.decode_listing(record.key, record.value)
        except ValueError as exc:
            events.emit(
                events.Event.RECORD_REJECTED,
                offset=record.offset,
                error=str(exc)[:200],
            )
            return
        known = self._directory.get(listing.name)
        if known is None or known.listing != listing:
            self._changed.append(record)
        if self._directory.update_listing(listing):
            events.emit(
                events.Event.ENDPOINT_LISTED,
                endpoint=listing.name,
                service=listing.service,
                draining=listing.draining,
                offset=record.offset,
            )

    def _remember(self, record: ports.Record) -> None:
        """Keep the offset, also of a removal: old readings may follow."""
        self._listed_at[record.key] = record.offset
        if len(self._listed_at) > MAX_REMEMBERED_OFFSETS:
            oldest = min(self._listed_at, key=self._listed_at.__getitem__)
            del self._listed_at[oldest]

    def _remove(self, name: str, now: datetime.datetime) -> None:
        gone = self._directory.remove_listing(
            name, now, store_available=self._health.is_stable(now)
        )
        if gone:
            self._gone(name)

    def _gone(self, name: str) -> None:
        self._entries.pop(name, None)
        self._absent.append(name)
        # An old reading does not bring it back.
        last = (self._next or 0) - 1
        self._listed_at[name] = max(self._listed_at.get(name, -1), last)
        events.emit(events.Event.ENDPOINT_GONE, endpoint=name)

    def settle(self) -> None:
        """Forget endpoints that did not return with the store."""
        if self._health.lost or self._health.failed_at is None:
            return
        lost = self._directory.remove_missing(
            self._clock.now(), self._health.failed_at
        )
        for name in lost:
            self._gone(name)

    # -- peers -----------------------------------------------------------

    def snapshot(self) -> relay.RelayedRecords | None:
        """Return the whole list for a peer, None before the first."""
        if self._next is None:
            return None
        return relay.RelayedRecords(
            topic=self._platform.endpoint_topic,
            end=self._next,
            records=tuple(self._entries.values()),
            whole=True,
        )

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Take what a peer has read; older relayed changes nothing."""
        for record in relayed.records:
            self._take_listing(record)
        known = self._next or 0
        gone = relayed.absent
        if relayed.whole and relayed.end >= known:
            present = {record.key for record in relayed.records}
            names = self._directory.names()
            gone = tuple(name for name in names if name not in present)
        for name in gone:
            # The peer has waited where the store was away.
            if self._directory.remove_listing(
                name, self._clock.now(), store_available=True
            ):
                self._gone(name)
        self._next = max(known, relayed.end)
        # Only what is read here is passed on.
        self._changed.clear()
        self._absent.clear()
