"""Keeps one gateway, under a lease, leading the expert-parallel groups."""

import asyncio
from collections import abc
import contextlib
import datetime
import random

import orjson

from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import group_leader
from aspenfold._internal.gateway import peers as peers_module
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.leases import election as election_module
from aspenfold._internal.observability import events

LEASE_TOPIC = 'keyed.aspenfold-lease'
"""Our own topic in the store."""

LEASE_KEY = 'maps'

FOLLOWER_READ_TIMEOUT = datetime.timedelta(seconds=4)
"""Longest waiting read of those who do not lead."""

STARTUP_READ_TIMEOUT = datetime.timedelta(milliseconds=500)
"""The same while it is not known yet whether a leader lives."""

RETRY_DELAY = datetime.timedelta(milliseconds=700)
"""Wait after a failed call; leading goes on without the store."""

POLL_INTERVAL = datetime.timedelta(milliseconds=200)
"""Pace at which a leader looks whether to renew, and for new groups."""

PROCESS_ID_BITS = 32
"""Bits that tell a process from the one that ran on its host before."""

DRAIN_TIMEOUT = datetime.timedelta(seconds=2)
"""Longest wait of an ending process for its round: one that goes well
holds its group for some 0.1 s, one that is undone for 0.7 s."""

DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=20)

DISCOVERY_INTERVAL = datetime.timedelta(seconds=5)
"""Pace of the search for groups that are not led yet."""


class GroupLeadership:
    """Contests the lease; leads each group while it is held."""

    def __init__(
        self,
        *,
        host: str,
        core: core_module.Core,
        platform: ports.Platform,
        ranks_client: rank_client.RankClient,
        peers: peers_module.Peers,
        rng: random.Random,
        is_passive: abc.Callable[[], bool],
    ) -> None:
        """``rests`` says whether a peer reads the store for this one.

        Such a process does not contest the lease: those that read do.
        """
        self._is_passive = is_passive
        self._core = core
        self._peers = peers
        self._store = platform.store
        self._ranks = ranks_client
        self._rng = rng
        self._election = election_module.LeaseElection(
            name=f'{host}/{rng.getrandbits(PROCESS_ID_BITS):08x}',
            host=host,
            rng=rng,
        )
        self._leaders: dict[
            tuple[str, str], tuple[group_leader.GroupLeader, asyncio.Task]
        ] = {}
        self._led = 0
        self._draining = False
        # What the store has is not known, or may have changed.
        self._stale = True
        self._discovered_at: datetime.datetime | None = None

    @property
    def is_leading(self) -> bool:
        """Whether this process leads."""
        return self._led != 0

    @property
    def map_changes(self) -> int:
        """Changes of map that were begun in this term."""
        return sum(leader.map_changes for leader, _ in self._leaders.values())

    @property
    def skew(self) -> float:
        """The largest mean skew of a group's sets as last estimated."""
        skews = (leader.skew for leader, _ in self._leaders.values())
        return max(skews, default=0.0)

    async def run(self) -> None:
        """Contest and lead for ever."""
        try:
            while True:
                if self._shapes():
                    await self._turn()
                else:
                    await asyncio.sleep(POLL_INTERVAL.total_seconds())
        finally:
            self._stop_leading()

    async def drain(self) -> None:
        """Begin no more rounds; return once no group is held for one.

        A leader that ended before would leave its group standing until
        another has taken over, and none can while the store is down.
        """
        self._draining = True
        for leader, _ in self._leaders.values():
            leader.draining = True
        limit = DRAIN_TIMEOUT.total_seconds()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                while any(ld.holds_group for ld, _ in self._leaders.values()):
                    await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())
        held = [n for n, (ld, _) in self._leaders.items() if ld.holds_group]
        for service, group in held:
            events.emit(
                events.Event.GROUP_LEFT_HELD, service=service, group=group
            )
        # In the same turn of the loop, so that no hold comes after.
        for leader, _ in self._leaders.values():
            leader.stop()

    async def release(self) -> None:
        """Give the lease up, so that another process leads at once."""
        request = self._election.release()
        self._stop_leading()
        if request is not None:
            try:
                await self._append(request)
            except (ports.StoreUnavailable, ports.AppendConflict) as exc:
                # It lapses by itself, which only takes longer.
                self._tell_failure(exc)

    # -- the lease -------------------------------------------------------

    async def _turn(self) -> None:
        now = self._core.clock.now()
        if not self._led and (
            self._peers.is_leader_alive(now) or self._is_passive()
        ):
            # What the store has is read again once it falls silent.
            self._stale = True
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
            return
        try:
            if self._stale:
                await self._read_newest()
            silent = self._peers.is_leader_lost(now)
            request = self._election.next_append(now, holder_silent=silent)
            if request is not None:
                await self._append(request)
            elif self._election.token:
                await asyncio.sleep(POLL_INTERVAL.total_seconds())
            else:
                await self._follow()
        except ports.AppendConflict as exc:
            # Another's record, or an own one whose answer was lost.
            self._election.on_append_conflict(exc.end)
            self._stale = True
        except ports.StoreUnavailable as exc:
            self._stale = True
            self._tell_failure(exc)
            await asyncio.sleep(RETRY_DELAY.total_seconds())
        self._follow_token()
        await self._lead()

    async def _append(self, request: election_module.AppendRequest) -> None:
        record = {
            'holder': request.holder,
            'host': request.host,
            'token': request.token,
        }
        value = orjson.dumps(record)
        offset = await self._store.append(
            LEASE_TOPIC, LEASE_KEY, value, request.expected_offset
        )
        grant = election_module.LeaseRecord(
            holder=request.holder,
            host=request.host,
            token=request.token,
            offset=offset,
        )
        self._election.on_read(grant, offset + 1, self._core.clock.now())

    async def _follow(self) -> None:
        now = self._core.clock.now()
        silent = self._peers.is_leader_lost(now)
        longest = (
            STARTUP_READ_TIMEOUT
            if self._peers.is_discovering_leader(now)
            else FOLLOWER_READ_TIMEOUT
        )
        wait = min(
            longest, self._election.next_append_in(now, holder_silent=silent)
        )
        try:
            page = await self._store.read(
                LEASE_TOPIC, self._election.topic_end, wait
            )
        except ports.HistoryTrimmed:
            self._stale = True
            return
        self._take(page)

    async def _read_newest(self) -> None:
        self._take(await self._store.newest(LEASE_TOPIC))

    def _tell_failure(self, exc: Exception) -> None:
        events.emit(
            events.Event.LEASE_UNSURE,
            duty=LEASE_KEY,
            leads=self.is_leading,
            error=str(exc)[:200],
        )

    def _take(self, page: ports.Page) -> None:
        grant = None
        for record in page.records:
            if record.key == LEASE_KEY and record.value:
                found = orjson.loads(record.value)
                grant = election_module.LeaseRecord(
                    holder=found['holder'],
                    host=found['host'],
                    token=found['token'],
                    offset=record.offset,
                )
        ends = [record.offset + 1 for record in page.records]
        end = max([*ends, page.end])
        self._stale = False
        self._election.on_read(grant, end, self._core.clock.now())

    def _follow_token(self) -> None:
        """Begin or end to lead as the lease says."""
        token = self._election.token
        if token == self._led:
            return
        self._stop_leading()
        self._led = token
        self._peers.token = token
        self._discovered_at = None
        events.emit(
            events.Event.LEADERSHIP,
            duty=LEASE_KEY,
            leads=token != 0,
            token=token,
        )

    # -- the groups ------------------------------------------------------

    def _shapes(self) -> dict[str, plan_module.GroupShape]:
        plan_index = self._core.plan_index
        if plan_index is None:
            return {}
        return {
            service.name: service.group
            for service in plan_index.plan.services.values()
            if service.group is not None
        }

    async def _lead(self) -> None:
        if not self._led:
            return
        if any(leader.fenced for leader, _ in self._leaders.values()):
            self._election.step_down()
            self._follow_token()
            return
        now = self._core.clock.now()
        last = self._discovered_at
        if last is not None and now - last < DISCOVERY_INTERVAL:
            return
        self._discovered_at = now
        for service, shape in self._shapes().items():
            for group in await self._groups(service):
                self._begin(service, group, shape)

    async def _groups(self, service: str) -> set[str]:
        """Return the names of a service's groups."""
        led = {group for name, group in self._leaders if name == service}
        if led:
            return set()
        members = self._core.directory.of_service(service)
        reports = await asyncio.gather(
            *(self._ranks.report(endpoint) for endpoint in members)
        )
        return {r.group for r in reports if r is not None}

    def _begin(
        self, service: str, group: str, shape: plan_module.GroupShape
    ) -> None:
        leader = group_leader.GroupLeader(
            service=service,
            group=group,
            shape=shape,
            token=self._led,
            members=self._core.directory,
            ranks_client=self._ranks,
            zone=self._core.cfg.availability_zone,
            clock=self._core.clock,
            peers=self._peers,
            outage=self._core.outages.get(service, group),
        )
        leader.draining = self._draining
        task = asyncio.create_task(leader.run())
        self._leaders[service, group] = leader, task

    def _stop_leading(self) -> None:
        for _, task in self._leaders.values():
            task.cancel()
        self._leaders.clear()
        self._led = 0
        self._peers.token = 0
