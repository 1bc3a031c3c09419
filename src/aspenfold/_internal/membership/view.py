"""Fuses the host list, the log's members and the agents' own words."""

import collections
import datetime

from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import frames
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.models import hosts
from aspenfold._internal.routing import subset

MIN_REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
"""How often an entry asks an endpoint that it watches, at the most."""

REPORT_COST_BYTES = 400
"""What a report and its answer cost on the wire, headers included."""

MAX_REPORT_BYTES_PER_SECOND = 4000
"""What an entry may spend on reports; more endpoints are asked less."""

MAX_MISSED_REPORTS = 4
"""Report intervals of silence after which an endpoint gets no new work."""

OWN_ZONE_SUBSET_SIZE = 48
OTHER_ZONES_SUBSET_SIZE = 16
"""Endpoints of one service that an entry watches and routes to."""

MAX_CONSECUTIVE_FAILURES = 3
"""Failures in a row that eject an endpoint."""

EJECTION_DURATION = datetime.timedelta(seconds=5)

MAX_EJECTED_FRACTION = 0.5
"""At most this share of a service's endpoints is ejected at once."""


class EndpointView:
    """An entry's view of the endpoints, by name."""

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
        """Return every endpoint, routable or not."""
        return list(self._endpoints.values())

    def get(self, name: str) -> endpoint_module.Endpoint | None:
        """Return the endpoint called ``name``."""
        return self._endpoints.get(name)

    def update_hosts(self, listing: hosts.HostList) -> None:
        """Take a reading of the host list; older readings are ignored."""
        if listing.version <= self.host_list_version:
            return
        self.host_list_version = listing.version
        current = {
            host.name: host
            for host in listing.hosts
            if host.role is hosts.Role.ENDPOINT
        }
        for name in set(self._endpoints) - set(current):
            del self._endpoints[name]
        for name, host in current.items():
            known = self._endpoints.get(name)
            if known is None or known.host.address != host.address:
                self._endpoints[name] = endpoint_module.Endpoint(host=host)
            else:
                known.host = host
        self._choose_watched(listing)

    def watched(self) -> list[endpoint_module.Endpoint]:
        """Return the bounded subset that is watched and routed to."""
        return [known for some in self._watched.values() for known in some]

    def group(self, name: str) -> list[endpoint_module.Endpoint]:
        """Return the endpoints of a rank group."""
        return self._groups.get(name, [])

    def report_interval(self) -> datetime.timedelta:
        """Return how long a watched endpoint may go without a report."""
        return self._interval

    def update_members(self, members: dict[str, state_module.Member]) -> None:
        """Take the members as the fleet stream has them."""
        self._members = members

    def update_report(
        self,
        name: str,
        incarnation: str,
        load: frames.Load,
        now: datetime.datetime,
    ) -> None:
        """Take an agent's own report."""
        known = self._endpoints.get(name)
        if known is None:
            return
        if known.incarnation != incarnation:
            known.incarnation = incarnation
            known.failures = 0
        known.update_load(load, now)

    def update_load(
        self, name: str, load: frames.Load, now: datetime.datetime
    ) -> None:
        """Take the load that rode on a frame."""
        known = self._endpoints.get(name)
        if known is not None:
            known.update_load(load, now)

    def record_success(self, name: str) -> None:
        """An attempt there ended well."""
        known = self._endpoints.get(name)
        if known is not None:
            known.failures = 0

    def record_failure(self, name: str, now: datetime.datetime) -> None:
        """An attempt there was lost; eject after several, with a floor."""
        known = self._endpoints.get(name)
        if known is None:
            return
        known.failures += 1
        if known.failures < MAX_CONSECUTIVE_FAILURES or not self._may_eject(
            known, now
        ):
            return
        known.ejected_until = now + EJECTION_DURATION
        known.failures = 0

    def invalidate_report(self, name: str) -> None:
        """The agent is gone or a new one: hear it before using it."""
        known = self._endpoints.get(name)
        if known is not None:
            known.last_report_at = None

    def is_leaving(self, name: str) -> bool:
        """Return whether any source says that the endpoint leaves."""
        known = self._endpoints.get(name)
        return known is None or self._leaving(known)

    def drain_order(self, name: str, newest: int) -> frames.DrainOrder:
        """Return what the endpoint's agent is to be told.

        ``newest`` is the offset of the newest record that was folded.
        """
        member = self._members.get(name)
        known = self._endpoints.get(name)
        return frames.DrainOrder(
            drain=member is not None,
            token=member.token if member else newest,
            leaving=known is not None
            and known.host.state is hosts.HostState.LEAVING,
        )

    def routable(
        self, service: str, now: datetime.datetime
    ) -> list[endpoint_module.Endpoint]:
        """Return the endpoints of ``service`` that may get new work."""
        oldest = now - self._interval * MAX_MISSED_REPORTS
        return [
            known
            for known in self._watched.get(service, ())
            if known.last_report_at is not None
            and known.last_report_at >= oldest
            and (known.ejected_until is None or known.ejected_until <= now)
            and not self._leaving(known)
        ]

    def _leaving(self, known: endpoint_module.Endpoint) -> bool:
        return (
            known.load.draining
            or known.host.state is hosts.HostState.LEAVING
            or known.name in self._members
        )

    def _may_eject(
        self, known: endpoint_module.Endpoint, now: datetime.datetime
    ) -> bool:
        peers = self._watched.get(known.host.service, [])
        out = sum(
            other.ejected_until is not None and other.ejected_until > now
            for other in peers
        )
        return (out + 1) <= len(peers) * MAX_EJECTED_FRACTION

    def _choose_watched(self, listing: hosts.HostList) -> None:
        """Choose the subset anew; only a changed host list does so."""
        entries = [
            host.name
            for host in listing.hosts
            if host.role is hosts.Role.ENTRY
            and host.availability_zone == self._zone
        ]
        everyone = [
            host.name
            for host in listing.hosts
            if host.role is hosts.Role.ENTRY
        ]
        own: dict[str, list[str]] = collections.defaultdict(list)
        other: dict[str, list[str]] = collections.defaultdict(list)
        self._groups = collections.defaultdict(list)
        for known in self._endpoints.values():
            side = own if known.zone == self._zone else other
            side[known.host.service].append(known.name)
            if known.host.group:
                self._groups[known.host.group].append(known)
        self._watched = {}
        for service in {*own, *other}:
            names = subset.assign(
                self._owner, entries, own[service], OWN_ZONE_SUBSET_SIZE
            ) + subset.assign(
                self._owner, everyone, other[service], OTHER_ZONES_SUBSET_SIZE
            )
            self._watched[service] = [self._endpoints[n] for n in names]
        count = sum(len(some) for some in self._watched.values())
        seconds = count * REPORT_COST_BYTES / MAX_REPORT_BYTES_PER_SECOND
        self._interval = max(
            MIN_REPORT_INTERVAL, datetime.timedelta(seconds=seconds)
        )
