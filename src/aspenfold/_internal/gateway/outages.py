"""Tracks and logs the outages of all groups of ranks."""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import outage
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

SEPARATOR = '/'
"""Separates service and group in the keys of peer updates."""


def group_key(service: str, group: str) -> str:
    """Return the key that names a group in peer updates."""
    return f'{service}{SEPARATOR}{group}'


class Outages:
    """Holds the outage of each group and logs when one starts and ends.

    The empty group name is used for ranks of a service whose group is not
    known yet.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._outages: dict[str, outage.Outage] = {}

    def get(self, service: str, group: str) -> outage.Outage:
        """Return the outage state of a group, created on first use."""
        key = group_key(service, group)
        known = self._outages.get(key)
        if known is None:
            known = outage.Outage()
            self._outages[key] = known
        return known

    def is_unavailable(self, endpoint: directory.Endpoint) -> bool:
        """Return whether the endpoint's group is known to be unavailable."""
        return self.get(endpoint.listing.service, endpoint.group).is_ongoing

    def record_refusal(self, service: str, group: str) -> None:
        """Record that a group refused a request."""
        if self.get(service, group).record_refusal(self._clock.now()):
            events.emit(
                events.Event.GROUP_STANDS, service=service, group=group
            )

    def record_recovery(self, service: str, group: str) -> None:
        """Record that a group accepted a request or is reported available."""
        duration = self.get(service, group).record_recovery(self._clock.now())
        _log_end(group_key(service, group), duration, '')

    def record_peer_recovery(
        self, key: str, age: datetime.timedelta, peer: str
    ) -> None:
        """Record a recovery that a peer saw ``age`` ago.

        ``key`` is the group's key; unknown groups are ignored.
        """
        known = self._outages.get(key)
        if known is not None:
            _log_end(
                key, known.record_peer_recovery(age, self._clock.now()), peer
            )

    def first_to_recover(
        self, endpoints: abc.Sequence[directory.Endpoint]
    ) -> outage.Outage | None:
        """Return the outage that is expected to end first.

        Return None if a group of the endpoints is available or there are
        no endpoints.
        """
        found: list[outage.Outage] = []
        for endpoint in endpoints:
            known = self.get(endpoint.listing.service, endpoint.group)
            if not known.is_ongoing:
                return None
            found.append(known)
        now = self._clock.now()
        return min(
            found, key=lambda one: one.time_to_recovery(now), default=None
        )

    def time_since_recovery(
        self, endpoints: abc.Sequence[directory.Endpoint]
    ) -> datetime.timedelta | None:
        """Return the time since the latest recovery of the endpoints' groups.

        Return None if one of the groups is unavailable or had no outage.
        """
        now = self._clock.now()
        ages: list[datetime.timedelta] = []
        for endpoint in endpoints:
            known = self.get(endpoint.listing.service, endpoint.group)
            age = known.recovery_age(now)
            if age is None:
                return None
            ages.append(age)
        return min(ages, default=None)

    def count_ongoing(self) -> int:
        """Return how many groups are known to be unavailable."""
        return sum(known.is_ongoing for known in self._outages.values())

    def recent_recoveries(self) -> dict[str, datetime.timedelta]:
        """Return the ages of recoveries to report to peers, by group key."""
        now = self._clock.now()
        found = {}
        for key, known in self._outages.items():
            age = known.recent_recovery_age(now)
            if age is not None:
                found[key] = age
        return found


def _log_end(key: str, duration: datetime.timedelta | None, peer: str) -> None:
    """Log the end of an outage, unless ``duration`` is None."""
    if duration is None:
        return
    service, _, group = key.partition(SEPARATOR)
    events.emit(
        events.Event.GROUP_RUNS,
        service=service,
        group=group,
        stood_ms=duration // clock_module.MILLISECOND,
        told_by=peer,
    )
