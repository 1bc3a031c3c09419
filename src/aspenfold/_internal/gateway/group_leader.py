"""Leads an expert-parallel group: watches demand, changes maps.

One gateway at a time does this, under a lease in the store.  Its orders
are safe without the lease, see :mod:`aspenfold._internal.expertmaps.\
map_switch`.
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
"""Pace of the switch's timers, half of its shortest, 40 ms."""

SLOWDOWN_POLL_INTERVAL = datetime.timedelta(seconds=2)
"""How often all ranks are asked how fast they are: a rank that turns
slow holds back all, and each asking costs a probe a rank."""

AGENT_SLOWDOWN_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
"""The same through agents, where asking costs next to nothing."""

MIN_REPORTED_SLOWDOWN = 1.2
"""A rank is told as slow from here; less is within a report's noise."""

DISCOVERY_INTERVAL = datetime.timedelta(milliseconds=500)
"""Wait between two searches for the ranks of a broken group."""

OUTAGE_DISCOVERY_INTERVAL = datetime.timedelta(seconds=1)
"""The same while the group refuses requests, unless it is seen to run:
each search costs a probe of every rank."""

RECOVERY_DISCOVERY_INTERVAL = datetime.timedelta(milliseconds=100)
"""The same when it was just seen to run: reports are 200 ms behind."""

TOKENS_PER_TERM = 1_000_000
"""Rounds that one term may take; tokens of the next are all higher."""


class GroupLeader:
    """Leads the group behind one service for one term."""

    def __init__(
        self,
        *,
        service: str,
        group: str,
        shape: plan_module.GroupShape,
        token: int,
        members: directory.Directory,
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
        self._members = members
        self._ranks = ranks_client
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
        self._paces: dict[int, float] = {}
        self._paced_at: datetime.datetime | None = None
        self._told_state: map_switch.State | None = None
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
        """Whether the group may stand until this leader goes on."""
        return self._switch is not None and self._switch.may_hold_pass

    def stop(self) -> None:
        """Send no more orders, whatever answers still come."""
        self._stopped = True

    async def run(self) -> None:
        """Lead until fenced or cancelled.

        Once ``ending`` is set, no new round is begun.
        """
        try:
            while not self.fenced:
                if self._switch is None:
                    await self._find_group()
                else:
                    await self._turn(self._switch)
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            self._counts.cancel()
            for task in self._tasks:
                task.cancel()

    # -- finding the ranks -----------------------------------------------

    async def _find_group(self) -> None:
        """Learn which endpoint is which rank of a group that is open."""
        members = list(self._members.of_service(self._service))
        reports = await asyncio.gather(
            *(self._ranks.report(endpoint) for endpoint in members)
        )
        found: dict[int, directory.Endpoint] = {}
        epochs: set[int] = set()
        size = 0
        holder: rank_protocol.Report | None = None
        for endpoint, report in zip(members, reports, strict=True):
            if report is None or report.group != self._group:
                continue
            if not report.open:
                continue
            found[report.rank] = endpoint
            epochs.add(report.epoch)
            size = report.size
            if report.rank == map_switch.HOLD_RANK:
                holder = report
        if holder is None or len(epochs) != 1 or len(found) != size:
            await self._wait_to_find()
            return
        await self._take_group(found, holder)

    async def _wait_to_find(self) -> None:
        """Wait until another search for the ranks may find them."""
        if self._outage.is_ongoing:
            await self._outage.wait(OUTAGE_DISCOVERY_INTERVAL)
            return
        wait = DISCOVERY_INTERVAL
        if self._outage.recent_recovery_age(self._clock.now()) is not None:
            wait = RECOVERY_DISCOVERY_INTERVAL
        await asyncio.sleep(wait.total_seconds())

    async def _take_group(
        self,
        found: dict[int, directory.Endpoint],
        holder: rank_protocol.Report,
    ) -> None:
        """Lead the group; a pass that is held already is released soon."""
        epoch, version = holder.epoch, holder.version
        current = await self._current_map(found, version)
        if current is None:
            return
        self._map = current
        self._endpoints = found
        # Demand may be known already: look at once whether a map pays.
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
            held=holder.held,
        )
        self._perform(
            self._switch, self._switch.on_report(holder, self._clock.now())
        )

    async def _current_map(
        self, found: dict[int, directory.Endpoint], version: int
    ) -> rank_protocol.Map | None:
        """Return the map in use, None if it cannot be read whole."""
        if version == 0:
            return map_planner.initial_map(len(found), self._shape)
        held = await asyncio.gather(
            *(self._ranks.held(found[rank]) for rank in sorted(found))
        )
        by_rank: list[rank_protocol.SetMap] = []
        for rank_map in held:
            if rank_map is None or rank_map.version != version:
                return None
            by_rank.append(rank_map.experts)
        return tuple(
            tuple(experts[s] for experts in by_rank)
            for s in range(self._shape.sets)
        )

    # -- leading ---------------------------------------------------------

    async def _turn(self, switch: map_switch.MapSwitch) -> None:
        now = self._clock.now()
        self._perform(switch, switch.tick(now))
        # A group that refuses requests opens in a new epoch.
        broken = self._outage.is_ongoing and not switch.may_hold_pass
        if broken or switch.state is map_switch.State.LOST:
            self._leave(switch)
            return
        await self._watch(switch, now)

    def _leave(self, switch: map_switch.MapSwitch) -> None:
        self._switch = None
        # Ranks that did not restart go on to refuse lower tokens.
        self._first_token = switch.token
        self.fenced = switch.fenced
        events.emit(
            events.Event.GROUP_LOST,
            group=switch.group,
            epoch=switch.epoch,
            fenced=switch.fenced,
        )

    async def _watch(
        self, switch: map_switch.MapSwitch, now: datetime.datetime
    ) -> None:
        """Sample demand, and begin a round where a new map pays."""
        if not self._counts.poll(self._endpoints, now):
            return
        if not switch.is_ready or self.draining:
            return
        if switch.version == switch.token and self._next_map:
            self._map = self._next_map
        self._next_map = ()
        self._perform(switch, self._asks(now))
        self._tell_paces()
        new_map = await self._planner.plan(self._map, self._pace_list())
        if new_map is None or not switch.is_ready or self.draining:
            return
        self._next_map = new_map
        self.map_changes += 1
        self._perform(switch, switch.start_round(new_map, self._clock.now()))

    def _asks(self, now: datetime.datetime) -> list[map_switch.Action]:
        """Ask the rank that may be held, and at times all for their pace."""
        last = self._paced_at
        wait = (
            AGENT_SLOWDOWN_POLL_INTERVAL
            if self._counts.agents_answered
            else SLOWDOWN_POLL_INTERVAL
        )
        if last is not None and now - last < wait:
            return [map_switch.RequestReport(rank=map_switch.HOLD_RANK)]
        self._paced_at = now
        return [
            map_switch.RequestReport(rank=rank) for rank in self._endpoints
        ]

    def _pace_list(self) -> list[float]:
        return [self._paces.get(rank, 1.0) for rank in sorted(self._endpoints)]

    def _tell_paces(self) -> None:
        """Let all gateways send less to ranks that are slow."""
        own = {endpoint.name for endpoint in self._endpoints.values()}
        # Leaders of other groups may tell theirs here, too.
        paces = {
            name: pace
            for name, pace in self._peers.slowdowns.items()
            if name not in own
        }
        for rank, pace in self._paces.items():
            if pace >= MIN_REPORTED_SLOWDOWN and rank in self._endpoints:
                paces[self._endpoints[rank].name] = round(pace, 2)
        if paces != self._peers.slowdowns:
            self._peers.slowdowns = paces
            self._members.set_slowdowns(paces)
            events.emit(
                events.Event.RANKS_SLOW, group=self._group, paces=paces
            )

    # -- carrying out ----------------------------------------------------

    def _perform(
        self,
        switch: map_switch.MapSwitch,
        actions: list[map_switch.Action],
    ) -> None:
        if self._stopped:
            return
        for action in actions:
            task = asyncio.create_task(self._act(switch, action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _act(
        self, switch: map_switch.MapSwitch, action: map_switch.Action
    ) -> None:
        endpoint = self._endpoints[action.rank]
        if isinstance(action, map_switch.RequestReport):
            report = await self._ranks.report(endpoint)
            if report is None or self._switch is not switch:
                return
            self._paces[report.rank] = report.slowdown
            more = switch.on_report(report, self._clock.now())
        else:
            answer = await self._ranks.order(endpoint, action)
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
            more = switch.on_answer(action, answer, self._clock.now())
        self._tell_state(switch)
        self._perform(switch, more)

    def _tell_state(self, switch: map_switch.MapSwitch) -> None:
        """Log a change of map's next state, once."""
        if switch.state is self._told_state:
            return
        self._told_state = switch.state
        events.emit(
            events.Event.SWITCH_MOVED,
            group=switch.group,
            epoch=switch.epoch,
            token=switch.token,
            state=switch.state.value,
            step=switch.step,
        )
