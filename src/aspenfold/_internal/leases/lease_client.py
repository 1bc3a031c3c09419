"""Decides when to ask the log for a lease.

A lease only keeps several entries from doing one thing at a time; what
its holder writes is fenced by its token.  So it may safely be judged by
the local clock, from the moment at which this process saw the grant.
"""

import datetime

from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import clock
from aspenfold._internal.models import records


class LeaseClient:
    """Watches grants and asks for leases that are free or lapsed."""

    def __init__(self, *, holder: str) -> None:
        self._holder = holder
        self._seen: dict[str, tuple[int, datetime.datetime]] = {}
        self._asked: dict[str, datetime.datetime] = {}

    def held_token(self, state: state_module.FleetState, name: str) -> int:
        """Return the token if this process was last granted ``name``."""
        lease = state.leases.get(name)
        if lease is None or lease.holder != self._holder:
            return 0
        return lease.token

    def request(
        self,
        state: state_module.FleetState,
        name: str,
        ttl: datetime.timedelta,
        record_id: str,
        now: datetime.datetime,
    ) -> records.LeaseGrant | None:
        """Return the record to append, None while it must wait."""
        lease = state.leases.get(name)
        if lease is not None and not self._lapsed(name, lease, now):
            return None
        asked = self._asked.get(name)
        if asked is not None and now < asked + ttl:
            return None
        self._asked[name] = now
        return records.LeaseGrant(
            id=record_id,
            author=self._holder,
            at=now,
            name=name,
            holder=self._holder,
            ttl_ms=clock.to_ms(ttl),
            prior_token=lease.token if lease else 0,
        )

    def _lapsed(
        self, name: str, lease: state_module.Lease, now: datetime.datetime
    ) -> bool:
        token, since = self._seen.get(name, (0, now))
        if token != lease.token:
            self._seen[name] = (lease.token, now)
            return False
        return now >= since + lease.ttl_ms * clock.MILLISECOND
