"""Elects the gateway that leads the expert-parallel groups."""

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
"""The lease topic, which only gateways write."""

LEASE_KEY = 'maps'

LEASE_READ_TIMEOUT = datetime.timedelta(seconds=4)
"""Longest waiting read of the lease topic by processes that do not lead."""

STARTUP_LEASE_READ_TIMEOUT = datetime.timedelta(milliseconds=500)
"""The same while it is not known yet whether there is a leader."""

RETRY_DELAY = datetime.timedelta(milliseconds=700)
"""Delay after a failed store call; a leader keeps leading meanwhile."""

POLL_INTERVAL = datetime.timedelta(milliseconds=200)
"""How often a process checks its lease and the groups to lead."""

PROCESS_ID_BITS = 32
"""Length of the random part of a process's name in the election."""

DRAIN_TIMEOUT = datetime.timedelta(seconds=2)
"""How long an ending process waits for its current map changes: one that
succeeds holds its group for some 0.1 s, one that is rolled back for 0.7 s."""

DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=20)

GROUP_DISCOVERY_INTERVAL = datetime.timedelta(seconds=5)
"""How often a leader searches for the groups of services of which it leads
none yet."""


class GroupLeadership:
    """Takes part in the election; leads all groups while it is leader."""

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
        """While ``is_passive()`` holds, do not try to acquire the lease."""
        self._is_passive = is_passive
        self._core = core
        self._peers = peers
        self._store = platform.store
        self._ranks_client = ranks_client
        self._rng = rng
        self._election = election_module.LeaseElection(
            name=f'{host}/{rng.getrandbits(PROCESS_ID_BITS):08x}',
            host=host,
            rng=rng,
        )
        self._leaders: dict[
            tuple[str, str], tuple[group_leader.GroupLeader, asyncio.Task]
        ] = {}
        self._led_token = 0
        self._draining = False
        # Whether the newest lease record must be read again.
        self._must_reread = True
        self._discovered_at: datetime.datetime | None = None

    @property
    def is_leading(self) -> bool:
        """Whether this process is the leader."""
        return self._led_token != 0

    @property
    def map_changes(self) -> int:
        """The number of map changes that were started in this term."""
        return sum(leader.map_changes for leader, _ in self._leaders.values())

    @property
    def skew(self) -> float:
        """The largest mean skew of any group, as last estimated."""
        skews = (leader.skew for leader, _ in self._leaders.values())
        return max(skews, default=0.0)

    async def run(self) -> None:
        """Take part in the election, and lead while elected.

        Runs until cancelled.
        """
        try:
            while True:
                if self._group_shapes():
                    await self._poll()
                else:
                    await asyncio.sleep(POLL_INTERVAL.total_seconds())
        finally:
            self._stop_leading()

    async def drain(self) -> None:
        """Start no more map changes, and wait until no pass is held.

        Ending earlier would make a group unavailable until another leader
        has taken over, which is impossible during a store outage.  Gives
        up after ``DRAIN_TIMEOUT``.
        """
        self._draining = True
        for leader, _ in self._leaders.values():
            leader.draining = True
        timeout_s = DRAIN_TIMEOUT.total_seconds()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while any(
                    each.holds_group for each, _ in self._leaders.values()
                ):
                    await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())
        held = [
            n for n, (each, _) in self._leaders.items() if each.holds_group
        ]
        for service, group in held:
            events.emit(
                events.Event.GROUP_LEFT_HELD, service=service, group=group
            )
        # No await since the check above, so that no further pass is held.
        for leader, _ in self._leaders.values():
            leader.stop()

    async def release(self) -> None:
        """Release the lease, so that another process can lead at once."""
        request = self._election.release()
        self._stop_leading()
        if request is not None:
            try:
                await self._append(request)
            except (ports.StoreUnavailable, ports.AppendConflict) as exc:
                # The lease expires by itself.
                self._log_failure(exc)

    async def _poll(self) -> None:
        now = self._core.clock.now()
        if not self._led_token and (
            self._peers.is_leader_alive(now) or self._is_passive()
        ):
            # The lease is read from the store once the leader is lost.
            self._must_reread = True
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
            return
        try:
            if self._must_reread:
                await self._read_newest()
            leader_lost = self._peers.is_leader_lost(now)
            request = self._election.next_append(now, holder_lost=leader_lost)
            if request is not None:
                await self._append(request)
            elif self._election.token:
                await asyncio.sleep(POLL_INTERVAL.total_seconds())
            else:
                await self._wait_for_record()
        except ports.AppendConflict as exc:
            # Another process's record, or an own one with a lost answer.
            self._election.on_append_conflict(exc.end)
            self._must_reread = True
        except ports.StoreUnavailable as exc:
            self._must_reread = True
            self._log_failure(exc)
            await asyncio.sleep(RETRY_DELAY.total_seconds())
        self._update_leadership()
        await self._lead_groups()

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
        lease_record = election_module.LeaseRecord(
            holder=request.holder,
            host=request.host,
            token=request.token,
            offset=offset,
        )
        self._election.on_read(
            lease_record, offset + 1, self._core.clock.now()
        )

    async def _wait_for_record(self) -> None:
        now = self._core.clock.now()
        leader_lost = self._peers.is_leader_lost(now)
        max_timeout = (
            STARTUP_LEASE_READ_TIMEOUT
            if self._peers.is_discovering_leader(now)
            else LEASE_READ_TIMEOUT
        )
        timeout = min(
            max_timeout,
            self._election.next_append_in(now, holder_lost=leader_lost),
        )
        try:
            page = await self._store.read(
                LEASE_TOPIC, self._election.topic_end, timeout
            )
        except ports.HistoryTrimmed:
            self._must_reread = True
            return
        self._apply_page(page)

    async def _read_newest(self) -> None:
        self._apply_page(await self._store.newest(LEASE_TOPIC))

    def _log_failure(self, exc: Exception) -> None:
        events.emit(
            events.Event.LEASE_UNSURE,
            duty=LEASE_KEY,
            leads=self.is_leading,
            error=str(exc)[:200],
        )

    def _apply_page(self, page: ports.Page) -> None:
        lease_record = None
        for record in page.records:
            if record.key == LEASE_KEY and record.value:
                found = orjson.loads(record.value)
                lease_record = election_module.LeaseRecord(
                    holder=found['holder'],
                    host=found['host'],
                    token=found['token'],
                    offset=record.offset,
                )
        ends = [record.offset + 1 for record in page.records]
        end = max([*ends, page.end])
        self._must_reread = False
        self._election.on_read(lease_record, end, self._core.clock.now())

    def _update_leadership(self) -> None:
        """Start or stop leading when the held token has changed."""
        token = self._election.token
        if token == self._led_token:
            return
        self._stop_leading()
        self._led_token = token
        self._peers.token = token
        self._discovered_at = None
        events.emit(
            events.Event.LEADERSHIP,
            duty=LEASE_KEY,
            leads=token != 0,
            token=token,
        )

    def _group_shapes(self) -> dict[str, plan_module.GroupShape]:
        plan_index = self._core.plan_index
        if plan_index is None:
            return {}
        return {
            service.name: service.group
            for service in plan_index.plan.services.values()
            if service.group is not None
        }

    async def _lead_groups(self) -> None:
        if not self._led_token:
            return
        if any(leader.fenced for leader, _ in self._leaders.values()):
            self._election.step_down()
            self._update_leadership()
            return
        now = self._core.clock.now()
        last = self._discovered_at
        if last is not None and now - last < GROUP_DISCOVERY_INTERVAL:
            return
        self._discovered_at = now
        for service, shape in self._group_shapes().items():
            for group in await self._find_groups(service):
                self._start_leader(service, group, shape)

    async def _find_groups(self, service: str) -> set[str]:
        """Return the names of a service's groups, none if one is led."""
        led_groups = {
            group for name, group in self._leaders if name == service
        }
        if led_groups:
            return set()
        members = self._core.directory.of_service(service)
        reports = await asyncio.gather(
            *(self._ranks_client.report(endpoint) for endpoint in members)
        )
        return {r.group for r in reports if r is not None}

    def _start_leader(
        self, service: str, group: str, shape: plan_module.GroupShape
    ) -> None:
        leader = group_leader.GroupLeader(
            service=service,
            group=group,
            shape=shape,
            token=self._led_token,
            endpoint_directory=self._core.directory,
            ranks_client=self._ranks_client,
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
        self._led_token = 0
        self._peers.token = 0
