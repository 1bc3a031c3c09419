"""Asks the watched endpoints' agents for reports, and tells them news."""

import asyncio
import typing

from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.membership import view as view_module
from aspenfold._internal.network import agent_client
from aspenfold._internal.network import codec
from aspenfold._internal.observability import events
from aspenfold._internal.routing import subset
from aspenfold._internal.rpc import aspenfold_pb2 as pb

SUBSET_PER_SERVICE = 24
"""Endpoints of one service that an entry watches and routes to."""


class Entry(typing.Protocol):
    """What the watcher needs of the entry."""

    name: str
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock
    clients: agent_client.AgentClients

    def spawn(
        self,
        coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Run a coroutine."""


class Watcher:
    """One report an interval from each watched endpoint."""

    def __init__(self, *, entry: Entry) -> None:
        self._entry = entry
        self._pending: set[str] = set()
        self._lost: set[str] = set()

    async def run(self) -> None:
        """Watch for ever."""
        interval = view_module.REPORT_INTERVAL.total_seconds()
        while True:
            for known in self.watched():
                if known.name not in self._pending:
                    self._pending.add(known.name)
                    self._entry.spawn(self._ask(known))
            await asyncio.sleep(interval)

    def watched(self) -> list[endpoint_module.Endpoint]:
        """Return the bounded subset of endpoints that is watched."""
        by_service: dict[str, list[str]] = {}
        view = self._entry.kernel.view
        for known in view.all():
            names = by_service.setdefault(known.host.service, [])
            names.append(known.name)
        chosen: list[endpoint_module.Endpoint] = []
        for names in by_service.values():
            for name in subset.pick(
                self._entry.name, names, SUBSET_PER_SERVICE
            ):
                found = view.get(name)
                if found is not None:
                    chosen.append(found)
        return chosen

    async def _ask(self, known: endpoint_module.Endpoint) -> None:
        host = known.host
        try:
            reply = await self._entry.clients.report(
                str(host.address), host.port, self._request(known)
            )
        except agent_client.LOST as exc:
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
        self._entry.kernel.view.reported(
            known.name,
            reply.incarnation,
            codec.load_from_pb(reply.load),
            self._entry.clock.now(),
        )
        known.map_version = reply.map_version
        known.map_in_use = reply.map_in_use

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
        group = known.host.group
        for other in self._entry.kernel.view.all():
            if other.host.group == group:
                request.ranks.add(
                    rank=other.host.rank,
                    address=str(other.host.address),
                    port=other.host.port,
                )
        current = self._entry.kernel.fleet_reader.state.maps.get(group)
        if current is None or current.version <= known.map_version:
            return
        request.map_version = current.version
        request.placement = codec.placement_to_bytes(
            tuple(tuple(experts) for experts in current.placement)
        )
