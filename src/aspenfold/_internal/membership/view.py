"""Fuses the host list, the log's members and the agents' own words."""

import datetime

from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import frames
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.models import hosts

REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
"""How often an entry asks an endpoint that it watches for a report."""

HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=2)
"""Silence after which an endpoint gets no new work."""

EJECT_AFTER = 3
"""Failures in a row that eject an endpoint."""

EJECT_TIME = datetime.timedelta(seconds=5)

MAX_EJECTED_SHARE = 0.5
"""At most this share of a service's endpoints is ejected at once."""


class View:
    """An entry's view of the endpoints, by name."""

    def __init__(self) -> None:
        self._endpoints: dict[str, endpoint_module.Endpoint] = {}
        self._members: dict[str, state_module.Member] = {}
        self.host_list_version = 0

    def all(self) -> list[endpoint_module.Endpoint]:
        """Return every endpoint, routable or not."""
        return list(self._endpoints.values())

    def get(self, name: str) -> endpoint_module.Endpoint | None:
        """Return the endpoint called ``name``."""
        return self._endpoints.get(name)

    def listed(self, listing: hosts.HostList) -> None:
        """Take a reading of the host list; older readings are ignored."""
        if listing.version < self.host_list_version:
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

    def folded(self, members: dict[str, state_module.Member]) -> None:
        """Take the members as the fleet stream has them."""
        self._members = members

    def reported(
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
            known.admitted = now
            known.failures = 0
        known.load = load
        known.reported = now

    def heard(
        self, name: str, load: frames.Load, now: datetime.datetime
    ) -> None:
        """Take the load that rode on a frame."""
        known = self._endpoints.get(name)
        if known is not None:
            known.load = load
            known.reported = now

    def succeeded(self, name: str) -> None:
        """An attempt there ended well."""
        known = self._endpoints.get(name)
        if known is not None:
            known.failures = 0

    def failed(self, name: str, now: datetime.datetime) -> None:
        """An attempt there was lost; eject after several, with a floor."""
        known = self._endpoints.get(name)
        if known is None:
            return
        known.failures += 1
        if known.failures < EJECT_AFTER or not self._may_eject(known, now):
            return
        known.ejected_until = now + EJECT_TIME
        known.failures = 0

    def leaving(self, name: str) -> bool:
        """Return whether any source says that the endpoint leaves."""
        known = self._endpoints.get(name)
        if known is None or name in self._members:
            return True
        return (
            known.load.draining or known.host.state is hosts.HostState.LEAVING
        )

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
        return [
            known
            for known in self._endpoints.values()
            if known.host.service == service and self._usable(known, now)
        ]

    def _usable(
        self, known: endpoint_module.Endpoint, now: datetime.datetime
    ) -> bool:
        if known.reported is None or self.leaving(known.name):
            return False
        if now - known.reported > HEARTBEAT_TIMEOUT:
            return False
        return known.ejected_until is None or known.ejected_until <= now

    def _may_eject(
        self, known: endpoint_module.Endpoint, now: datetime.datetime
    ) -> bool:
        peers = [
            other
            for other in self._endpoints.values()
            if other.host.service == known.host.service
        ]
        out = sum(
            other.ejected_until is not None and other.ejected_until > now
            for other in peers
        )
        return (out + 1) <= len(peers) * MAX_EJECTED_SHARE
