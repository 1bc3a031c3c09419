"""Keeps a gateway's plan and directory up to date from the store.

One loop follows the plan by waiting reads.  The other reads the
endpoints' list at a pace: each endpoint writes there every second or
so, and a waiting read would return at each of these writes.
"""

import asyncio
import datetime
import typing

from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

PLAN_WAIT = datetime.timedelta(seconds=6)
"""Longest waiting read of the plan.  A plan has to be in force 2 s after
it was accepted; if the answer to this read is lost, a peer's word that
there is a newer plan ends it within about a second."""

LIST_INTERVAL = datetime.timedelta(milliseconds=900)
"""Pace of the list's reads.  An endpoint may be sent to for 2 s after
its leaving was accepted; this leaves a second for a lost read."""

RETRY_WAIT = datetime.timedelta(milliseconds=150)
"""Wait after a failed call, while the store does not answer."""

SOUND_AFTER = datetime.timedelta(seconds=3)
"""How long after the last failed call lapsed entries may still be due
to an outage: the store's 2 s, and a reading of the list."""

CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
"""Pace of whole readings after the history was trimmed, since the
store's readings may then be some seconds old."""

CHECK_SPAN = datetime.timedelta(seconds=8)
"""How long they go on: over the 6 s by which readings are late."""

MAX_REMEMBERED = 20_000
"""Endpoints whose last offset is kept: over the 12,000 aimed for."""


class Believer(typing.Protocol):
    """Who acts on what the feeds learn."""

    directory: directory_module.Directory

    def adopt(self, plan: plan_module.Plan) -> None:
        """Put a plan in force if it is newer."""


class Feeds:
    """The two loops that read the platform's store."""

    def __init__(
        self,
        *,
        platform: ports.Platform,
        believer: Believer,
        clock: clock_module.Clock,
    ) -> None:
        self._platform = platform
        self._store = platform.store
        self._believer = believer
        self._clock = clock
        self._plan_offset: int | None = None
        self._plan_record = -1
        self._hinted = asyncio.Event()
        self._list_offset: int | None = None
        self._listed_at: dict[str, int] = {}
        self._failed_at: datetime.datetime | None = None
        self._lost = False
        self._check_until: datetime.datetime | None = None
        self.list_read_at: datetime.datetime | None = None

    # -- the plan --------------------------------------------------------

    async def follow_plan(self) -> None:
        """Read the plan for ever."""
        while True:
            try:
                await self._plan_once()
            except ports.StoreUnavailable as exc:
                self._failed('plan', exc)
                await asyncio.sleep(RETRY_WAIT.total_seconds())

    async def _plan_once(self) -> None:
        topic = self._platform.plan_topic
        if self._plan_offset is None:
            page = await self._store.newest(topic)
            self._take_plan(page)
            return
        wait = PLAN_WAIT
        if self._checking():
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            self._take_plan(await self._store.newest(topic))
            wait = CHECK_INTERVAL
        try:
            news = await self._read_plan(topic, self._plan_offset, wait)
        except ports.HistoryTrimmed:
            self._trimmed('plan')
            self._plan_offset = None
            return
        if news is not None:
            self._take_plan(news)

    async def _read_plan(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> ports.Page | None:
        """Read on; None if a peer's word ended the wait."""
        if self._hinted.is_set():
            self._hinted.clear()
            wait = datetime.timedelta(0)
        reading = asyncio.ensure_future(self._store.read(topic, offset, wait))
        hint = asyncio.ensure_future(self._hinted.wait())
        try:
            await asyncio.wait(
                {reading, hint}, return_when=asyncio.FIRST_COMPLETED
            )
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()
            hint.cancel()

    @property
    def plan_offset(self) -> int:
        """The offset of the newest plan that was read, -1 for none."""
        return self._plan_record

    def hint(self, plan_offset: int) -> None:
        """A peer has read a plan at ``plan_offset``."""
        if plan_offset > self._plan_record:
            self._hinted.set()

    def _take_plan(self, page: ports.Page) -> None:
        self._answered()
        for record in page.records:
            if record.key != self._platform.plan_key or not record.value:
                continue
            if record.offset <= self._plan_record:
                continue
            self._plan_record = record.offset
            self._decode_plan(record)
        known = self._plan_offset
        ends = [r.offset + 1 for r in page.records] or [page.end]
        self._plan_offset = max(max(ends), known or 0)

    def _decode_plan(self, record: ports.Record) -> None:
        try:
            plan = self._platform.decode_plan(record.value or b'')
        except ValueError as exc:
            events.emit(
                events.Event.RECORD_REJECTED,
                offset=record.offset,
                error=str(exc)[:200],
            )
            return
        self._believer.adopt(plan)

    # -- the endpoints' list ---------------------------------------------

    async def follow_list(self) -> None:
        """Read the list for ever."""
        while True:
            wait = LIST_INTERVAL
            try:
                await self._list_once()
            except ports.StoreUnavailable as exc:
                self._failed('list', exc)
                self._store.forget_connections()
                wait = RETRY_WAIT
            self._settle()
            await asyncio.sleep(wait.total_seconds())

    async def _list_once(self) -> None:
        topic = self._platform.endpoint_topic
        if self._list_offset is None or self._checking():
            self._take_all(await self._store.newest(topic))
            return
        try:
            page = await self._store.read(
                topic, self._list_offset, datetime.timedelta(0)
            )
        except ports.HistoryTrimmed:
            self._trimmed('list')
            self._take_all(await self._store.newest(topic))
            return
        self._answered()
        self.list_read_at = self._clock.now()
        for record in page.records:
            self._take_listing(record)
        if page.records:
            last = page.records[-1].offset + 1
            self._list_offset = max(self._list_offset, last)

    def _take_all(self, page: ports.Page) -> None:
        self._answered()
        if self._list_offset is not None and page.end < self._list_offset:
            # An old reading: what it lacks may have come since.
            for record in page.records:
                self._take_listing(record)
            return
        now = self._clock.now()
        self.list_read_at = now
        for record in page.records:
            self._take_listing(record)
        present = {record.key for record in page.records}
        for name in self._believer.directory.names():
            if name not in present:
                self._remove(name, now)
        self._list_offset = page.end

    def _take_listing(self, record: ports.Record) -> None:
        if record.offset <= self._listed_at.get(record.key, -1):
            return
        self._remember(record)
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
        if self._believer.directory.listed(listing):
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
        if len(self._listed_at) > MAX_REMEMBERED:
            oldest = min(self._listed_at, key=self._listed_at.__getitem__)
            del self._listed_at[oldest]

    def _remove(self, name: str, now: datetime.datetime) -> None:
        gone = self._believer.directory.removed(
            name, now, store_sound=self._sound(now)
        )
        if gone:
            events.emit(events.Event.ENDPOINT_GONE, endpoint=name)

    def _settle(self) -> None:
        if self._lost or self._failed_at is None:
            return
        lost = self._believer.directory.settle(
            self._clock.now(), self._failed_at
        )
        for name in lost:
            events.emit(events.Event.ENDPOINT_GONE, endpoint=name)

    # -- the store's state -----------------------------------------------

    def _checking(self) -> bool:
        until = self._check_until
        return until is not None and self._clock.now() < until

    def _trimmed(self, feed: str) -> None:
        self._check_until = self._clock.now() + CHECK_SPAN
        events.emit(events.Event.HISTORY_TRIMMED, feed=feed)

    def _sound(self, now: datetime.datetime) -> bool:
        return self._failed_at is None or now - self._failed_at > SOUND_AFTER

    def _failed(self, feed: str, exc: Exception) -> None:
        self._failed_at = self._clock.now()
        if not self._lost:
            self._lost = True
            events.emit(events.Event.LOG_LOST, feed=feed, error=str(exc)[:200])

    def _answered(self) -> None:
        if self._lost:
            self._lost = False
            events.emit(events.Event.LOG_BACK)
