"""Groups of one service: finding their ranks and detecting recoveries."""

import asyncio
import dataclasses
import datetime
import random

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_listing
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
    """The part of a gateway's core that the monitor uses."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.directory = directory.Directory()
        self.outages = outages.Outages(clock=self.clock)

    def group_services(self) -> list[str]:
        """Return the only service."""
        return [SERVICE]


class FakeRanks:
    """Returns scripted reports; records the names of called endpoints."""

    def __init__(self) -> None:
        self.reports: dict[str, rank_protocol.Report] = {}
        self.called: list[str] = []

    async def report(
        self, endpoint: directory.Endpoint, *, agent_only: bool = False
    ) -> rank_protocol.Report | None:
        """Return a report, None if there is no agent."""
        assert agent_only
        self.called.append(endpoint.name)
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


def monitored_groups(
    *groups: str,
) -> tuple[FakeCore, FakeRanks, group_monitor.GroupMonitor]:
    """Return a gateway's core, its ranks and its monitor.

    The core knows one endpoint, ``e-0``, ``e-1`` and so on, per group.
    """
    core, client = FakeCore(), FakeRanks()
    for number, group in enumerate(groups):
        name = f'e-{number}'
        core.directory.update_listing(
            endpoint_listing.Listing(
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
    monitor = group_monitor.GroupMonitor(
        core=core,  # type: ignore[arg-type]
        ranks_client=client,  # type: ignore[arg-type]
        rng=random.Random(1),
    )
    return core, client, monitor


def run_polls(monitor: group_monitor.GroupMonitor, polls: int) -> None:
    """Run some polls of the monitor."""

    async def run() -> None:
        for _ in range(polls):
            await monitor.poll()

    asyncio.run(run())


def endpoint_named(core: FakeCore, name: str) -> directory.Endpoint:
    """Return the endpoint with this name."""
    endpoint = core.directory.get(name)
    assert endpoint is not None
    return endpoint


def test_each_rank_is_asked_for_its_group_once() -> None:
    """Ranks whose agent does not answer are asked again."""
    core, client, monitor = monitored_groups(*('g' * 6))
    del client.reports['e-5']
    run_polls(monitor, 3)
    groups = [endpoint_named(core, f'e-{n}').group for n in range(6)]
    assert groups == ['g'] * 5 + ['']
    call_counts = {name: client.called.count(name) for name in client.called}
    assert all(call_counts[f'e-{n}'] == 1 for n in range(5))
    assert call_counts['e-5'] >= 2


def test_fresh_report_ends_outage() -> None:
    """Stale reports may be from before the outage."""
    core, client, monitor = monitored_groups('g')
    endpoint_named(core, 'e-0').group = 'g'
    core.outages.record_refusal(SERVICE, 'g')
    client.reports['e-0'] = report('g', is_open=False)
    run_polls(monitor, 1)
    assert core.outages.get(SERVICE, 'g').is_ongoing
    old = dataclasses.replace(report('g'), age=rank_protocol.MAX_REPORT_AGE)
    client.reports['e-0'] = old
    run_polls(monitor, 1)
    assert core.outages.get(SERVICE, 'g').is_ongoing
    client.reports['e-0'] = report('g')
    run_polls(monitor, 1)
    assert not core.outages.get(SERVICE, 'g').is_ongoing


def test_available_groups_are_not_polled() -> None:
    """No request waits for their recovery, so polls would be wasted."""
    core, client, monitor = monitored_groups('g', 'h')
    for name in ('e-0', 'e-1'):
        endpoint_named(core, name).group = 'g'
    run_polls(monitor, 3)
    assert not client.called


def test_request_waits_only_if_no_group_is_available() -> None:
    """It waits for the group that is expected to recover first."""
    core, _, _ = monitored_groups('g', 'h')
    one, two = endpoint_named(core, 'e-0'), endpoint_named(core, 'e-1')
    one.group, two.group = 'g', 'h'
    core_outages = core.outages
    core_outages.record_refusal(SERVICE, 'g')
    assert core_outages.is_unavailable(one)
    assert not core_outages.is_unavailable(two)
    assert core_outages.first_to_recover([one, two]) is None
    core.clock.time += SECOND
    core_outages.record_refusal(SERVICE, 'h')
    assert core_outages.first_to_recover([one, two]) is core_outages.get(
        SERVICE, 'g'
    )
    core_outages.record_recovery(SERVICE, 'g')
    assert core_outages.first_to_recover([one, two]) is None


def test_recovery_of_one_group_is_no_recovery_of_all() -> None:
    """Slots are reserved for retries only if all groups had an outage."""
    core, _, _ = monitored_groups('g', 'h')
    one, two = endpoint_named(core, 'e-0'), endpoint_named(core, 'e-1')
    one.group, two.group = 'g', 'h'
    core.outages.record_refusal(SERVICE, 'g')
    core.outages.record_recovery(SERVICE, 'g')
    assert core.outages.time_since_recovery([one]) is not None
    assert core.outages.time_since_recovery([one, two]) is None
