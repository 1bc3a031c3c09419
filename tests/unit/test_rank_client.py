"""Calls of ranks through agents or directly, and reads of their counts."""

import asyncio
import dataclasses
import datetime

import pytest

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import count_reader
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import map_planner
from aspenfold._internal.gateway import plan
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.gateway import sampling
from aspenfold._internal.kernel import clock as clock_module

SECOND = datetime.timedelta(seconds=1)

AGENT_PORT = 7321
ENGINE_PORT = 8080

ORDER = rank_protocol.Order(
    rank=0,
    op=rank_protocol.Op.PREPARE,
    epoch=1,
    token=1,
    version=1,
    new_map=(),
)


SHAPE = plan.GroupShape(
    sets=1,
    experts=2,
    slots_per_rank=2,
    max_new_experts=1,
    copy_time=datetime.timedelta(0),
)

REPORT = rank_protocol.Report(
    group='g',
    epoch=1,
    rank=0,
    size=1,
    open=True,
    step=3,
    version=0,
    prepared=None,
    armed=None,
    held=None,
)


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.time = clock_module.EPOCH

    def now(self) -> datetime.datetime:
        """Return the time."""
        return self.time


class FakeEngine:
    """Answers at the ports that are up; records the ports called."""

    def __init__(self, *up: int) -> None:
        self.up = set(up)
        self.called: list[int] = []

    async def _call(self, port: int) -> None:
        self.called.append(port)
        if port not in self.up:
            raise ports.EngineUnavailable('no answer')

    async def counts(self, host: str, port: int) -> rank_protocol.Counts:
        """Return a rank's counts."""
        await self._call(port)
        return rank_protocol.Counts(epoch=1, counts=(1, 2))

    async def report(self, host: str, port: int) -> rank_protocol.Report:
        """Return a report without an age."""
        await self._call(port)
        return REPORT

    async def rank_map(self, host: str, port: int) -> rank_protocol.RankMap:
        """Return no experts."""
        await self._call(port)
        return rank_protocol.RankMap(version=0, experts=())

    async def order(
        self, host: str, port: int, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Accept an order."""
        self.called.append(port)
        if port not in self.up:
            return rank_protocol.Answer.NONE
        return rank_protocol.Answer.ACCEPTED


FROZEN_AGENT_DELAY_S = 5.0


class EngineWithFrozenAgent(FakeEngine):
    """An engine whose agent is frozen."""

    async def order(
        self, host: str, port: int, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Accept an order; through the agent only after a long time."""
        if port == AGENT_PORT:
            await asyncio.sleep(FROZEN_AGENT_DELAY_S)
        return await super().order(host, port, order)


def endpoint(name: str, zone: str = 'z') -> directory.Endpoint:
    """Return a rank's endpoint."""
    return directory.Endpoint(
        listing=endpoint_listing.Listing(
            name=name,
            service='s',
            host=f'10.0.0.{name}',
            port=ENGINE_PORT,
            zone=zone,
            capacity=4,
            draining=False,
        )
    )


def client_and_clock(
    engine: FakeEngine, agent_port: int = AGENT_PORT
) -> tuple[rank_client.RankClient, FakeClock]:
    """Return a client and its clock."""
    clock = FakeClock()
    client = rank_client.RankClient(
        engine=engine, clock=clock, agent_port=agent_port
    )
    return client, clock


def test_agent_is_called_if_configured() -> None:
    """Without a configured port, the engine itself is called."""
    engine = FakeEngine(AGENT_PORT, ENGINE_PORT)
    client, _ = client_and_clock(engine)
    assert asyncio.run(client.counts(endpoint('1'))) is not None
    assert engine.called == [AGENT_PORT]
    client, _ = client_and_clock(engine, agent_port=0)
    assert asyncio.run(client.counts(endpoint('1'))) is not None
    assert engine.called == [AGENT_PORT, ENGINE_PORT]


def test_agent_without_answer_is_skipped_for_a_while() -> None:
    """Each call to it would take a timeout."""
    engine = FakeEngine(ENGINE_PORT)
    client, clock = client_and_clock(engine)
    for _ in range(2):
        assert asyncio.run(client.counts(endpoint('1'))) is not None
    assert engine.called == [AGENT_PORT, ENGINE_PORT, ENGINE_PORT]
    clock.time += rank_client.AGENT_RETRY_DELAY
    engine.up.add(AGENT_PORT)
    assert asyncio.run(client.counts(endpoint('1'))) is not None
    assert engine.called[3:] == [AGENT_PORT]


def test_agent_only_counts_never_call_the_engine() -> None:
    """Each direct call costs money."""
    engine = FakeEngine(ENGINE_PORT)
    client, _ = client_and_clock(engine)
    for _ in range(2):
        assert (
            asyncio.run(client.counts(endpoint('1'), agent_only=True)) is None
        )
    assert engine.called == [AGENT_PORT]


@pytest.mark.parametrize(
    'op',
    [
        rank_protocol.Op.HOLD,
        rank_protocol.Op.ARM,
        rank_protocol.Op.RELEASE,
        rank_protocol.Op.DISARM,
    ],
)
def test_orders_for_held_pass_go_to_the_engine(
    op: rank_protocol.Op,
) -> None:
    """A frozen agent would block the group."""
    engine = EngineWithFrozenAgent(AGENT_PORT, ENGINE_PORT)
    client, _ = client_and_clock(engine)
    order = dataclasses.replace(ORDER, op=op, step=3)
    answer = asyncio.run(client.order(endpoint('1'), order))
    assert answer is rank_protocol.Answer.ACCEPTED
    assert engine.called == [ENGINE_PORT]


def test_order_to_copy_is_sent_once_through_the_agent() -> None:
    """Without agents it goes to the engine itself."""
    engine = FakeEngine(AGENT_PORT, ENGINE_PORT)
    client, _ = client_and_clock(engine)
    answer = asyncio.run(client.order(endpoint('1'), ORDER))
    assert answer is rank_protocol.Answer.ACCEPTED
    assert engine.called == [AGENT_PORT]
    client, _ = client_and_clock(engine, agent_port=0)
    asyncio.run(client.order(endpoint('1'), ORDER))
    assert engine.called == [AGENT_PORT, ENGINE_PORT]


def test_order_after_one_without_answer_goes_to_the_engine() -> None:
    """Other calls still go through the agent."""
    engine = FakeEngine(ENGINE_PORT)
    client, clock = client_and_clock(engine)
    answer = asyncio.run(client.order(endpoint('1'), ORDER))
    assert answer is rank_protocol.Answer.NONE
    assert engine.called == [AGENT_PORT]
    engine.up.add(AGENT_PORT)
    answer = asyncio.run(client.order(endpoint('1'), ORDER))
    assert answer is rank_protocol.Answer.ACCEPTED
    assert asyncio.run(client.counts(endpoint('1'))) is not None
    assert engine.called == [AGENT_PORT, ENGINE_PORT, AGENT_PORT]
    clock.time += rank_client.AGENT_RETRY_DELAY
    asyncio.run(client.order(endpoint('1'), ORDER))
    assert engine.called[3:] == [AGENT_PORT]


def test_frozen_agent_delays_order_only_by_its_timeout() -> None:
    """The map change of the whole group waits for each rank's copies."""

    async def run() -> None:
        engine = EngineWithFrozenAgent(AGENT_PORT, ENGINE_PORT)
        client, _ = client_and_clock(engine)
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await client.order(endpoint('1'), ORDER)
        assert answer is rank_protocol.Answer.NONE
        timeout = rank_client.AGENT_ORDER_TIMEOUT.total_seconds()
        assert timeout <= loop.time() - started < FROZEN_AGENT_DELAY_S
        answer = await client.order(endpoint('1'), ORDER)
        assert answer is rank_protocol.Answer.ACCEPTED

    asyncio.run(run())


def test_only_reports_through_an_agent_are_fresh() -> None:
    """Engines send delayed reports to other hosts."""
    engine = FakeEngine(AGENT_PORT, ENGINE_PORT)
    client, _ = client_and_clock(engine)
    report = asyncio.run(client.report(endpoint('1')))
    assert report is not None
    assert report.age == datetime.timedelta(0)
    client, _ = client_and_clock(engine, agent_port=0)
    report = asyncio.run(client.report(endpoint('1')))
    assert report is not None
    assert report.age == rank_protocol.MAX_REPORT_AGE


def test_counts_are_read_in_the_same_zone_or_of_few_ranks() -> None:
    """The ranks stay the same, since only the growth of counts is used."""
    zones = {0: 'a', 1: 'b', 2: 'a', 3: 'b'}
    group = {n: endpoint(str(n), zone) for n, zone in zones.items()}

    def choose(zone: str, agent_only: bool, poll: int) -> list[int]:
        return sampling.choose_ranks(
            group, zone=zone, agent_only=agent_only, poll=poll
        )

    assert choose('b', True, 0) == choose('b', True, 1) == [1, 3]
    assert choose('c', True, 0) == [0, 1, 2, 3]
    direct_reads = [choose('b', False, poll) for poll in range(4)]
    assert direct_reads == [[0], [1], [0], [1]]
    all_zones = sampling.choose_ranks(
        group, zone='b', agent_only=True, poll=0, all_zones=True
    )
    assert all_zones == [0, 1, 2, 3]


def test_group_of_another_zone_is_read_less_often() -> None:
    """Traffic between zones costs money."""
    group = {n: endpoint(str(n), 'b') for n in range(24)}
    assert sampling.count_interval(group, 'b') == sampling.ZONE_COUNT_INTERVAL
    assert sampling.count_interval(group, 'a') == sampling.GROUP_COUNT_INTERVAL
    read = sampling.choose_ranks(group, zone='a', agent_only=True, poll=0)
    assert len(read) == sampling.MAX_REMOTE_ZONE_RANKS
    engine = FakeEngine(AGENT_PORT, ENGINE_PORT)
    client, clock = client_and_clock(engine)
    planner = map_planner.GroupMapPlanner(
        service='s', shape=SHAPE, clock=clock
    )
    reader = count_reader.CountReader(
        ranks_client=client, planner=planner, zone='a'
    )

    async def run() -> None:
        for _ in range(60):
            if reader.poll(group, clock.now()):
                await asyncio.sleep(0.01)
            clock.time += datetime.timedelta(milliseconds=50)

    asyncio.run(run())
    # Ten reads in three seconds.
    assert (
        engine.called.count(AGENT_PORT) == 10 * sampling.MAX_REMOTE_ZONE_RANKS
    )


def test_counts_are_not_read_of_a_rank_that_wants_no_requests() -> None:
    """Without agents another rank is read; with them its own host reads."""
    engine = FakeEngine(ENGINE_PORT)
    client, clock = client_and_clock(engine)
    planner = map_planner.GroupMapPlanner(
        service='s', shape=SHAPE, clock=clock
    )
    reader = count_reader.CountReader(
        ranks_client=client, planner=planner, zone='a'
    )
    group = {0: endpoint('0', 'a'), 1: endpoint('1', 'a')}
    read = []

    async def run() -> None:
        for _ in range(3):
            engine.called.clear()
            assert reader.poll(group, clock.now())
            await asyncio.sleep(0.01)
            read.append(engine.called.count(ENGINE_PORT))
            group.get(len(read) - 1, group[0]).leaving = True
            clock.time += SECOND

    asyncio.run(run())
    assert read == [1, 1, 0]
