"""Leads an expert-parallel group: samples demand and changes its map.

One gateway at a time does this, under a lease in the store.  Orders are safe
even with two leaders, see :mod:`aspenfold._internal.expertmaps.map_switch`.
"""

import asyncio
import datetime

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import count_reader
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import map_planner
from aspenfold._internal.gateway import outage as outage_module
from aspenfold._internal.gateway import peers as peers_module
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

TICK_INTERVAL_S = 0.02
"""Resolution of the map switch's timers, the shortest of which is 40 ms."""

SLOWDOWN_POLL_INTERVAL = datetime.timedelta(seconds=2)
"""How often all ranks' slowdowns are read without agents, which costs money
for each rank."""

AGENT_SLOWDOWN_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
"""The same through agents, which is almost free."""

MIN_REPORTED_SLOWDOWN = 1.2
"""Slowdown from which a rank is published as slow; less may be noise."""

RANK_DISCOVERY_INTERVAL = datetime.timedelta(milliseconds=500)
"""Delay between two searches for the ranks of a group."""

OUTAGE_DISCOVERY_INTERVAL = datetime.timedelta(seconds=1)
"""The same during an outage of the group, unless it is seen to recover."""

RECOVERY_DISCOVERY_INTERVAL = datetime.timedelta(milliseconds=100)
"""The same shortly after the group recovered, while its reports lag by some
200 ms."""

TOKENS_PER_TERM = 1_000_000
"""Tokens of map changes that one term can use; those of the next term are
higher."""


class GroupLeader:
    """Leads one group of a service during one term of leadership.

    Setting ``draining`` prevents further map changes.  ``fenced`` is set
    when a rank reported a higher token.  ``map_changes`` counts the map
    changes that were started.
    """

    def __init__(
        self,
        *,
        service: str,
        group: str,
        shape: plan_module.GroupShape,
        token: int,
        endpoint_directory: directory.Directory,
        ranks_client: rank_client.RankClient,
        zone: str,
        clock: clock_module.Clock,
        peers: peers_module.Peers,
        outage: outage_module.Outage,
    ) -> None:
        self._outage = outage
        self._service = service
        self._group = group
        self._shape = shape
        self._first_token = token * TOKENS_PER_TERM
        self._directory = endpoint_directory
        self._ranks_client = ranks_client
        self._clock = clock
        self._peers = peers
        self._switch: map_switch.MapSwitch | None = None
        self._endpoints: dict[int, directory.Endpoint] = {}
        self._map: rank_protocol.Map = ()
        self._next_map: rank_protocol.Map = ()
        self._planner = map_planner.GroupMapPlanner(
            service=service, shape=shape, clock=clock
        )
        self._counts = count_reader.CountReader(
            ranks_client=ranks_client, planner=self._planner, zone=zone
        )
        self._slowdowns: dict[int, float] = {}
        self._slowdowns_read_at: datetime.datetime | None = None
        self._logged_state: map_switch.State | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.draining = False
        self._stopped = False
        self.fenced = False
        self.map_changes = 0

    @property
    def skew(self) -> float:
        """The mean skew of the sets as last estimated, 0 before that."""
        return self._planner.skew

    @property
    def holds_group(self) -> bool:
        """Whether the group may be blocked on a pass that is held for it."""
        return self._switch is not None and self._switch.may_hold_pass

    def stop(self) -> None:
        """Send no more orders, also not in response to late answers."""
        self._stopped = True

    async def run(self) -> None:
        """Lead until fenced or cancelled."""
        try:
            while not self.fenced:
                if self._switch is None:
                    await self._discover_ranks()
                else:
                    await self._tick(self._switch)
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            self._counts.cancel()
            for task in self._tasks:
                task.cancel()

    async def _discover_ranks(self) -> None:
        """Find the endpoints of all ranks, if the group is available."""
        members = list(self._directory.of_service(self._service))
        reports = await asyncio.gather(
            *(self._ranks_client.report(endpoint) for endpoint in members)
        )
        found: dict[int, directory.Endpoint] = {}
        epochs: set[int] = set()
        size = 0
        hold_rank_report: rank_protocol.Report | None = None
        for endpoint, report in zip(members, reports, strict=True):
            if report is None or report.group != self._group:
                continue
            if not report.open:
                continue
            found[report.rank] = endpoint
            epochs.add(report.epoch)
            size = report.size
            if report.rank == map_switch.HOLD_RANK:
                hold_rank_report = report
        if hold_rank_report is None or len(epochs) != 1 or len(found) != size:
            await self._wait_for_discovery()
            return
        await self._start_leading(found, hold_rank_report)

    async def _wait_for_discovery(self) -> None:
        """Wait until the ranks should be searched for again."""
        if self._outage.is_ongoing:
            await self._outage.wait_for_recovery(OUTAGE_DISCOVERY_INTERVAL)
            return
        delay = RANK_DISCOVERY_INTERVAL
        if self._outage.recent_recovery_age(self._clock.now()) is not None:
            delay = RECOVERY_DISCOVERY_INTERVAL
        await asyncio.sleep(delay.total_seconds())

    async def _start_leading(
        self,
        found: dict[int, directory.Endpoint],
        hold_rank_report: rank_protocol.Report,
    ) -> None:
        """Start to lead the group whose ranks were ``found``.

        A pass that an earlier leader left held is released.
        """
        epoch, version = hold_rank_report.epoch, hold_rank_report.version
        current = await self._read_current_map(found, version)
        if current is None:
            return
        self._map = current
        self._endpoints = found
        # Demand may be known already, so that a new map may pay at once.
        self._counts.expedite()
        self._switch = map_switch.MapSwitch(
            group=self._group,
            epoch=epoch,
            size=len(found),
            first_token=self._first_token,
        )
        events.emit(
            events.Event.GROUP_FOUND,
            group=self._group,
            epoch=epoch,
            ranks=len(found),
            version=version,
            held=hold_rank_report.held,
        )
        self._start_actions(
            self._switch,
            self._switch.on_report(hold_rank_report, self._clock.now()),
        )

    async def _read_current_map(
        self, found: dict[int, directory.Endpoint], version: int
    ) -> rank_protocol.Map | None:
        """Return the map in use, None unless all ranks report it.

        Version 0 is not read, but computed.
        """
        if version == 0:
            return map_planner.initial_map(len(found), self._shape)
        rank_maps = await asyncio.gather(
            *(
                self._ranks_client.rank_map(found[rank])
                for rank in sorted(found)
            )
        )
        by_rank: list[rank_protocol.SetMap] = []
        for rank_map in rank_maps:
            if rank_map is None or rank_map.version != version:
                return None
            by_rank.append(rank_map.experts)
        return tuple(
            tuple(experts[s] for experts in by_rank)
            for s in range(self._shape.sets)
        )

    async def _tick(self, switch: map_switch.MapSwitch) -> None:
        now = self._clock.now()
        self._start_actions(switch, switch.tick(now))
        # After an outage the group runs in a new epoch.
        is_unavailable = self._outage.is_ongoing and not switch.may_hold_pass
        if is_unavailable or switch.state is map_switch.State.LOST:
            self._on_epoch_lost(switch)
            return
        await self._sample_and_plan(switch, now)

    def _on_epoch_lost(self, switch: map_switch.MapSwitch) -> None:
        self._switch = None
        # Ranks that did not restart keep refusing lower tokens.
        self._first_token = switch.token
        self.fenced = switch.fenced
        events.emit(
            events.Event.GROUP_LOST,
            group=switch.group,
            epoch=switch.epoch,
            fenced=switch.fenced,
        )

    async def _sample_and_plan(
        self, switch: map_switch.MapSwitch, now: datetime.datetime
    ) -> None:
        """Sample demand, and change the map if a new one pays for itself."""
        if not self._counts.poll(self._endpoints, now):
            return
        if not switch.is_ready or self.draining:
            return
        if switch.version == switch.token and self._next_map:
            self._map = self._next_map
        self._next_map = ()
        self._start_actions(switch, self._report_requests(now))
        self._publish_slowdowns()
        new_map = await self._planner.plan(self._map, self._slowdown_list())
        if new_map is None or not switch.is_ready or self.draining:
            return
        self._next_map = new_map
        self.map_changes += 1
        self._start_actions(
            switch, switch.start_round(new_map, self._clock.now())
        )

    def _report_requests(
        self, now: datetime.datetime
    ) -> list[map_switch.Action]:
        """Return requests for the reports that are due.

        The rank on which passes are held is always due, all ranks at the
        interval of reading slowdowns.
        """
        last_read_at = self._slowdowns_read_at
        interval = (
            AGENT_SLOWDOWN_POLL_INTERVAL
            if self._counts.agents_answered
            else SLOWDOWN_POLL_INTERVAL
        )
        if last_read_at is not None and now - last_read_at < interval:
            return [map_switch.RequestReport(rank=map_switch.HOLD_RANK)]
        self._slowdowns_read_at = now
        return [
            map_switch.RequestReport(rank=rank) for rank in self._endpoints
        ]

    def _slowdown_list(self) -> list[float]:
        return [
            self._slowdowns.get(rank, 1.0) for rank in sorted(self._endpoints)
        ]

    def _publish_slowdowns(self) -> None:
        """Tell all gateways which ranks are slow, so that they send less."""
        own = {endpoint.name for endpoint in self._endpoints.values()}
        # Keep what this gateway's leaders of other groups published.
        slowdowns = {
            name: slowdown
            for name, slowdown in self._peers.slowdowns.items()
            if name not in own
        }
        for rank, slowdown in self._slowdowns.items():
            if slowdown >= MIN_REPORTED_SLOWDOWN and rank in self._endpoints:
                slowdowns[self._endpoints[rank].name] = round(slowdown, 2)
        if slowdowns != self._peers.slowdowns:
            self._peers.slowdowns = slowdowns
            self._directory.set_slowdowns(slowdowns)
            events.emit(
                events.Event.RANKS_SLOW, group=self._group, paces=slowdowns
            )

    def _start_actions(
        self,
        switch: map_switch.MapSwitch,
        actions: list[map_switch.Action],
    ) -> None:
        if self._stopped:
            return
        for action in actions:
            task = asyncio.create_task(self._execute(switch, action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _execute(
        self, switch: map_switch.MapSwitch, action: map_switch.Action
    ) -> None:
        endpoint = self._endpoints[action.rank]
        if isinstance(action, map_switch.RequestReport):
            report = await self._ranks_client.report(endpoint)
            if report is None or self._switch is not switch:
                return
            self._slowdowns[report.rank] = report.slowdown
            actions = switch.on_report(report, self._clock.now())
        else:
            answer = await self._ranks_client.order(endpoint, action)
            if self._switch is not switch:
                return
            if answer is not rank_protocol.Answer.ACCEPTED:
                events.emit(
                    events.Event.ORDER_REFUSED,
                    rank=action.rank,
                    op=action.op.value,
                    token=action.token,
                    answer=answer.value,
                )
            actions = switch.on_answer(action, answer, self._clock.now())
        self._log_state(switch)
        self._start_actions(switch, actions)

    def _log_state(self, switch: map_switch.MapSwitch) -> None:
        """Log the state of the map change if it is a new one."""
        if switch.state is self._logged_state:
            return
        self._logged_state = switch.state
        events.emit(
            events.Event.SWITCH_MOVED,
            group=switch.group,
            epoch=switch.epoch,
            token=switch.token,
            state=switch.state.value,
            step=switch.step,
        )
