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

TOPIC = 'keyed.aspenfold-lease'
"""Our own topic in the store."""

KEY = 'maps'

FOLLOW_WAIT = datetime.timedelta(seconds=4)
"""Longest waiting read of those who do not lead."""

NEWCOMER_WAIT = datetime.timedelta(milliseconds=500)
"""The same while it is not known yet whether a leader lives."""

FAILED_WAIT = datetime.timedelta(milliseconds=700)
"""Wait after a failed call; leading goes on without the store."""

TURN = datetime.timedelta(milliseconds=200)
"""Pace at which a leader looks whether to renew, and for new groups."""

NAME_BITS = 32
"""Bits that tell a process from the one that ran on its host before."""

FINISH_LIMIT = datetime.timedelta(seconds=2)
"""Longest wait of an ending process for its round: one that goes well
holds its group for some 0.1 s, one that is undone for 0.7 s."""

FINISH_TICK = datetime.timedelta(milliseconds=20)

DISCOVERY_INTERVAL = datetime.timedelta(seconds=5)
"""Pace of the search for groups that are not led yet."""


class MapsDuty:
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
        rests: abc.Callable[[], bool],
    ) -> None:
        """``rests`` says whether a peer reads the store for this one.

        Such a process does not contest the lease: those that read do.
        """
        self._rests = rests
        self._core = core
        self._peers = peers
        self._store = platform.store
        self._ranks = ranks_client
        self._rng = rng
        self._contest = election_module.Contest(
            name=f'{host}/{rng.getrandbits(NAME_BITS):08x}',
            host=host,
            rng=rng,
        )
        self._leaders: dict[
            tuple[str, str], tuple[group_leader.GroupLeader, asyncio.Task]
        ] = {}
        self._led = 0
        self._ending = False
        # What the store has is not known, or may have changed.
        self._stale = True
        self._discovered_at: datetime.datetime | None = None

    @property
    def leading(self) -> bool:
        """Whether this process leads."""
        return self._led != 0

    @property
    def changes(self) -> int:
        """Changes of map that were begun in this term."""
        return sum(leader.changes for leader, _ in self._leaders.values())

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
                    await asyncio.sleep(TURN.total_seconds())
        finally:
            self._stop_leading()

    async def finish(self) -> None:
        """Begin no more rounds; return once no group is held for one.

        A leader that ended before would leave its group standing until
        another has taken over, and none can while the store is down.
        """
        self._ending = True
        for leader, _ in self._leaders.values():
            leader.ending = True
        limit = FINISH_LIMIT.total_seconds()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit):
                while any(ld.holds for ld, _ in self._leaders.values()):
                    await asyncio.sleep(FINISH_TICK.total_seconds())
        held = [n for n, (ld, _) in self._leaders.items() if ld.holds]
        for service, group in held:
            events.emit(
                events.Event.GROUP_LEFT_HELD, service=service, group=group
            )
        # In the same turn of the loop, so that no hold comes after.
        for leader, _ in self._leaders.values():
            leader.stop()

    async def release(self) -> None:
        """Give the lease up, so that another process leads at once."""
        wish = self._contest.release()
        self._stop_leading()
        if wish is not None:
            try:
                await self._append(wish)
            except (ports.StoreUnavailable, ports.AppendConflict) as exc:
                # It lapses by itself, which only takes longer.
                self._tell_failure(exc)

    # -- the lease -------------------------------------------------------

    async def _turn(self) -> None:
        now = self._core.clock.now()
        if not self._led and (self._peers.leader_heard(now) or self._rests()):
            # What the store has is read again once it falls silent.
            self._stale = True
            await asyncio.sleep(TURN.total_seconds())
            return
        try:
            if self._stale:
                await self._read_newest()
            silent = self._peers.leader_silent(now)
            wish = self._contest.wish(now, silent=silent)
            if wish is not None:
                await self._append(wish)
            elif self._contest.token:
                await asyncio.sleep(TURN.total_seconds())
            else:
                await self._follow()
        except ports.AppendConflict as exc:
            # Another's record, or an own one whose answer was lost.
            self._contest.conflicted(exc.end)
            self._stale = True
        except ports.StoreUnavailable as exc:
            self._stale = True
            self._tell_failure(exc)
            await asyncio.sleep(FAILED_WAIT.total_seconds())
        self._follow_token()
        await self._lead()

    async def _append(self, wish: election_module.Wish) -> None:
        record = {
            'holder': wish.holder,
            'host': wish.host,
            'token': wish.token,
        }
        value = orjson.dumps(record)
        offset = await self._store.append(TOPIC, KEY, value, wish.end)
        grant = election_module.Grant(
            holder=wish.holder,
            host=wish.host,
            token=wish.token,
            offset=offset,
        )
        self._contest.read(grant, offset + 1, self._core.clock.now())

    async def _follow(self) -> None:
        now = self._core.clock.now()
        silent = self._peers.leader_silent(now)
        longest = NEWCOMER_WAIT if self._peers.newcomer(now) else FOLLOW_WAIT
        wait = min(longest, self._contest.due_in(now, silent=silent))
        try:
            page = await self._store.read(TOPIC, self._contest.end, wait)
        except ports.HistoryTrimmed:
            self._stale = True
            return
        self._take(page)

    async def _read_newest(self) -> None:
        self._take(await self._store.newest(TOPIC))

    def _tell_failure(self, exc: Exception) -> None:
        events.emit(
            events.Event.LEASE_UNSURE,
            duty=KEY,
            leads=self.leading,
            error=str(exc)[:200],
        )

    def _take(self, page: ports.Page) -> None:
        grant = None
        for record in page.records:
            if record.key == KEY and record.value:
                found = orjson.loads(record.value)
                grant = election_module.Grant(
                    holder=found['holder'],
                    host=found['host'],
                    token=found['token'],
                    offset=record.offset,
                )
        ends = [record.offset + 1 for record in page.records]
        end = max([*ends, page.end])
        self._stale = False
        self._contest.read(grant, end, self._core.clock.now())

    def _follow_token(self) -> None:
        """Begin or end to lead as the lease says."""
        token = self._contest.token
        if token == self._led:
            return
        self._stop_leading()
        self._led = token
        self._peers.token = token
        self._discovered_at = None
        events.emit(
            events.Event.LEADERSHIP,
            duty=KEY,
            leads=token != 0,
            token=token,
        )

    # -- the groups ------------------------------------------------------

    def _shapes(self) -> dict[str, plan_module.GroupShape]:
        table = self._core.table
        if table is None:
            return {}
        return {
            service.name: service.group
            for service in table.plan.services.values()
            if service.group is not None
        }

    async def _lead(self) -> None:
        if not self._led:
            return
        if any(leader.fenced for leader, _ in self._leaders.values()):
            self._contest.step_down()
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
            outage=self._core.outages.of(service, group),
        )
        leader.ending = self._ending
        task = asyncio.create_task(leader.run())
        self._leaders[service, group] = leader, task

    def _stop_leading(self) -> None:
        for _, task in self._leaders.values():
            task.cancel()
        self._leaders.clear()
        self._led = 0
        self._peers.token = 0
