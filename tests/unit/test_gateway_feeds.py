"""What a gateway believes of endpoints and plans, by a driven clock."""

import asyncio
import datetime
import typing

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import plan
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import store_feeds
from aspenfold._internal.kernel import clock

SECOND = datetime.timedelta(seconds=1)


class FakeStore:
    """Gives scripted pages; None stands for a store that is away."""

    def __init__(self) -> None:
        self.pages: list[ports.Page | None] = []
        self.trimmed = False
        self.lost = False

    async def newest(self, topic: str) -> ports.Page:
        """Give the next page."""
        return self._next()

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> ports.Page:
        """Give the next page."""
        if self.trimmed:
            self.trimmed = False
            raise ports.HistoryTrimmed
        if self.lost:
            await asyncio.Event().wait()
        return self._next()

    def _next(self) -> ports.Page:
        page = self.pages.pop(0)
        if page is None:
            raise ports.StoreUnavailable('away')
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
        """Nothing to forget."""


class FeedConsumer:
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.directory = directory.Directory()
        self.plans: list[plan.Plan] = []

    def adopt(self, found: plan.Plan) -> None:
        """Keep a plan."""
        self.plans.append(found)


class Scene:
    """Feeds over a fake store."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.clock = clock.ManualClock(start=clock.EPOCH)
        self.consumer = FeedConsumer()
        platform = ports.Platform(
            store=self.store,
            plan_topic='plans',
            plan_key='plan',
            decode_plan=decode_plan,
            endpoint_topic='endpoints',
            decode_listing=decode_listing,
            engine=None,  # type: ignore[arg-type]
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
        """Let time pass."""
        self.clock.advance_to(self.clock.now() + seconds * SECOND)

    def read_list(self, page: ports.Page | None) -> None:
        """Read the list once."""
        self.store.pages = [page]
        try:
            asyncio.run(self.feeds.endpoints.poll())
        except ports.StoreUnavailable as exc:
            self.feeds.health.on_failure('list', exc)
        self.feeds.endpoints.remove_missing()

    def read_plan(self, page: ports.Page) -> None:
        """Read the plan once."""
        self.store.pages = [page]
        asyncio.run(self.feeds.plan.poll())

    def routable(self) -> list[str]:
        """Return which endpoints may get a request."""
        now = self.clock.now()
        found = self.consumer.directory.routable('s', now)
        return sorted(e.name for e in found)


def decode_plan(value: bytes) -> plan.Plan:
    """Decode a plan that is only a number."""
    return plan.Plan(
        version=int(value),
        routes=(),
        services={},
        limits=plan.DEFAULT_LIMITS,
        organisations=(),
    )


def decode_listing(name: str, value: bytes) -> directory.Listing:
    """Decode a listing that is only a state."""
    return directory.Listing(
        name=name,
        service='s',
        host='h',
        port=1,
        zone='z',
        capacity=4,
        draining=value == b'draining',
    )


def page(
    *records: tuple[int, str, bytes | None], end: int | None = None
) -> ports.Page:
    """Return a page of records."""
    found = tuple(
        ports.Record(offset=o, key=k, value=v) for o, k, v in records
    )
    last = max((o for o, _, _ in records), default=-1) + 1
    return ports.Page(records=found, end=last if end is None else end)


def begun() -> Scene:
    """Return a scene that knows endpoints a and b."""
    scene = Scene()
    scene.read_list(page((0, 'a', b'ready'), (1, 'b', b'ready')))
    assert scene.routable() == ['a', 'b']
    return scene


def test_leaving_is_for_ever() -> None:
    """An old reading that says otherwise changes nothing."""
    scene = begun()
    scene.read_list(page((2, 'a', b'draining')))
    assert scene.routable() == ['b']
    scene.feeds.endpoints._next_offset = None
    scene.read_list(page((0, 'a', b'ready'), (1, 'b', b'ready'), end=2))
    scene.read_list(page((3, 'a', b'ready')))
    assert scene.routable() == ['b']


def test_a_removed_endpoint_does_not_return_by_an_old_reading() -> None:
    """Only a newer record brings it back."""
    scene = begun()
    scene.read_list(page((2, 'a', None)))
    assert scene.routable() == ['b']
    scene.feeds.endpoints._next_offset = None
    scene.read_list(page((0, 'a', b'ready'), (1, 'b', b'ready'), end=2))
    assert scene.routable() == ['b']


def test_an_entry_that_lapsed_in_an_outage_stays_in_use() -> None:
    """Until two seconds after the store's return."""
    scene = begun()
    scene.read_list(None)
    scene.wait(4)
    scene.read_list(None)
    scene.wait(0.2)
    scene.read_list(page((2, 'a', None)))
    assert scene.routable() == ['a', 'b']
    scene.wait(1)
    scene.read_list(page((3, 'a', b'ready')))
    scene.wait(3)
    scene.read_list(page(end=4))
    assert scene.routable() == ['a', 'b']


def test_an_entry_still_missing_after_the_return_is_gone() -> None:
    """Its endpoint is dead."""
    scene = begun()
    scene.read_list(None)
    scene.wait(0.2)
    scene.read_list(page((2, 'a', None)))
    assert scene.routable() == ['a', 'b']
    scene.wait(2.1)
    scene.read_list(page(end=3))
    assert scene.routable() == ['b']


def test_a_draining_endpoint_that_lapses_is_not_revived() -> None:
    """What was learnt as leaving goes before the grace."""
    scene = begun()
    scene.read_list(page((2, 'a', b'draining')))
    scene.read_list(None)
    scene.wait(0.2)
    scene.read_list(page((3, 'a', None)))
    assert scene.routable() == ['b']


def test_a_whole_reading_removes_what_it_lacks() -> None:
    """After the history was trimmed."""
    scene = begun()
    scene.wait(10)
    scene.store.trimmed = True
    scene.read_list(page((1, 'b', b'ready'), end=5))
    assert scene.routable() == ['b']


def test_an_old_whole_reading_removes_nothing() -> None:
    """Its end lies before what was read already."""
    scene = begun()
    scene.read_list(page((2, 'c', b'ready')))
    scene.feeds.health._reread_until = scene.clock.now() + 10 * SECOND
    scene.read_list(page((0, 'a', b'ready'), end=1))
    assert scene.routable() == ['a', 'b', 'c']


def versions(scene: Scene) -> list[int]:
    """Return the versions adopted."""
    return [found.version for found in scene.consumer.plans]


def test_plans_are_read_in_the_log_s_order() -> None:
    """Each once; other keys are left out."""
    scene = Scene()
    scene.read_plan(page((4, 'plan', b'7')))
    scene.read_plan(page((5, 'other', b'1'), (6, 'plan', b'9')))
    scene.read_plan(page((4, 'plan', b'7')))
    assert versions(scene) == [7, 9]


def test_a_bad_plan_does_not_stop_the_reader() -> None:
    """It is left out, and the next one read."""
    scene = Scene()
    scene.read_plan(page((0, 'plan', b'7')))
    scene.read_plan(page((1, 'plan', b'x'), (2, 'plan', b'8')))
    assert versions(scene) == [7, 8]


def test_after_a_trim_the_newest_plan_is_read() -> None:
    """And nothing older than what was known."""
    scene = Scene()
    scene.read_plan(page((0, 'plan', b'7')))
    scene.store.trimmed = True
    scene.read_plan(page())
    scene.feeds.health._reread_until = None
    scene.read_plan(page((9, 'plan', b'12'), end=10))
    assert versions(scene) == [7, 12]


def test_a_peer_s_word_ends_a_read_whose_answer_was_lost() -> None:
    """The newer plan is then read at once."""

    async def run() -> None:
        scene = Scene()
        scene.store.pages = [page((0, 'plan', b'7'))]
        await scene.feeds.plan.poll()
        scene.store.lost = True
        reading = asyncio.ensure_future(scene.feeds.plan.poll())
        await asyncio.sleep(0)
        scene.feeds.plan.notify_offset(0)
        await asyncio.sleep(0)
        assert not reading.done()
        scene.feeds.plan.notify_offset(4)
        await reading
        scene.store.lost = False
        scene.store.pages = [page((4, 'plan', b'9'))]
        await scene.feeds.plan.poll()
        assert versions(scene) == [7, 9]

    asyncio.run(run())


def relayed(*records: tuple[int, str, bytes | None], **more: object) -> bytes:
    """Return a line of news about endpoints."""
    found = page(*records)
    news = relay.RelayedRecords(
        topic='endpoints',
        end=typing.cast(int, more.pop('end', found.end)),
        records=found.records,
        **more,  # type: ignore[arg-type]
    )
    return relay.encode(news)


def test_a_peer_s_news_is_taken_like_one_s_own() -> None:
    """Changes, removals and whole lists; older ones change nothing."""
    scene = begun()
    scene.feeds.apply_relayed(relay.decode(relayed((5, 'c', b'ready'))))
    assert scene.routable() == ['a', 'b', 'c']
    scene.feeds.apply_relayed(relay.decode(relayed((6, 'a', b'draining'))))
    scene.feeds.apply_relayed(relay.decode(relayed(absent=('b',), end=8)))
    assert scene.routable() == ['c']
    whole = relayed((7, 'd', b'ready'), whole=True, end=9)
    scene.feeds.apply_relayed(relay.decode(whole))
    assert scene.routable() == ['d']
    old = relayed((0, 'a', b'ready'), (1, 'b', b'ready'), whole=True)
    scene.feeds.apply_relayed(relay.decode(old))
    assert scene.routable() == ['d']


def test_a_peer_s_plan_is_taken_and_never_goes_back() -> None:
    """By the offset of its record."""
    scene = Scene()
    for offset, value in ((4, '7'), (9, '8'), (4, '7')):
        record = ports.Record(offset=offset, key='plan', value=value.encode())
        scene.feeds.apply_relayed(
            relay.RelayedRecords(
                topic='plans', end=offset + 1, records=(record,)
            )
        )
    assert versions(scene) == [7, 8]


def test_what_is_read_is_passed_on_once() -> None:
    """A heartbeat alone is no news, but shows that the reader lives."""
    scene = begun()
    scene.feeds.endpoints.publish_changes()
    scene.read_list(page((2, 'a', b'ready'), (3, 'b', b'draining')))
    scene.feeds.endpoints.publish_changes()
    scene.read_list(page((4, 'a', b'ready')))
    scene.feeds.endpoints.publish_changes()
    told = [
        news and [(r.key, r.value) for r in news.records]
        for news in scene.published
    ]
    assert told == [
        [('a', b'ready'), ('b', b'ready')],
        [('b', b'draining')],
        None,
    ]


def test_a_snapshot_tells_all_that_is_known() -> None:
    """One that begins to follow then knows as much."""
    scene = begun()
    scene.read_plan(page((4, 'plan', b'7')))
    scene.read_list(page((2, 'a', None), (3, 'c', b'ready')))
    other = Scene()
    for news in scene.feeds.snapshot():
        other.feeds.apply_relayed(relay.decode(relay.encode(news)))
    assert other.routable() == scene.routable() == ['b', 'c']
    assert versions(other) == [7]


def test_an_endpoint_that_is_gone_does_not_return_by_an_old_reading() -> None:
    """Also if there was no record of its removal."""
    scene = begun()
    scene.feeds.endpoints._next_offset = None
    scene.read_list(page((1, 'b', b'ready'), end=6))
    assert scene.routable() == ['b']
    scene.feeds.endpoints._next_offset = None
    scene.read_list(page((5, 'a', b'ready'), (1, 'b', b'ready'), end=6))
    assert scene.routable() == ['b']


def test_a_record_that_is_no_text_stops_no_reader() -> None:
    """It is rejected here, and by a follower too."""
    scene = begun()
    scene.read_plan(page((0, 'plan', b'7')))
    scene.read_plan(page((1, 'plan', b'\xff\xfe')))
    for news in scene.published:
        assert news is None or relay.encode(news)
    other = Scene()
    for news in scene.feeds.snapshot():
        other.feeds.apply_relayed(relay.decode(relay.encode(news)))
    assert other.routable() == ['a', 'b']
    assert versions(scene) == [7]
    assert versions(other) == []
