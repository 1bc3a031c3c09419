"""Reads the operators' plan from the store with waiting reads."""

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
"""Longest waiting read of the plan.  A plan must be in force 2 s after it
was accepted, even if the answer to this read is lost, which is detected
0.7 s after its end."""

HINT_GRACE_PERIOD_S = 0.25
"""How long a waiting read may continue once a peer is known to have a newer
plan: usually its answer is already on the way."""

REREAD_INTERVAL = datetime.timedelta(milliseconds=500)
"""Interval of complete reads after a trim, while reads may be stale."""


class PlanConsumer(typing.Protocol):
    """Receives the plans that the feed reads."""

    def adopt_plan(self, plan: plan_module.Plan) -> None:
        """Make a plan the current one if its version is newer."""


class PlanFeed:
    """Reads the plan topic while this gateway is the reader of its zone.

    ``offset`` is the offset of the newest known plan, -1 for none.
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
        """``publish`` sends what this gateway read to its followers."""
        self._platform = platform
        self._store = platform.store
        self._consumer = consumer
        self._clock = clock
        self._selection = selection
        self._health = health
        self._publish = publish
        self._next_offset: int | None = None
        self._newest: ports.Record | None = None
        self._hinted_offset = -1
        self._hinted = asyncio.Event()
        self.offset = -1

    async def run(self) -> None:
        """Read the plan while this gateway is to read, until cancelled."""
        while True:
            if self._is_idle():
                await asyncio.sleep(store_health.IDLE_POLL_INTERVAL_S)
                continue
            try:
                await self.poll()
            except ports.StoreUnavailable as exc:
                self._health.on_failure('plan', exc)
                await self._wait_for_store()

    def _is_idle(self) -> bool:
        if self._read_mode() is not selection_module.ReadMode.FULL:
            return True
        # With a plan at hand, wait for a reader to follow before reading.
        now = self._clock.now()
        return (
            self._newest is not None
            and not self._selection.has_discovered_peers(now)
        )

    def _read_mode(self) -> selection_module.ReadMode:
        return self._selection.read_mode(self._clock.now())

    async def _wait_for_store(self) -> None:
        """Wait until the endpoint feed has reached the store again."""
        while (
            self._health.last_call_failed
            and self._read_mode() is not selection_module.ReadMode.NONE
        ):
            await asyncio.sleep(store_health.IDLE_POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Read the newest plan; if one is known, wait for another.

        Raises ``ports.StoreUnavailable``.
        """
        topic = self._platform.plan_topic
        if self._next_offset is None:
            page = await self._store.newest(topic)
            self._apply_page(page)
            return
        wait = PLAN_READ_TIMEOUT
        if self._health.must_reread():
            await asyncio.sleep(REREAD_INTERVAL.total_seconds())
            self._apply_page(await self._store.newest(topic))
            wait = REREAD_INTERVAL
        try:
            new_page = await self._read(topic, self._next_offset, wait)
        except ports.HistoryTrimmed:
            self._health.on_history_trimmed('plan')
            self._next_offset = None
            return
        if new_page is not None:
            self._apply_page(new_page)

    async def _read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> ports.Page | None:
        """Return records from ``offset``.

        Return None if the read was cancelled since a peer is known to
        have a newer plan.
        """
        if self._hinted.is_set():
            self._hinted.clear()
            wait = datetime.timedelta(0)
        read = asyncio.ensure_future(self._store.read(topic, offset, wait))
        hint = asyncio.ensure_future(self._wait_for_hint())
        try:
            await asyncio.wait(
                {read, hint}, return_when=asyncio.FIRST_COMPLETED
            )
            return read.result() if read.done() else None
        finally:
            read.cancel()
            hint.cancel()

    async def _wait_for_hint(self) -> None:
        await self._hinted.wait()
        await asyncio.sleep(HINT_GRACE_PERIOD_S)

    def notify_offset(self, plan_offset: int) -> None:
        """Record that a peer has a plan at ``plan_offset``.

        A newer one ends the current waiting read after a grace period.
        """
        if plan_offset > self.offset:
            self._hinted_offset = max(self._hinted_offset, plan_offset)
            self._hinted.set()

    def _apply_page(self, page: ports.Page) -> None:
        self._health.on_success()
        offset_before = self.offset
        ends = [r.offset + 1 for r in page.records] or [page.end]
        self._apply(page.records, max(ends))
        if self.offset != offset_before:
            self._publish(self.snapshot())

    def _apply(self, records: abc.Iterable[ports.Record], end: int) -> None:
        for record in records:
            if record.key != self._platform.plan_key or not record.value:
                continue
            if record.offset <= self.offset:
                continue
            self.offset = record.offset
            self._newest = record
            self._adopt(record)
        self._next_offset = max(end, self._next_offset or 0)
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
        self._consumer.adopt_plan(plan)

    def snapshot(self) -> relay.RelayedRecords | None:
        """Return the newest plan for a new follower, None for none."""
        if self._newest is None:
            return None
        return relay.RelayedRecords(
            topic=self._platform.plan_topic,
            end=self._next_offset or 0,
            records=(self._newest,),
        )

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Apply records that a reader sent; an older plan is ignored."""
        self._apply(relayed.records, relayed.end)
