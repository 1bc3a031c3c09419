"""The outages of all groups that a gateway knows, with their log lines."""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import outage
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

SEPARATOR = '/'
"""Between a service and its group in what gateways tell each other."""


def group_key(service: str, group: str) -> str:
    """Return how gateways name a group to each other."""
    return f'{service}{SEPARATOR}{group}'


class Outages:
    """Finds a group's outage, and tells when one begins and ends.

    A group without a name stands for the ranks of a service whose group
    is not known.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._known: dict[str, outage.Outage] = {}

    def get(self, service: str, group: str) -> outage.Outage:
        """Return what is known of a group standing still."""
        key = group_key(service, group)
        known = self._known.get(key)
        if known is None:
            known = outage.Outage()
            self._known[key] = known
        return known

    def is_unavailable(self, endpoint: directory.Endpoint) -> bool:
        """Return whether the endpoint's group is known to stand still."""
        return self.get(endpoint.listing.service, endpoint.group).is_ongoing

    def record_refusal(self, service: str, group: str) -> None:
        """A group stands: it refused a request."""
        if self.get(service, group).record_refusal(self._clock.now()):
            events.emit(
                events.Event.GROUP_STANDS, service=service, group=group
            )

    def record_recovery(self, service: str, group: str) -> None:
        """A group took a request, or was seen to be open."""
        stood = self.get(service, group).record_recovery(self._clock.now())
        _log_end(group_key(service, group), stood, '')

    def record_peer_recovery(
        self, key: str, age: datetime.timedelta, peer: str
    ) -> None:
        """A peer says that a group ran ``age`` ago."""
        known = self._known.get(key)
        if known is not None:
            _log_end(
                key, known.record_peer_recovery(age, self._clock.now()), peer
            )

    def first_to_recover(
        self, endpoints: abc.Sequence[directory.Endpoint]
    ) -> outage.Outage | None:
        """Return the outage that ends first, None if some group runs.

        Outages last about equally long: the oldest ends first.
        """
        found: list[outage.Outage] = []
        for endpoint in endpoints:
            known = self.get(endpoint.listing.service, endpoint.group)
            if not known.is_ongoing:
                return None
            found.append(known)
        now = self._clock.now()
        return min(found, key=lambda one: one.remaining(now), default=None)

    def time_since_recovery(
        self, endpoints: abc.Sequence[directory.Endpoint]
    ) -> datetime.timedelta | None:
        """Return how long ago the last outage of the endpoints' groups ended.

        None if some group had none: it takes what comes back.
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
        """Return how many groups are known to stand still."""
        return sum(known.is_ongoing for known in self._known.values())

    def recent_recoveries(self) -> dict[str, datetime.timedelta]:
        """Return how long ago groups were seen to run again, if lately."""
        now = self._clock.now()
        found = {}
        for key, known in self._known.items():
            age = known.recent_recovery_age(now)
            if age is not None:
                found[key] = age
        return found


def _log_end(key: str, stood: datetime.timedelta | None, peer: str) -> None:
    """Log the end of an outage; None: there was none."""
    if stood is None:
        return
    service, _, group = key.partition(SEPARATOR)
    events.emit(
        events.Event.GROUP_RUNS,
        service=service,
        group=group,
        stood_ms=stood // clock_module.MILLISECOND,
        told_by=peer,
    )
