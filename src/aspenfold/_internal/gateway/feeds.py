"""Keeps a gateway's plan and directory up to date.

One loop follows the plan by waiting reads.  The other reads the
endpoints' list at a pace: each endpoint writes there every second or
so, and a waiting read would return at each of these writes.  Both rest
while a peer gives the news, see :mod:`~.source`.
"""

import asyncio
from collections import abc
import datetime
import typing

from aspenfold._internal.gateway import directory as directory_module
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import source as source_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

PLAN_WAIT = datetime.timedelta(milliseconds=1_200)
"""Longest waiting read of the plan.  A plan has to be in force 2 s after
it was accepted, also if the answer to this read is lost: that shows
after the 0.7 s that a call may take beyond its wait."""

HINT_GRACE_S = 0.25
"""How long a read goes on after a peer told of a newer plan: its own
answer is mostly on the way."""

REST_S = 0.1
"""How often a resting loop looks whether it must read again."""

LIST_INTERVAL = datetime.timedelta(milliseconds=900)
"""Pace of the list's reads.  An endpoint may be sent to for 2 s after
its leaving was accepted; this leaves a second for a lost read."""

RETRY_WAIT = datetime.timedelta(milliseconds=150)
"""Wait after a failed call, doubled each time up to a limit."""

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
        source: source_module.Source,
        publish: abc.Callable[[relay.News | None], None],
    ) -> None:
        """``publish`` passes on what was read here."""
        self._source = source
        self._publish = publish
        self._platform = platform
        self._store = platform.store
        self._believer = believer
        self._clock = clock
        self._plan_offset: int | None = None
        self._plan_record = -1
        self._plan_hint = -1
        self._hinted = asyncio.Event()
        self._list_offset: int | None = None
        self._listed_at: dict[str, int] = {}
        self._entries: dict[str, ports.Record] = {}
        self._plan: ports.Record | None = None
        self._changed: list[ports.Record] = []
        self._absent: list[str] = []
        self._failures = 0
        self._read_at: datetime.datetime | None = None
        self._failed_at: datetime.datetime | None = None
        self._lost = False
        self._check_until: datetime.datetime | None = None

    # -- the plan --------------------------------------------------------

    async def follow_plan(self) -> None:
        """Read the plan for ever."""
        while True:
            if self._plan_rests():
                await asyncio.sleep(REST_S)
                continue
            try:
                await self._plan_once()
            except ports.StoreUnavailable as exc:
                self._failed('plan', exc)
                await self._until_answered()

    def _plan_rests(self) -> bool:
        if self._pace() is not source_module.Pace.FULL:
            return True
        # One that knows a plan may hear of a peer to follow.
        now = self._clock.now()
        return self._plan is not None and not self._source.settled(now)

    def _pace(self) -> source_module.Pace:
        return self._source.pace(self._clock.now())

    async def _until_answered(self) -> None:
        """Wait until the list's loop has found the store again."""
        while self._lost and self._pace() is not source_module.Pace.NONE:
            await asyncio.sleep(REST_S)

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
        hint = asyncio.ensure_future(self._hint_and_grace())
        try:
            await asyncio.wait(
                {reading, hint}, return_when=asyncio.FIRST_COMPLETED
            )
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()
            hint.cancel()

    async def _hint_and_grace(self) -> None:
        await self._hinted.wait()
        await asyncio.sleep(HINT_GRACE_S)

    @property
    def plan_offset(self) -> int:
        """The offset of the newest plan that was read, -1 for none."""
        return self._plan_record

    def hint(self, plan_offset: int) -> None:
        """A peer has read a plan at ``plan_offset``."""
        if plan_offset > self._plan_record:
            self._plan_hint = max(self._plan_hint, plan_offset)
            self._hinted.set()

    def _take_plan(self, page: ports.Page) -> None:
        self._answered()
        before = self._plan_record
        ends = [r.offset + 1 for r in page.records] or [page.end]
        self._take_plans(page.records, max(ends))
        if self._plan_record != before:
            self._publish(self._plan_news())

    def _take_plans(
        self, records: abc.Iterable[ports.Record], end: int
    ) -> None:
        for record in records:
            if record.key != self._platform.plan_key or not record.value:
                continue
            if record.offset <= self._plan_record:
                continue
            self._plan_record = record.offset
            self._plan = record
            self._decode_plan(record)
        self._plan_offset = max(end, self._plan_offset or 0)
        if self._plan_record < self._plan_hint:
            return
        self._hinted.clear()

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
            self._settle()
            if self._pace() is source_module.Pace.NONE:
                await asyncio.sleep(REST_S)
                continue
            wait = LIST_INTERVAL
            try:
                await self._list_once()
                self._tell_changes()
            except ports.StoreUnavailable as exc:
                self._failed('list', exc)
                self._store.forget_connections()
                limit = self._source.longest_retry(self._clock.now())
                wait = min(limit, RETRY_WAIT * 2 ** min(self._failures, 5))
                self._failures += 1
            await asyncio.sleep(wait.total_seconds())

    def list_age(self) -> datetime.timedelta | None:
        """Return the age of what is known of endpoints, None for none."""
        known = [t for t in (self._read_at, self._source.news_at) if t]
        return self._clock.now() - max(known) if known else None

    def _tell_changes(self) -> None:
        """Pass on what the reading brought, or that it brought nothing."""
        self._failures = 0
        self._read_at = self._clock.now()
        changed, self._changed = self._changed, []
        absent, self._absent = self._absent, []
        if not changed and not absent:
            self._publish(None)
            return
        self._publish(
            relay.News(
                topic=self._platform.endpoint_topic,
                end=self._list_offset or 0,
                records=tuple(changed),
                absent=tuple(absent),
            )
        )

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
        self._list_offset = page.end
        for record in page.records:
            self._take_listing(record)
        present = {record.key for record in page.records}
        for name in self._believer.directory.names():
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
        known = self._believer.directory.get(listing.name)
        if known is None or known.listing != listing:
            self._changed.append(record)
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
            self._gone(name)

    def _gone(self, name: str) -> None:
        self._entries.pop(name, None)
        self._absent.append(name)
        # An old reading does not bring it back.
        last = (self._list_offset or 0) - 1
        self._listed_at[name] = max(self._listed_at.get(name, -1), last)
        events.emit(events.Event.ENDPOINT_GONE, endpoint=name)

    def _settle(self) -> None:
        if self._lost or self._failed_at is None:
            return
        lost = self._believer.directory.settle(
            self._clock.now(), self._failed_at
        )
        for name in lost:
            self._gone(name)

    # -- a peer's news ---------------------------------------------------

    def snapshot(self) -> list[relay.News]:
        """Return all that is known, for a peer that begins to follow."""
        found = []
        if self._plan is not None:
            found.append(self._plan_news())
        if self._list_offset is not None:
            listed = relay.News(
                topic=self._platform.endpoint_topic,
                end=self._list_offset,
                records=tuple(self._entries.values()),
                whole=True,
            )
            found.append(listed)
        return found

    def _plan_news(self) -> relay.News:
        assert self._plan is not None
        return relay.News(
            topic=self._platform.plan_topic,
            end=self._plan_offset or 0,
            records=(self._plan,),
        )

    def relayed(self, news: relay.News) -> None:
        """Take what a peer has read; older news changes nothing."""
        if news.topic == self._platform.plan_topic:
            self._take_plans(news.records, news.end)
        elif news.topic == self._platform.endpoint_topic:
            self._take_relayed_list(news)

    def _take_relayed_list(self, news: relay.News) -> None:
        for record in news.records:
            self._take_listing(record)
        known = self._list_offset or 0
        gone = news.absent
        if news.whole and news.end >= known:
            present = {record.key for record in news.records}
            names = self._believer.directory.names()
            gone = tuple(name for name in names if name not in present)
        for name in gone:
            # The peer has waited where the store was away.
            if self._believer.directory.removed(
                name, self._clock.now(), store_sound=True
            ):
                self._gone(name)
        self._list_offset = max(known, news.end)
        # Only what is read here is passed on.
        self._changed.clear()
        self._absent.clear()

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
        self._source.store_failed(self._failed_at)
        if not self._lost:
            self._lost = True
            events.emit(events.Event.LOG_LOST, feed=feed, error=str(exc)[:200])

    def _answered(self) -> None:
        self._source.store_answered()
        if self._lost:
            self._lost = False
            events.emit(events.Event.LOG_BACK)
