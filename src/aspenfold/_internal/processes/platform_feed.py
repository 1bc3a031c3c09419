"""An entry's side towards the platform and its peers.

Follows the log and the host list into the kernel, writes the records of
its duties, and asks peers for the fleet while the log is away.
"""

import asyncio
from collections import abc
import concurrent.futures
import random
import typing

import orjson
import pydantic

from aspenfold._internal.calls import actions
from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.configuration import reader
from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.leases import leased_tasks as leased_tasks_module
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal.models import settings
from aspenfold._internal.network import agent_client
from aspenfold._internal.network import host_list_client
from aspenfold._internal.network import log_client
from aspenfold._internal.observability import events
from aspenfold._internal.processes import log_tail
from aspenfold._internal.processes import tasks as tasks_module

HOST_LIST_INTERVAL = 0.5
DUTY_INTERVAL = 0.5
PEER_INTERVAL = 1.0
IO_THREADS = 8


class Entry(typing.Protocol):
    """What the feed needs of the entry."""

    cfg: settings.EntrySettings
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock
    clients: agent_client.AgentClients
    tasks: tasks_module.BackgroundTasks

    def apply(self, result: list[actions.Action]) -> None:
        """Carry out the kernel's actions."""


class PlatformFeed:
    """Keeps the kernel's view of the platform current."""

    def __init__(self, *, entry: Entry, rng: random.Random) -> None:
        cfg = entry.cfg
        self._entry = entry
        self._kernel = entry.kernel
        self._rng = rng
        self._executor = concurrent.futures.ThreadPoolExecutor(IO_THREADS)
        self._log = log_client.LogClient(base_url=cfg.platform.log.url)
        self._tail = log_tail.LogTail(
            client=self._log,
            streams=cfg.claim_streams + 1,
            rng=rng,
            lost=entry.kernel.on_log_lost,
        )
        self._claims = log_tail.ClaimWriter(
            name=cfg.name,
            client=self._log,
            clock=entry.clock,
            new_id=entry.kernel.new_id,
            executor=self._executor,
        )
        self._host_list_client = host_list_client.HostListClient(
            base_url=cfg.platform.host_list.url
        )
        self._leased_tasks = leased_tasks_module.LeasedTasks(
            name=cfg.name,
            rng=rng,
            snapshot_interval=cfg.snapshot_interval_ms
            * clock_module.MILLISECOND,
        )
        self.host_list = hosts.HostList(version=0, hosts=[])

    def start(self) -> None:
        """Start to follow everything."""
        spawn = self._entry.tasks.spawn
        spawn(
            self._tail.follow(
                records.FLEET_STREAM,
                lambda: self._kernel.fleet_reader.position,
                self._take_fleet,
            )
        )
        for index in range(self._entry.cfg.claim_streams):
            spawn(self._follow_claims(records.claim_stream(index)))
        spawn(self._read_hosts())
        spawn(self._do_duties())
        spawn(self._ask_peers())

    def append_claim(self, stream: str, claim: records.Claim) -> None:
        """Append a claim; the fold of the stream tells its fate."""
        self._claims.append(stream, claim)

    def close(self) -> None:
        """Stop reading."""
        self._tail.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def _follow_claims(self, stream: str) -> None:
        def take(page: reader.Page) -> None:
            now = self._entry.clock.now()
            self._entry.apply(self._kernel.on_claims_page(stream, page, now))

        await self._tail.follow(
            stream, lambda: self._kernel.claims_position(stream), take
        )

    def _take_fleet(self, page: reader.Page) -> None:
        for judged in self._kernel.on_fleet_page(page):
            offset = judged.record.offset
            kind = judged.record.body.get('type')
            if kind == 'snapshot':
                self._leased_tasks.on_snapshot(offset, self._entry.clock.now())
            if judged.verdict is not reducer.Verdict.ACCEPTED:
                events.emit(
                    events.Event.RECORD_REJECTED,
                    offset=offset,
                    kind=kind,
                    verdict=judged.verdict.value,
                )
            elif kind == 'config':
                events.emit(events.Event.CONFIG_IN_FORCE, version=offset)

    async def _read_hosts(self) -> None:
        lost = False
        while True:
            try:
                host_list = await self._in_thread(self._host_list_client.read)
            except exceptions.AspenfoldError as exc:
                if not lost:
                    events.emit(events.Event.HOST_LIST_LOST, detail=str(exc))
                lost = True
            else:
                lost = False
                self.host_list = host_list
                self._kernel.on_host_list(host_list)
            await asyncio.sleep(HOST_LIST_INTERVAL)

    async def _do_duties(self) -> None:
        while True:
            await asyncio.sleep(DUTY_INTERVAL)
            reading = self._kernel.fleet_reader
            if not self._kernel.log_up or reading.awaiting_snapshot:
                continue
            for record in self._leased_tasks.tick(
                reading.state, self._expert_loads(), self._entry.clock.now()
            ):
                await self._append(record)

    def _expert_loads(self) -> dict[str, list[float]]:
        return {
            known.host.group: known.expert_load
            for known in self._kernel.view.watched()
            if known.expert_load
        }

    async def _append(self, record: records.Record) -> None:
        try:
            offset = await self._in_thread(
                lambda: self._log.append(records.FLEET_STREAM, record)
            )
        except exceptions.LogUnavailable:
            # Its fate shows when the stream is read.
            return
        events.emit(
            events.Event.RECORD_WRITTEN,
            offset=offset,
            kind=getattr(record, 'type', ''),
        )

    async def _ask_peers(self) -> None:
        while True:
            await asyncio.sleep(PEER_INTERVAL)
            if self._kernel.log_up and self._kernel.fleet is not None:
                continue
            peers = self._peer_addresses()
            if peers:
                await self._ask_peer(*self._rng.choice(peers))

    def _peer_addresses(self) -> list[tuple[str, int]]:
        cfg = self._entry.cfg
        listed = [
            (str(host.address), host.peer_port)
            for host in self.host_list.hosts
            if host.role is hosts.Role.ENTRY
            and host.name != cfg.name
            and host.peer_port
        ]
        configured = [(str(p.address), p.port) for p in cfg.peers]
        return listed + configured

    async def _ask_peer(self, address: str, port: int) -> None:
        have = self._kernel.fleet_reader.state.next_offset
        try:
            reply = await self._entry.clients.fetch_fleet(address, port, have)
        except agent_client.CALL_ERRORS:
            return
        if not reply.state:
            return
        try:
            data = orjson.loads(reply.state)
            state = state_module.FleetState.from_json(data)
        except (orjson.JSONDecodeError, pydantic.ValidationError):
            # A peer of another version; another one may be of use.
            return
        if self._kernel.adopt_state(state):
            events.emit(
                events.Event.PEER_ADOPTED,
                offset=state.next_offset,
                version=state.version,
            )

    async def _in_thread(
        self, work: abc.Callable[[], tasks_module.Result]
    ) -> tasks_module.Result:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, work)
