"""Follows the operators' plan by waiting reads of the store."""

import asyncio
from collections import abc
import datetime
import typing

from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_health
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

PLAN_READ_TIMEOUT = datetime.timedelta(milliseconds=1_200)
"""Longest waiting read of the plan.  A plan has to be in force 2 s after
it was accepted, also if the answer to this read is lost: that shows
after the 0.7 s that a call may take beyond its wait."""

HINT_GRACE_PERIOD_S = 0.25
"""How long a read goes on after a peer told of a newer plan: its own
answer is mostly on the way."""

REREAD_INTERVAL = datetime.timedelta(milliseconds=500)
"""Pace of whole readings after the history was trimmed, since the
store's readings may then be some seconds old."""


class PlanConsumer(typing.Protocol):
    """Who puts plans in force."""

    def adopt(self, plan: plan_module.Plan) -> None:
        """Put a plan in force if it is newer."""


class PlanFeed:
    """Reads the plan's topic while this gateway is to read.

    ``offset`` is that of the newest plan that is known, -1 for none.
    """

    def __init__(
        self,
        *,
        platform: ports.Platform,
        consumer: PlanConsumer,
        clock: clock_module.Clock,
        selection: selection_module.ReaderSelection,
        health: store_health.StoreHealth,
        publish: abc.Callable[[relay.RelayedRecords | None], None],
    ) -> None:
        """``publish`` passes on what was read here."""
        self._platform = platform
        self._store = platform.store
        self._consumer = consumer
        self._clock = clock
        self._selection = selection
        self._health = health
        self._publish = publish
        self._next: int | None = None
        self._newest: ports.Record | None = None
        self._hinted_offset = -1
        self._hinted = asyncio.Event()
        self.offset = -1

    async def run(self) -> None:
        """Read the plan for ever."""
        while True:
            if self._rests():
                await asyncio.sleep(store_health.IDLE_POLL_INTERVAL_S)
                continue
            try:
                await self.poll()
            except ports.StoreUnavailable as exc:
                self._health.on_failure('plan', exc)
                await self._until_answered()

    def _rests(self) -> bool:
        if self._pace() is not selection_module.ReadMode.FULL:
            return True
        # One that knows a plan may hear of a peer to follow.
        now = self._clock.now()
        return (
            self._newest is not None
            and not self._selection.has_discovered_peers(now)
        )

    def _pace(self) -> selection_module.ReadMode:
        return self._selection.read_mode(self._clock.now())

    async def _until_answered(self) -> None:
        """Wait until the list's loop has found the store again."""
        while (
            self._health.lost
            and self._pace() is not selection_module.ReadMode.NONE
        ):
            await asyncio.sleep(store_health.IDLE_POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Read the plan once, waiting for news if one is known."""
        topic = self._platform.plan_topic
        if self._next is None:
            page = await self._store.newest(topic)
            self._take_page(page)
            return
        wait = PLAN_READ_TIMEOUT
        if self._health.must_reread():
            await asyncio.sleep(REREAD_INTERVAL.total_seconds())
            self._take_page(await self._store.newest(topic))
            wait = REREAD_INTERVAL
        try:
            news = await self._read(topic, self._next, wait)
        except ports.HistoryTrimmed:
            self._health.on_history_trimmed('plan')
            self._next = None
            return
        if news is not None:
            self._take_page(news)

    async def _read(
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
        await asyncio.sleep(HINT_GRACE_PERIOD_S)

    def notify_offset(self, plan_offset: int) -> None:
        """A peer has read a plan at ``plan_offset``."""
        if plan_offset > self.offset:
            self._hinted_offset = max(self._hinted_offset, plan_offset)
            self._hinted.set()

    def _take_page(self, page: ports.Page) -> None:
        self._health.on_success()
        before = self.offset
        ends = [r.offset + 1 for r in page.records] or [page.end]
        self._take(page.records, max(ends))
        if self.offset != before:
            self._publish(self.snapshot())

    def _take(self, records: abc.Iterable[ports.Record], end: int) -> None:
        for record in records:
            if record.key != self._platform.plan_key or not record.value:
                continue
            if record.offset <= self.offset:
                continue
            self.offset = record.offset
            self._newest = record
            self._adopt(record)
        self._next = max(end, self._next or 0)
        if self.offset < self._hinted_offset:
            return
        self._hinted.clear()

    def _adopt(self, record: ports.Record) -> None:
        try:
            plan = self._platform.decode_plan(record.value or b'')
        except ValueError as exc:
            events.emit(
                events.Event.RECORD_REJECTED,
                offset=record.offset,
                error=str(exc)[:200],
            )
            return
        self._consumer.adopt(plan)

    # -- peers -----------------------------------------------------------

    def snapshot(self) -> relay.RelayedRecords | None:
        """Return the newest plan for a peer, None if there is none."""
        if self._newest is None:
            return None
        return relay.RelayedRecords(
            topic=self._platform.plan_topic,
            end=self._next or 0,
            records=(self._newest,),
        )

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Take what a peer has read; an older plan changes nothing."""
        self._take(relayed.records, relayed.end)
