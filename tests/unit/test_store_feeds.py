"""Feeds of endpoints and plans, with a fake store and a manual clock."""

import asyncio
from collections import abc
import datetime
import typing

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import plan
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_feeds
from aspenfold._internal.kernel import clock
from aspenfold.platform import endpoint_statements
from tests.lib import listings

SECOND = datetime.timedelta(seconds=1)


class FakeStore:
    """Returns scripted pages; None stands for an unavailable store."""

    def __init__(self) -> None:
        self.pages: list[ports.Page | None] = []
        self.trimmed = False
        self.lost = False

    async def newest(self, topic: str) -> ports.Page:
        """Return the next page."""
        return self._next_page()

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> ports.Page:
        """Return the next page; never if the answer is lost."""
        if self.trimmed:
            self.trimmed = False
            raise ports.HistoryTrimmed
        if self.lost:
            await asyncio.Event().wait()
        return self._next_page()

    def _next_page(self) -> ports.Page:
        page = self.pages.pop(0)
        if page is None:
            raise ports.StoreUnavailable('unavailable')
        return page

    async def append(
        self, topic: str, key: str, value: bytes, expected_offset: int
    ) -> int:
        """Not used."""
        raise NotImplementedError

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Not used."""
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Do nothing: there are no connections."""


class FeedConsumer:
    """Keeps the plans that it receives."""

    def __init__(self) -> None:
        self.directory = directory.Directory()
        self.plans: list[plan.Plan] = []

    def adopt_plan(self, new_plan: plan.Plan) -> None:
        """Keep a plan."""
        self.plans.append(new_plan)


class FeedsHarness:
    """Feeds with a fake store."""

    def __init__(
        self,
        decode: abc.Callable[[str, bytes], endpoint_listing.Listing]
        | None = None,
    ) -> None:
        self.store = FakeStore()
        self.clock = clock.ManualClock(start=clock.EPOCH)
        self.consumer = FeedConsumer()
        platform = ports.Platform(
            store=self.store,
            plan_topic='plans',
            plan_key='plan',
            decode_plan=decode_plan,
            endpoint_topic='endpoints',
            decode_listing=decode or decode_listing,
            engine=None,  # type: ignore[arg-type]
            decode_statement=endpoint_statements.decode,
        )
        self.selection = reader_selection.ReaderSelection(
            host='g-2', zone='z', now=self.clock.now()
        )
        self.published: list[relay.RelayedRecords | None] = []
        self.feeds = store_feeds.StoreFeeds(
            platform=platform,
            consumer=self.consumer,
            clock=self.clock,
            selection=self.selection,
            publish=self.published.append,
        )

    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.advance_to(self.clock.now() + seconds * SECOND)

    def read_list(self, page: ports.Page | None) -> None:
        """Poll the endpoints once."""
        self.store.pages = [page]
        try:
            asyncio.run(self.feeds.endpoints.poll())
        except ports.StoreUnavailable as exc:
            self.feeds.health.on_failure('list', exc)
        self.feeds.endpoints.remove_missing()

    def read_plan(self, page: ports.Page) -> None:
        """Poll the plan once."""
        self.store.pages = [page]
        asyncio.run(self.feeds.plan.poll())

    def routable(self) -> list[str]:
        """Return the names of endpoints that may get requests."""
        now = self.clock.now()
        endpoints = self.consumer.directory.routable('s', now)
        return sorted(e.name for e in endpoints)


def decode_plan(value: bytes) -> plan.Plan:
    """Decode a plan that consists of its version."""
    return plan.Plan(
        version=int(value),
        routes=(),
        services={},
        limits=plan.DEFAULT_LIMITS,
        organisations=(),
    )


def decode_listing(name: str, value: bytes) -> endpoint_listing.Listing:
    """Decode a listing that consists of a state."""
    return listings.make_listing(name, draining=value == b'draining')


def page(
    *records: tuple[int, str, bytes | None], end: int | None = None
) -> ports.Page:
    """Return a page of records."""
    page_records = tuple(
        ports.Record(offset=o, key=k, value=v) for o, k, v in records
    )
    last = max((o for o, _, _ in records), default=-1) + 1
    return ports.Page(records=page_records, end=last if end is None else end)


def harness_with_endpoints() -> FeedsHarness:
    """Return a harness that knows the endpoints a and b."""
    harness = FeedsHarness()
    harness.read_list(page((0, 'a', b'ready'), (1, 'b', b'ready')))
    assert harness.routable() == ['a', 'b']
    return harness


def test_draining_endpoint_never_becomes_routable_again() -> None:
    """Neither stale reads nor newer records of it may change that."""
    harness = harness_with_endpoints()
    harness.read_list(page((2, 'a', b'draining')))
    assert harness.routable() == ['b']
    harness.feeds.endpoints._next_offset = None
    harness.read_list(page((0, 'a', b'ready'), (1, 'b', b'ready'), end=2))
    harness.read_list(page((3, 'a', b'ready')))
    assert harness.routable() == ['b']


def test_stale_read_does_not_restore_removed_endpoint() -> None:
    """Requests would be sent to an endpoint that is gone."""
    harness = harness_with_endpoints()
    harness.read_list(page((2, 'a', None)))
    assert harness.routable() == ['b']
    harness.feeds.endpoints._next_offset = None
    harness.read_list(page((0, 'a', b'ready'), (1, 'b', b'ready'), end=2))
    assert harness.routable() == ['b']


def test_endpoint_expired_during_store_outage_stays_routable() -> None:
    """A store outage must not make all live endpoints unroutable."""
    harness = harness_with_endpoints()
    harness.read_list(None)
    harness.wait(4)
    harness.read_list(None)
    harness.wait(0.2)
    harness.read_list(page((2, 'a', None)))
    assert harness.routable() == ['a', 'b']
    harness.wait(1)
    harness.read_list(page((3, 'a', b'ready')))
    harness.wait(3)
    harness.read_list(page(end=4))
    assert harness.routable() == ['a', 'b']


def test_endpoint_still_missing_after_store_outage_is_removed() -> None:
    """Requests would be sent to a dead endpoint."""
    harness = harness_with_endpoints()
    harness.read_list(None)
    harness.wait(0.2)
    harness.read_list(page((2, 'a', None)))
    assert harness.routable() == ['a', 'b']
    harness.wait(2.1)
    harness.read_list(page(end=3))
    assert harness.routable() == ['b']


def test_draining_endpoint_that_expires_is_not_routable() -> None:
    """The grace period after a store outage is for live endpoints only."""
    harness = harness_with_endpoints()
    harness.read_list(page((2, 'a', b'draining')))
    harness.read_list(None)
    harness.wait(0.2)
    harness.read_list(page((3, 'a', None)))
    assert harness.routable() == ['b']


def test_complete_read_removes_missing_endpoints() -> None:
    """Their removal records may have been trimmed."""
    harness = harness_with_endpoints()
    harness.wait(10)
    harness.store.trimmed = True
    harness.read_list(page((1, 'b', b'ready'), end=5))
    assert harness.routable() == ['b']


def test_stale_complete_read_removes_nothing() -> None:
    """Endpoints added after its end would be lost."""
    harness = harness_with_endpoints()
    harness.read_list(page((2, 'c', b'ready')))
    harness.feeds.health._reread_until = harness.clock.now() + 10 * SECOND
    harness.read_list(page((0, 'a', b'ready'), end=1))
    assert harness.routable() == ['a', 'b', 'c']


def versions(harness: FeedsHarness) -> list[int]:
    """Return the versions adopted."""
    return [adopted.version for adopted in harness.consumer.plans]


def test_plans_are_adopted_once_in_order() -> None:
    """Records of other keys are ignored."""
    harness = FeedsHarness()
    harness.read_plan(page((4, 'plan', b'7')))
    harness.read_plan(page((5, 'other', b'1'), (6, 'plan', b'9')))
    harness.read_plan(page((4, 'plan', b'7')))
    assert versions(harness) == [7, 9]


def test_invalid_plan_is_skipped() -> None:
    """The next plan must still be read."""
    harness = FeedsHarness()
    harness.read_plan(page((0, 'plan', b'7')))
    harness.read_plan(page((1, 'plan', b'x'), (2, 'plan', b'8')))
    assert versions(harness) == [7, 8]


def test_newest_plan_is_read_after_trim() -> None:
    """Records that were trimmed unread must not stop the feed."""
    harness = FeedsHarness()
    harness.read_plan(page((0, 'plan', b'7')))
    harness.store.trimmed = True
    harness.read_plan(page())
    harness.feeds.health._reread_until = None
    harness.read_plan(page((9, 'plan', b'12'), end=10))
    assert versions(harness) == [7, 12]


def test_peer_with_newer_plan_ends_read_with_lost_answer() -> None:
    """The newer plan must be read without waiting for the timeout."""

    async def run() -> None:
        harness = FeedsHarness()
        harness.store.pages = [page((0, 'plan', b'7'))]
        await harness.feeds.plan.poll()
        harness.store.lost = True
        reading = asyncio.ensure_future(harness.feeds.plan.poll())
        await asyncio.sleep(0)
        harness.feeds.plan.notify_offset(0)
        await asyncio.sleep(0)
        assert not reading.done()
        harness.feeds.plan.notify_offset(4)
        await reading
        harness.store.lost = False
        harness.store.pages = [page((4, 'plan', b'9'))]
        await harness.feeds.plan.poll()
        assert versions(harness) == [7, 9]

    asyncio.run(run())


def relayed(*records: tuple[int, str, bytes | None], **more: object) -> bytes:
    """Return a line of relayed endpoint records."""
    source = page(*records)
    line = relay.RelayedRecords(
        topic='endpoints',
        end=typing.cast(int, more.pop('end', source.end)),
        records=source.records,
        **more,  # type: ignore[arg-type]
    )
    return relay.encode(line)


def test_relayed_endpoints_are_applied() -> None:
    """Changes, removals and complete lists are applied, older ones not."""
    harness = harness_with_endpoints()
    harness.feeds.apply_relayed(relay.decode(relayed((5, 'c', b'ready'))))
    assert harness.routable() == ['a', 'b', 'c']
    harness.feeds.apply_relayed(relay.decode(relayed((6, 'a', b'draining'))))
    harness.feeds.apply_relayed(relay.decode(relayed(removed=('b',), end=8)))
    assert harness.routable() == ['c']
    complete = relayed((7, 'd', b'ready'), is_complete=True, end=9)
    harness.feeds.apply_relayed(relay.decode(complete))
    assert harness.routable() == ['d']
    old = relayed((0, 'a', b'ready'), (1, 'b', b'ready'), is_complete=True)
    harness.feeds.apply_relayed(relay.decode(old))
    assert harness.routable() == ['d']


def test_relayed_plan_is_adopted_unless_older() -> None:
    """The order is that of the records' offsets."""
    harness = FeedsHarness()
    for offset, value in ((4, '7'), (9, '8'), (4, '7')):
        record = ports.Record(offset=offset, key='plan', value=value.encode())
        harness.feeds.apply_relayed(
            relay.RelayedRecords(
                topic='plans', end=offset + 1, records=(record,)
            )
        )
    assert versions(harness) == [7, 8]


def test_changes_are_published_once() -> None:
    """A poll that finds no changes publishes only a keepalive."""
    harness = harness_with_endpoints()
    harness.feeds.endpoints.publish_changes()
    harness.read_list(page((2, 'a', b'ready'), (3, 'b', b'draining')))
    harness.feeds.endpoints.publish_changes()
    harness.read_list(page((4, 'a', b'ready')))
    harness.feeds.endpoints.publish_changes()
    published = [
        line and [(r.key, r.value) for r in line.records]
        for line in harness.published
    ]
    assert published == [
        [('a', b'ready'), ('b', b'ready')],
        [('b', b'draining')],
        None,
    ]


def test_snapshot_contains_all_current_records() -> None:
    """A new follower must know as much as its reader."""
    harness = harness_with_endpoints()
    harness.read_plan(page((4, 'plan', b'7')))
    harness.read_list(page((2, 'a', None), (3, 'c', b'ready')))
    other = FeedsHarness()
    for line in harness.feeds.snapshot():
        other.feeds.apply_relayed(relay.decode(relay.encode(line)))
    assert other.routable() == harness.routable() == ['b', 'c']
    assert versions(other) == [7]


def test_stale_read_does_not_restore_missing_endpoint() -> None:
    """There is no removal record to compare offsets with."""
    harness = harness_with_endpoints()
    harness.feeds.endpoints._next_offset = None
    harness.read_list(page((1, 'b', b'ready'), end=6))
    assert harness.routable() == ['b']
    harness.feeds.endpoints._next_offset = None
    harness.read_list(page((5, 'a', b'ready'), (1, 'b', b'ready'), end=6))
    assert harness.routable() == ['b']


def test_record_that_is_not_utf8_is_rejected() -> None:
    """It must stop neither the reader nor its followers."""
    harness = harness_with_endpoints()
    harness.read_plan(page((0, 'plan', b'7')))
    harness.read_plan(page((1, 'plan', b'\xff\xfe')))
    for line in harness.published:
        assert line is None or relay.encode(line)
    other = FeedsHarness()
    for line in harness.feeds.snapshot():
        other.feeds.apply_relayed(relay.decode(relay.encode(line)))
    assert other.routable() == ['a', 'b']
    assert versions(harness) == [7]
    assert versions(other) == []


def decode_start(name: str, value: bytes) -> endpoint_listing.Listing:
    """Decode a listing that consists of the time of its start."""
    if not value.isdigit():
        raise ValueError('no endpoint writes this')
    return listings.make_listing(name, started_ms=int(value))


def test_an_entry_that_contradicts_its_endpoint_has_to_be_repeated() -> None:
    """Another writer's ended or hid a sound endpoint (issue 45)."""
    harness, follower = FeedsHarness(decode_start), FeedsHarness(decode_start)
    written = [b'9', b'5', b'9', b'5', b'x', b'9', b'5', b'5']
    known = [9, 9, 9, 9, 9, 9, 9, 5]
    for offset, (value, expected) in enumerate(
        zip(written, known, strict=True)
    ):
        harness.read_list(page((offset, 'a', value)))
        harness.feeds.endpoints.publish_changes()
        relayed_records = harness.published[-1]
        if relayed_records is not None:
            follower.feeds.apply_relayed(relayed_records)
        new = FeedsHarness(decode_start)
        for line in harness.feeds.snapshot():
            new.feeds.apply_relayed(line)
        for gateway in (harness, follower, new):
            endpoint = gateway.consumer.directory.get('a')
            assert endpoint is not None
            assert endpoint.listing.started_ms == expected
