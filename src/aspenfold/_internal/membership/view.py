"""What an entry knows of all endpoints.

The sources are the host list, the member records in the fleet's log and the
agents' reports.
"""

import collections
import datetime

from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import frames
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.models import hosts
from aspenfold._internal.routing import subset

MIN_REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
"""Shortest interval between reports of a watched endpoint."""

REPORT_COST_BYTES = 400
"""Approximate traffic of requesting one report, headers included."""

MAX_REPORT_BYTES_PER_SECOND = 4000
"""Limit of an entry's traffic for reports.  It determines the report interval
when there are many endpoints."""

REPORT_TIMEOUT_INTERVALS = 4
"""Report intervals without a report after which an endpoint gets no new
requests."""

OWN_ZONE_SUBSET_SIZE = 48
"""Endpoints of a service that an entry watches in its own zone."""

OTHER_ZONES_SUBSET_SIZE = 16
"""Endpoints of a service that an entry watches in other zones."""

EJECTION_FAILURES = 3
"""Consecutive failures after which an endpoint is ejected."""

EJECTION_DURATION = datetime.timedelta(seconds=5)
"""How long an ejected endpoint gets no new requests."""

MAX_EJECTED_FRACTION = 0.5
"""Largest fraction of a service's watched endpoints that may be ejected at
once."""


class EndpointView:
    """The endpoints by name, and the subset that an entry watches.

    ``owner`` is the name of the entry, ``zone`` its availability zone.
    """

    def __init__(self, *, owner: str, zone: str) -> None:
        self._owner = owner
        self._zone = zone
        self._watched: dict[str, list[endpoint_module.Endpoint]] = {}
        self._groups: dict[str, list[endpoint_module.Endpoint]] = {}
        self._endpoints: dict[str, endpoint_module.Endpoint] = {}
        self._members: dict[str, state_module.Member] = {}
        self._interval = MIN_REPORT_INTERVAL
        self.host_list_version = -1

    def endpoints(self) -> list[endpoint_module.Endpoint]:
        """Return all endpoints, including those that are not watched."""
        return list(self._endpoints.values())

    def get(self, name: str) -> endpoint_module.Endpoint | None:
        """Return the endpoint called ``name``, None if it is unknown."""
        return self._endpoints.get(name)

    def update_hosts(self, host_list: hosts.HostList) -> None:
        """Update the endpoints from the host list.

        A list that is not newer than the last one is ignored.
        """
        if host_list.version <= self.host_list_version:
            return
        self.host_list_version = host_list.version
        current = {
            host.name: host
            for host in host_list.hosts
            if host.role is hosts.Role.ENDPOINT
        }
        for name in set(self._endpoints) - set(current):
            del self._endpoints[name]
        for name, host in current.items():
            endpoint = self._endpoints.get(name)
            if endpoint is None or endpoint.host.address != host.address:
                self._endpoints[name] = endpoint_module.Endpoint(host=host)
            else:
                endpoint.host = host
        self._choose_watched(host_list)

    def watched(self) -> list[endpoint_module.Endpoint]:
        """Return the endpoints that this entry watches and routes to."""
        return [
            endpoint
            for endpoints in self._watched.values()
            for endpoint in endpoints
        ]

    def group(self, name: str) -> list[endpoint_module.Endpoint]:
        """Return the endpoints of the rank group ``name``."""
        return self._groups.get(name, [])

    def report_interval(self) -> datetime.timedelta:
        """Return the interval at which to request reports of an endpoint."""
        return self._interval

    def update_members(self, members: dict[str, state_module.Member]) -> None:
        """Set the members, by name, from the fleet's log."""
        self._members = members

    def update_report(
        self,
        name: str,
        incarnation: str,
        load: frames.Load,
        now: datetime.datetime,
    ) -> None:
        """Update an endpoint from a report of its agent."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        if endpoint.incarnation != incarnation:
            endpoint.incarnation = incarnation
            endpoint.failures = 0
        endpoint.update_load(load, now)

    def update_load(
        self, name: str, load: frames.Load, now: datetime.datetime
    ) -> None:
        """Update an endpoint's load from a frame of its agent."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.update_load(load, now)

    def record_success(self, name: str) -> None:
        """Record that an attempt at the endpoint succeeded."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.failures = 0

    def record_failure(self, name: str, now: datetime.datetime) -> None:
        """Record that an attempt at the endpoint was lost.

        Ejects the endpoint after several consecutive failures, unless too
        many endpoints of its service are ejected already.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.failures += 1
        if endpoint.failures < EJECTION_FAILURES or not self._may_eject(
            endpoint, now
        ):
            return
        endpoint.ejected_until = now + EJECTION_DURATION
        endpoint.failures = 0

    def invalidate_report(self, name: str) -> None:
        """Make the endpoint unroutable until its agent reports again."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.last_report_at = None

    def is_leaving(self, name: str) -> bool:
        """Return whether the endpoint is leaving or unknown."""
        endpoint = self._endpoints.get(name)
        return endpoint is None or self._is_leaving(endpoint)

    def drain_order(self, name: str, newest: int) -> frames.DrainOrder:
        """Return the drain order for the endpoint's agent.

        ``newest`` is the offset of the newest applied record of the log.
        """
        member = self._members.get(name)
        endpoint = self._endpoints.get(name)
        return frames.DrainOrder(
            drain=member is not None,
            token=member.token if member else newest,
            leaving=endpoint is not None
            and endpoint.host.state is hosts.HostState.LEAVING,
        )

    def routable(
        self, service: str, now: datetime.datetime
    ) -> list[endpoint_module.Endpoint]:
        """Return the endpoints of ``service`` that may get new requests."""
        min_report_at = now - self._interval * REPORT_TIMEOUT_INTERVALS
        return [
            endpoint
            for endpoint in self._watched.get(service, ())
            if endpoint.last_report_at is not None
            and endpoint.last_report_at >= min_report_at
            and (
                endpoint.ejected_until is None or endpoint.ejected_until <= now
            )
            and not self._is_leaving(endpoint)
        ]

    def _is_leaving(self, endpoint: endpoint_module.Endpoint) -> bool:
        return (
            endpoint.load.draining
            or endpoint.host.state is hosts.HostState.LEAVING
            or endpoint.name in self._members
        )

    def _may_eject(
        self, endpoint: endpoint_module.Endpoint, now: datetime.datetime
    ) -> bool:
        watched = self._watched.get(endpoint.host.service, [])
        ejected = sum(
            each.ejected_until is not None and each.ejected_until > now
            for each in watched
        )
        return (ejected + 1) <= len(watched) * MAX_EJECTED_FRACTION

    def _choose_watched(self, host_list: hosts.HostList) -> None:
        """Choose the watched endpoints, and derive the report interval."""
        own_zone_entries = [
            host.name
            for host in host_list.hosts
            if host.role is hosts.Role.ENTRY
            and host.availability_zone == self._zone
        ]
        all_entries = [
            host.name
            for host in host_list.hosts
            if host.role is hosts.Role.ENTRY
        ]
        own_zone: dict[str, list[str]] = collections.defaultdict(list)
        other_zones: dict[str, list[str]] = collections.defaultdict(list)
        self._groups = collections.defaultdict(list)
        for endpoint in self._endpoints.values():
            by_service = (
                own_zone if endpoint.zone == self._zone else other_zones
            )
            by_service[endpoint.host.service].append(endpoint.name)
            if endpoint.host.group:
                self._groups[endpoint.host.group].append(endpoint)
        self._watched = {}
        for service in {*own_zone, *other_zones}:
            names = subset.assign(
                self._owner,
                own_zone_entries,
                own_zone[service],
                OWN_ZONE_SUBSET_SIZE,
            ) + subset.assign(
                self._owner,
                all_entries,
                other_zones[service],
                OTHER_ZONES_SUBSET_SIZE,
            )
            self._watched[service] = [self._endpoints[n] for n in names]
        count = sum(len(endpoints) for endpoints in self._watched.values())
        seconds = count * REPORT_COST_BYTES / MAX_REPORT_BYTES_PER_SECOND
        self._interval = max(
            MIN_REPORT_INTERVAL, datetime.timedelta(seconds=seconds)
        )
