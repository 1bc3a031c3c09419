"""Connects an entry's kernel to the log, the host list and the peers.

The log and the host list are read into the kernel, and the records of the
leased tasks are appended to the log.  While the log is unavailable, or there
is no configuration yet, the fleet state is requested from peers.
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

HOST_LIST_POLL_INTERVAL_S = 0.5
LEASED_TASKS_INTERVAL_S = 0.5
PEER_POLL_INTERVAL_S = 1.0
IO_THREADS = 8


class Entry(typing.Protocol):
    """The part of the entry process that the feed uses."""

    cfg: settings.EntrySettings
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock
    clients: agent_client.AgentClients
    tasks: tasks_module.BackgroundTasks

    def apply(self, new_actions: list[actions.Action]) -> None:
        """Perform the kernel's actions."""


class PlatformFeed:
    """Reads platform data into the kernel and appends its records."""

    def __init__(self, *, entry: Entry, rng: random.Random) -> None:
        cfg = entry.cfg
        self._entry = entry
        self._kernel = entry.kernel
        self._rng = rng
        self._executor = concurrent.futures.ThreadPoolExecutor(IO_THREADS)
        self._log_client = log_client.LogClient(base_url=cfg.platform.log.url)
        self._log_tail = log_tail.LogTail(
            client=self._log_client,
            streams=cfg.claim_streams + 1,
            rng=rng,
            on_lost=entry.kernel.on_log_lost,
        )
        self._claim_writer = log_tail.ClaimWriter(
            name=cfg.name,
            client=self._log_client,
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
        """Start the tasks that read, append and poll peers."""
        spawn = self._entry.tasks.spawn
        spawn(
            self._log_tail.follow(
                records.FLEET_STREAM,
                lambda: self._kernel.fleet_reader.position,
                self._apply_fleet_page,
            )
        )
        for index in range(self._entry.cfg.claim_streams):
            spawn(self._follow_claims(records.claim_stream(index)))
        spawn(self._poll_host_list())
        spawn(self._run_leased_tasks())
        spawn(self._poll_peers())

    def append_claim(self, stream: str, claim: records.Claim) -> None:
        """Append a claim; reading the stream shows whether it is valid."""
        self._claim_writer.append(stream, claim)

    def close(self) -> None:
        """Stop the threads that read and append."""
        self._log_tail.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def _follow_claims(self, stream: str) -> None:
        def apply_page(page: reader.Page) -> None:
            now = self._entry.clock.now()
            self._entry.apply(self._kernel.on_claims_page(stream, page, now))

        await self._log_tail.follow(
            stream, lambda: self._kernel.claims_position(stream), apply_page
        )

    def _apply_fleet_page(self, page: reader.Page) -> None:
        for applied in self._kernel.on_fleet_page(page):
            offset = applied.record.offset
            kind = applied.record.body.get('type')
            if kind == 'snapshot':
                self._leased_tasks.on_snapshot(offset, self._entry.clock.now())
            if applied.verdict is not reducer.Verdict.ACCEPTED:
                events.emit(
                    events.Event.RECORD_REJECTED,
                    offset=offset,
                    kind=kind,
                    verdict=applied.verdict.value,
                )
            elif kind == 'config':
                events.emit(events.Event.CONFIG_IN_FORCE, version=offset)

    async def _poll_host_list(self) -> None:
        unavailable = False
        while True:
            try:
                host_list = await self._run_in_thread(
                    self._host_list_client.read
                )
            except exceptions.AspenfoldError as exc:
                if not unavailable:
                    events.emit(events.Event.HOST_LIST_LOST, detail=str(exc))
                unavailable = True
            else:
                unavailable = False
                self.host_list = host_list
                self._kernel.on_host_list(host_list)
            await asyncio.sleep(HOST_LIST_POLL_INTERVAL_S)

    async def _run_leased_tasks(self) -> None:
        while True:
            await asyncio.sleep(LEASED_TASKS_INTERVAL_S)
            fleet_reader = self._kernel.fleet_reader
            if not self._kernel.log_up or fleet_reader.awaiting_snapshot:
                continue
            for record in self._leased_tasks.tick(
                fleet_reader.state,
                self._expert_loads(),
                self._entry.clock.now(),
            ):
                await self._append(record)

    def _expert_loads(self) -> dict[str, list[float]]:
        return {
            endpoint.host.group: endpoint.expert_load
            for endpoint in self._kernel.view.watched()
            if endpoint.expert_load
        }

    async def _append(self, record: records.Record) -> None:
        try:
            offset = await self._run_in_thread(
                lambda: self._log_client.append(records.FLEET_STREAM, record)
            )
        except exceptions.LogUnavailable:
            # Reading the stream shows whether it was appended.
            return
        events.emit(
            events.Event.RECORD_WRITTEN,
            offset=offset,
            kind=getattr(record, 'type', ''),
        )

    async def _poll_peers(self) -> None:
        while True:
            await asyncio.sleep(PEER_POLL_INTERVAL_S)
            if self._kernel.log_up and self._kernel.fleet is not None:
                continue
            peers = self._peer_addresses()
            if peers:
                await self._poll_peer(*self._rng.choice(peers))

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

    async def _poll_peer(self, address: str, port: int) -> None:
        have_offset = self._kernel.fleet_reader.state.next_offset
        try:
            reply = await self._entry.clients.fetch_fleet(
                address, port, have_offset
            )
        except agent_client.CALL_ERRORS:
            return
        if not reply.state:
            return
        try:
            data = orjson.loads(reply.state)
            state = state_module.FleetState.from_json(data)
        except (orjson.JSONDecodeError, pydantic.ValidationError):
            # A peer of another version; the next one may be compatible.
            return
        if self._kernel.adopt_state(state):
            events.emit(
                events.Event.PEER_ADOPTED,
                offset=state.next_offset,
                version=state.version,
            )

    async def _run_in_thread(
        self, work: abc.Callable[[], tasks_module.Result]
    ) -> tasks_module.Result:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, work)
