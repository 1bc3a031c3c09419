"""Asks the watched endpoints' agents for reports, and tells them news."""

import asyncio
import datetime
import typing

from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.membership import view as view_module
from aspenfold._internal.network import agent_client
from aspenfold._internal.network import codec
from aspenfold._internal.observability import events
from aspenfold._internal.processes import tasks as tasks_module
from aspenfold._internal.rpc import aspenfold_pb2 as pb

LOOK = 0.1
"""Seconds between two looks at which endpoints are to be asked."""

BUSY_FACTOR = 2
"""A busy endpoint is asked after this many intervals."""


class Entry(typing.Protocol):
    """What the watcher needs of the entry."""

    name: str
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock
    clients: agent_client.AgentClients
    tasks: tasks_module.BackgroundTasks


class ReportPoller:
    """One report an interval from each watched endpoint."""

    def __init__(self, *, entry: Entry) -> None:
        self._entry = entry
        self._pending: set[str] = set()
        self._asked: dict[str, datetime.datetime] = {}
        self._lost: set[str] = set()

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            now = self._entry.clock.now()
            for known in self._entry.kernel.view.watched():
                if known.name not in self._pending and self._due(known, now):
                    self._pending.add(known.name)
                    self._asked[known.name] = now
                    self._entry.tasks.spawn(self._ask(known))
            await asyncio.sleep(LOOK)

    def _due(
        self, known: endpoint_module.Endpoint, now: datetime.datetime
    ) -> bool:
        """Return whether an endpoint is to be asked now.

        Answers carry the load, so a busy endpoint is asked less often;
        news for its agent does not wait.
        """
        view = self._entry.kernel.view
        interval = view.report_interval()
        asked = self._asked.get(known.name)
        if asked is None or now >= asked + interval * BUSY_FACTOR:
            return True
        if now < asked + view_module.MIN_REPORT_INTERVAL:
            return False
        if view.is_leaving(known.name) and not known.load.draining:
            return True
        if self._newer_map(known) is not None:
            return True
        heard = known.last_report_at
        return heard is None or now >= max(heard, asked) + interval

    async def _ask(self, known: endpoint_module.Endpoint) -> None:
        host = known.host
        try:
            reply = await self._entry.clients.report(
                str(host.address), host.port, self._request(known)
            )
        except agent_client.CALL_ERRORS as exc:
            self._note_lost(known, exc)
            return
        finally:
            self._pending.discard(known.name)
        self._lost.discard(known.name)
        if reply.incarnation != known.incarnation:
            events.emit(
                events.Event.INCARNATION_CHANGED,
                endpoint=known.name,
                old=known.incarnation,
                new=reply.incarnation,
            )
        self._entry.kernel.view.update_report(
            known.name,
            reply.incarnation,
            codec.load_from_pb(reply.load),
            self._entry.clock.now(),
        )
        known.map_version = reply.map_version
        known.map_in_use = reply.map_in_use
        known.expert_load = list(reply.expert_load)

    def _note_lost(
        self, known: endpoint_module.Endpoint, exc: BaseException
    ) -> None:
        if known.name in self._lost:
            return
        self._lost.add(known.name)
        events.emit(
            events.Event.REPORT_LOST, endpoint=known.name, error=repr(exc)
        )

    def _request(self, known: endpoint_module.Endpoint) -> pb.ReportRequest:
        kernel = self._entry.kernel
        state = kernel.fleet_reader.state
        order = kernel.view.drain_order(known.name, state.next_offset - 1)
        request = pb.ReportRequest(
            entry=self._entry.name,
            version=state.version,
            drain=order.drain,
            drain_token=order.token,
            leaving=order.leaving,
        )
        if known.host.group:
            self._add_group(request, known)
        return request

    def _add_group(
        self, request: pb.ReportRequest, known: endpoint_module.Endpoint
    ) -> None:
        for other in self._entry.kernel.view.group(known.host.group):
            request.ranks.add(
                rank=other.host.rank,
                address=str(other.host.address),
                port=other.host.port,
            )
        current = self._newer_map(known)
        if current is None:
            return
        request.map_version = current.version
        request.placement = codec.placement_to_bytes(
            tuple(tuple(experts) for experts in current.placement)
        )

    def _newer_map(
        self, known: endpoint_module.Endpoint
    ) -> state_module.MapVersion | None:
        """Return the plan that the endpoint's agent was not told yet."""
        maps = self._entry.kernel.fleet_reader.state.maps
        current = maps.get(known.host.group)
        if current is None or current.version <= known.map_version:
            return None
        return current
