"""Polls the agents of an entry's endpoints for reports.

The requests carry drain orders and new expert maps to the agents.
"""

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

CHECK_INTERVAL_S = 0.1
"""How often to check which reports are due."""

BUSY_INTERVAL_FACTOR = 2
"""Report intervals between two polls of an endpoint that sends answers.

Answers carry the load too, so its agent is polled less often.
"""


class Entry(typing.Protocol):
    """The part of the entry process that the poller uses."""

    name: str
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock
    clients: agent_client.AgentClients
    tasks: tasks_module.BackgroundTasks


class ReportPoller:
    """Requests a report from each watched endpoint once per interval."""

    def __init__(self, *, entry: Entry) -> None:
        self._entry = entry
        self._pending: set[str] = set()
        self._requested_at: dict[str, datetime.datetime] = {}
        self._failed: set[str] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            now = self._entry.clock.now()
            for endpoint in self._entry.kernel.view.watched():
                if endpoint.name not in self._pending and self._is_due(
                    endpoint, now
                ):
                    self._pending.add(endpoint.name)
                    self._requested_at[endpoint.name] = now
                    self._entry.tasks.spawn(self._poll(endpoint))
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_due(
        self, endpoint: endpoint_module.Endpoint, now: datetime.datetime
    ) -> bool:
        """Return whether an endpoint should be polled now.

        Drain orders and new maps do not wait for the interval.
        """
        view = self._entry.kernel.view
        interval = view.report_interval()
        requested_at = self._requested_at.get(endpoint.name)
        if (
            requested_at is None
            or now >= requested_at + interval * BUSY_INTERVAL_FACTOR
        ):
            return True
        if now < requested_at + view_module.MIN_REPORT_INTERVAL:
            return False
        if view.is_leaving(endpoint.name) and not endpoint.load.draining:
            return True
        if self._newer_map(endpoint) is not None:
            return True
        last_report_at = endpoint.last_report_at
        return (
            last_report_at is None
            or now >= max(last_report_at, requested_at) + interval
        )

    async def _poll(self, endpoint: endpoint_module.Endpoint) -> None:
        host = endpoint.host
        try:
            reply = await self._entry.clients.report(
                str(host.address), host.port, self._create_request(endpoint)
            )
        except agent_client.CALL_ERRORS as exc:
            self._on_poll_failed(endpoint, exc)
            return
        finally:
            self._pending.discard(endpoint.name)
        self._failed.discard(endpoint.name)
        if reply.incarnation != endpoint.incarnation:
            events.emit(
                events.Event.INCARNATION_CHANGED,
                endpoint=endpoint.name,
                old=endpoint.incarnation,
                new=reply.incarnation,
            )
        self._entry.kernel.view.update_report(
            endpoint.name,
            reply.incarnation,
            codec.load_from_pb(reply.load),
            self._entry.clock.now(),
        )
        endpoint.map_version = reply.map_version
        endpoint.map_in_use = reply.map_in_use
        endpoint.expert_load = list(reply.expert_load)

    def _on_poll_failed(
        self, endpoint: endpoint_module.Endpoint, exc: BaseException
    ) -> None:
        """Log the first of several failures in a row."""
        if endpoint.name in self._failed:
            return
        self._failed.add(endpoint.name)
        events.emit(
            events.Event.REPORT_LOST, endpoint=endpoint.name, error=repr(exc)
        )

    def _create_request(
        self, endpoint: endpoint_module.Endpoint
    ) -> pb.ReportRequest:
        kernel = self._entry.kernel
        state = kernel.fleet_reader.state
        order = kernel.view.drain_order(endpoint.name, state.next_offset - 1)
        request = pb.ReportRequest(
            entry=self._entry.name,
            version=state.version,
            drain=order.drain,
            drain_token=order.token,
            leaving=order.leaving,
        )
        if endpoint.host.group:
            self._add_group_fields(request, endpoint)
        return request

    def _add_group_fields(
        self, request: pb.ReportRequest, endpoint: endpoint_module.Endpoint
    ) -> None:
        for member in self._entry.kernel.view.group(endpoint.host.group):
            request.ranks.add(
                rank=member.host.rank,
                address=str(member.host.address),
                port=member.host.port,
            )
        newer_map = self._newer_map(endpoint)
        if newer_map is None:
            return
        request.map_version = newer_map.version
        request.placement = codec.placement_to_bytes(
            tuple(tuple(experts) for experts in newer_map.placement)
        )

    def _newer_map(
        self, endpoint: endpoint_module.Endpoint
    ) -> state_module.MapVersion | None:
        """Return the newest map if the endpoint's agent does not have it."""
        maps = self._entry.kernel.fleet_reader.state.maps
        newest = maps.get(endpoint.host.group)
        if newest is None or newest.version <= endpoint.map_version:
            return None
        return newest
