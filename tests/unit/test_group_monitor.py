"""Groups of one service: which rank is where, and which of them run."""

import asyncio
import dataclasses
import datetime
import random

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import group_monitor
from aspenfold._internal.gateway import outages
from aspenfold._internal.kernel import clock as clock_module

SECOND = datetime.timedelta(seconds=1)
SERVICE = 's'


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.time = clock_module.EPOCH

    def now(self) -> datetime.datetime:
        """Return the time."""
        return self.time


class FakeCore:
    """The part of a gateway's core that the watch uses."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.directory = directory.Directory()
        self.outages = outages.Outages(clock=self.clock)

    def group_services(self) -> list[str]:
        """Return the only service."""
        return [SERVICE]


class FakeRanks:
    """Tells each endpoint's report; counts how often it was asked."""

    def __init__(self) -> None:
        self.reports: dict[str, rank_protocol.Report] = {}
        self.asked: list[str] = []

    async def report(
        self, endpoint: directory.Endpoint, *, agent_only: bool = False
    ) -> rank_protocol.Report | None:
        """Return a report, None if there is no agent."""
        assert agent_only
        self.asked.append(endpoint.name)
        return self.reports.get(endpoint.name)


def report(group: str, *, is_open: bool = True) -> rank_protocol.Report:
    """Return a fresh report."""
    return rank_protocol.Report(
        group=group,
        epoch=1,
        rank=0,
        size=1,
        open=is_open,
        step=1,
        version=0,
        prepared=None,
        armed=None,
        held=None,
        age=datetime.timedelta(milliseconds=3),
    )


def world(
    *groups: str,
) -> tuple[FakeCore, FakeRanks, group_monitor.GroupMonitor]:
    """Return a gateway that knows one rank of each group by name."""
    core, client = FakeCore(), FakeRanks()
    for number, group in enumerate(groups):
        name = f'e-{number}'
        core.directory.update_listing(
            directory.Listing(
                name=name,
                service=SERVICE,
                host=name,
                port=1,
                zone='z',
                capacity=4,
                draining=False,
            )
        )
        client.reports[name] = report(group)
    watch = group_monitor.GroupMonitor(
        core=core,  # type: ignore[arg-type]
        ranks_client=client,  # type: ignore[arg-type]
        rng=random.Random(1),
    )
    return core, client, watch


def watch_for(watch: group_monitor.GroupMonitor, turns: int) -> None:
    """Let the watch take some turns."""

    async def run() -> None:
        for _ in range(turns):
            await watch.poll()

    asyncio.run(run())


def member(core: FakeCore, name: str) -> directory.Endpoint:
    """Return a known endpoint."""
    found = core.directory.get(name)
    assert found is not None
    return found


def test_each_rank_is_asked_for_its_group_once() -> None:
    """Few at a time; one that has no agent is asked again."""
    core, client, watch = world(*('g' * 6))
    del client.reports['e-5']
    watch_for(watch, 3)
    known = [member(core, f'e-{n}').group for n in range(6)]
    assert known == ['g'] * 5 + ['']
    asked = {name: client.asked.count(name) for name in client.asked}
    assert all(asked[f'e-{n}'] == 1 for n in range(5))
    assert asked['e-5'] >= 2


def test_a_standing_group_is_seen_to_open() -> None:
    """By a fresh report, without a request that might be refused."""
    core, client, watch = world('g')
    member(core, 'e-0').group = 'g'
    core.outages.record_refusal(SERVICE, 'g')
    client.reports['e-0'] = report('g', is_open=False)
    watch_for(watch, 1)
    assert core.outages.get(SERVICE, 'g').is_ongoing
    old = dataclasses.replace(report('g'), age=rank_protocol.MAX_REPORT_AGE)
    client.reports['e-0'] = old
    watch_for(watch, 1)
    assert core.outages.get(SERVICE, 'g').is_ongoing
    client.reports['e-0'] = report('g')
    watch_for(watch, 1)
    assert not core.outages.get(SERVICE, 'g').is_ongoing


def test_groups_that_run_are_not_asked() -> None:
    """Once it is known who is in them."""
    core, client, watch = world('g', 'h')
    for name in ('e-0', 'e-1'):
        member(core, name).group = 'g'
    watch_for(watch, 3)
    assert not client.asked


def test_a_request_waits_only_if_no_group_runs() -> None:
    """And then for the one that is expected to open first."""
    core, _, _ = world('g', 'h')
    one, two = member(core, 'e-0'), member(core, 'e-1')
    one.group, two.group = 'g', 'h'
    known = core.outages
    known.record_refusal(SERVICE, 'g')
    assert known.is_unavailable(one)
    assert not known.is_unavailable(two)
    assert known.first_to_recover([one, two]) is None
    core.clock.time += SECOND
    known.record_refusal(SERVICE, 'h')
    assert known.first_to_recover([one, two]) is known.get(SERVICE, 'g')
    known.record_recovery(SERVICE, 'g')
    assert known.first_to_recover([one, two]) is None


def test_a_backlog_of_one_group_is_no_backlog_of_all() -> None:
    """First streams leave room only where all groups catch up."""
    core, _, _ = world('g', 'h')
    one, two = member(core, 'e-0'), member(core, 'e-1')
    one.group, two.group = 'g', 'h'
    core.outages.record_refusal(SERVICE, 'g')
    core.outages.record_recovery(SERVICE, 'g')
    assert core.outages.time_since_recovery([one]) is not None
    assert core.outages.time_since_recovery([one, two]) is None
