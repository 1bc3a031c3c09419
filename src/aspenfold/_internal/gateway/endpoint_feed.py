"""Reads the store's list of endpoints by polling.

Each endpoint writes its record about once a second, so that a waiting read
would return for every write.
"""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_health
from aspenfold._internal.gateway import unknown_names
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

POLL_INTERVAL = datetime.timedelta(milliseconds=900)
"""Requests must stop within 2 s after an endpoint left; this leaves a second
to repeat a failed read."""

MIN_RETRY_DELAY = datetime.timedelta(milliseconds=150)
"""Delay after the first failed call, doubled for each further one."""

MAX_REMEMBERED_OFFSETS = 20_000
"""Maximum number of endpoints whose last offset is kept; more than the
12,000 that the largest planned deployment has."""


class EndpointFeed:
    """Keeps the directory of endpoints up to date."""

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
        """``publish`` sends what this gateway read to its followers."""
        self._platform = platform
        self._store = platform.store
        self._directory = directory
        self._clock = clock
        self._selection = selection
        self._health = health
        self._publish = publish
        self._next_offset: int | None = None
        # The newest offset of each key, including removed ones.
        self._last_offsets: dict[str, int] = {}
        self._entries: dict[str, ports.Record] = {}
        self._unknown_fields = unknown_names.UnknownNames(
            event=events.Event.FIELD_UNKNOWN
        )
        # What the current poll found, for followers.
        self._changed: list[ports.Record] = []
        self._removed: list[str] = []
        self._failures = 0
        self._read_at: datetime.datetime | None = None

    async def run(self) -> None:
        """Poll the list while the read mode asks for it, until cancelled."""
        while True:
            self.remove_missing()
            mode = self._selection.read_mode(self._clock.now())
            if mode is selection_module.ReadMode.NONE:
                await asyncio.sleep(store_health.IDLE_POLL_INTERVAL_S)
                continue
            delay = POLL_INTERVAL
            try:
                await self.poll()
                self.publish_changes()
            except ports.StoreUnavailable as exc:
                self._health.on_failure('list', exc)
                self._store.reset_connections()
                limit = self._selection.max_retry_delay(self._clock.now())
                delay = min(
                    limit, MIN_RETRY_DELAY * 2 ** min(self._failures, 5)
                )
                self._failures += 1
            await asyncio.sleep(delay.total_seconds())

    def age(self) -> datetime.timedelta | None:
        """Return the age of the endpoint data, None if there is none."""
        times = [t for t in (self._read_at, self._selection.relayed_at) if t]
        return self._clock.now() - max(times) if times else None

    def publish_changes(self) -> None:
        """Publish what the last poll found, or a keepalive."""
        self._failures = 0
        self._read_at = self._clock.now()
        changed, self._changed = self._changed, []
        removed, self._removed = self._removed, []
        if not changed and not removed:
            self._publish(None)
            return
        self._publish(
            relay.RelayedRecords(
                topic=self._platform.endpoint_topic,
                end=self._next_offset or 0,
                records=tuple(changed),
                removed=tuple(removed),
            )
        )

    async def poll(self) -> None:
        """Read new records, or all of them after a trim.

        Raises ``ports.StoreUnavailable``.
        """
        topic = self._platform.endpoint_topic
        if self._next_offset is None or self._health.must_reread():
            self._apply_snapshot(await self._store.newest(topic))
            return
        try:
            page = await self._store.read(
                topic, self._next_offset, datetime.timedelta(0)
            )
        except ports.HistoryTrimmed:
            self._health.on_history_trimmed('list')
            self._apply_snapshot(await self._store.newest(topic))
            return
        self._health.on_success()
        for record in page.records:
            self._apply_record(record)
        if page.records:
            last = page.records[-1].offset + 1
            self._next_offset = max(self._next_offset, last)

    def _apply_snapshot(self, page: ports.Page) -> None:
        self._health.on_success()
        if self._next_offset is not None and page.end < self._next_offset:
            # A stale read: missing entries may have been added since.
            for record in page.records:
                self._apply_record(record)
            return
        now = self._clock.now()
        self._next_offset = page.end
        for record in page.records:
            self._apply_record(record)
        present = {record.key for record in page.records}
        for name in self._directory.names():
            if name not in present:
                self._remove(name, now)

    def _apply_record(self, record: ports.Record) -> None:
        if record.offset <= self._last_offsets.get(record.key, -1):
            return
        self._remember_offset(record)
        if record.value is None:
            self._remove(record.key, self._clock.now())
            return
        try:
            listing = self._platform.decode_listing(record.key, record.value)
        except ValueError as exc:
            events.emit(
                events.Event.RECORD_REJECTED,
                offset=record.offset,
                error=str(exc)[:200],
            )
            return
        self._unknown_fields.log(listing.name, listing.unknown_fields)
        if self._is_news(listing):
            self._changed.append(record)
        if self._directory.update_listing(listing):
            events.emit(
                events.Event.ENDPOINT_LISTED,
                endpoint=listing.name,
                service=listing.service,
                draining=listing.draining,
                offset=record.offset,
            )
        if not self._directory.has_set_aside(listing.name):
            self._entries[record.key] = record

    def _is_news(self, listing: endpoint_listing.Listing) -> bool:
        """Return whether followers need an entry.

        One that confirms the known entry, after one that contradicted it, is
        news, too: else a follower would take the next such one for its
        repetition.
        """
        endpoint = self._directory.get(listing.name)
        if endpoint is None or endpoint.listing != listing:
            return True
        return self._directory.has_set_aside(listing.name)

    def _remember_offset(self, record: ports.Record) -> None:
        """Keep the record's offset, so that stale reads can be ignored."""
        self._last_offsets[record.key] = record.offset
        if len(self._last_offsets) > MAX_REMEMBERED_OFFSETS:
            oldest = min(
                self._last_offsets, key=self._last_offsets.__getitem__
            )
            del self._last_offsets[oldest]

    def _remove(self, name: str, now: datetime.datetime) -> None:
        is_removed = self._directory.remove_listing(
            name, now, store_available=self._health.is_stable(now)
        )
        if is_removed:
            self._on_removed(name)

    def _on_removed(self, name: str) -> None:
        self._entries.pop(name, None)
        self._removed.append(name)
        # Stale reads must not add it again.
        last = (self._next_offset or 0) - 1
        self._last_offsets[name] = max(self._last_offsets.get(name, -1), last)
        events.emit(events.Event.ENDPOINT_GONE, endpoint=name)

    def remove_missing(self) -> None:
        """Remove endpoints that are still missing after a store outage."""
        if self._health.last_call_failed or self._health.failed_at is None:
            return
        removed_names = self._directory.remove_missing(
            self._clock.now(), self._health.failed_at
        )
        for name in removed_names:
            self._on_removed(name)

    def snapshot(self) -> relay.RelayedRecords | None:
        """Return the complete list for a new follower, None before a read."""
        if self._next_offset is None:
            return None
        return relay.RelayedRecords(
            topic=self._platform.endpoint_topic,
            end=self._next_offset,
            records=tuple(self._entries.values()),
            is_complete=True,
        )

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Apply records that a reader sent; older ones are ignored."""
        for record in relayed.records:
            self._apply_record(record)
        next_offset = self._next_offset or 0
        removed_names = relayed.removed
        if relayed.is_complete and relayed.end >= next_offset:
            present = {record.key for record in relayed.records}
            names = self._directory.names()
            removed_names = tuple(
                name for name in names if name not in present
            )
        for name in removed_names:
            # The reader already waited for entries missing after an outage.
            if self._directory.remove_listing(
                name, self._clock.now(), store_available=True
            ):
                self._on_removed(name)
        self._next_offset = max(next_offset, relayed.end)
        # Only records that this gateway read are published.
        self._changed.clear()
        self._removed.clear()
