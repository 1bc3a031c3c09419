"""Decides when to request a lease in the log.

A lease only avoids duplicate work; records of its holder carry a fencing
token.  So expiry may be measured by the local clock, from when this
process first saw the grant.
"""

import datetime

from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import clock
from aspenfold._internal.models import records


class LeaseClient:
    """Requests leases that are free or expired, for one holder."""

    def __init__(self, *, holder: str) -> None:
        self._holder = holder
        # For each lease the last token, and when it was first seen.
        self._first_seen: dict[str, tuple[int, datetime.datetime]] = {}
        self._requested_at: dict[str, datetime.datetime] = {}

    def held_token(self, state: state_module.FleetState, name: str) -> int:
        """Return the fencing token of the lease ``name``, 0 if not held.

        An expired lease counts as held until it is granted to another.
        """
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
        """Return the record that requests the lease ``name``.

        Return None until the lease is free or expired, or while an earlier
        request is younger than ``ttl``.
        """
        lease = state.leases.get(name)
        if lease is not None and not self._has_expired(name, lease, now):
            return None
        requested_at = self._requested_at.get(name)
        if requested_at is not None and now < requested_at + ttl:
            return None
        self._requested_at[name] = now
        return records.LeaseGrant(
            id=record_id,
            author=self._holder,
            at=now,
            name=name,
            holder=self._holder,
            ttl_ms=clock.to_ms(ttl),
            prior_token=lease.token if lease else 0,
        )

    def _has_expired(
        self, name: str, lease: state_module.Lease, now: datetime.datetime
    ) -> bool:
        token, seen_at = self._first_seen.get(name, (0, now))
        if token != lease.token:
            self._first_seen[name] = (lease.token, now)
            return False
        return now >= seen_at + lease.ttl_ms * clock.MILLISECOND
