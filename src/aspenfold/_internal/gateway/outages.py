"""The outages of all groups that a gateway knows, with their log lines."""

import datetime

from aspenfold._internal.gateway import outage
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events


class Outages:
    """Finds a service's outage, and tells when one begins and ends."""

    def __init__(self, *, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._known: dict[str, outage.Outage] = {}

    def of(self, service: str) -> outage.Outage:
        """Return what is known of the service's group standing still."""
        known = self._known.get(service)
        if known is None:
            known = outage.Outage()
            self._known[service] = known
        return known

    def refused(self, service: str) -> None:
        """The service's group stands: it refused a request."""
        if self.of(service).refused(self._clock.now()):
            events.emit(events.Event.GROUP_STANDS, service=service)

    def runs(self, service: str) -> None:
        """The service's group took a request."""
        _log_end(service, self.of(service).runs(self._clock.now()), '')

    def told(self, service: str, age: datetime.timedelta, peer: str) -> None:
        """A peer says that the service's group ran ``age`` ago."""
        known = self._known.get(service)
        if known is not None:
            _log_end(service, known.told(age, self._clock.now()), peer)

    def standing(self) -> int:
        """Return how many groups are known to stand still."""
        return sum(known.lasts for known in self._known.values())

    def recovered(self) -> dict[str, datetime.timedelta]:
        """Return how long ago groups were seen to run again, if lately."""
        now = self._clock.now()
        found = {}
        for service, known in self._known.items():
            age = known.ended_lately(now)
            if age is not None:
                found[service] = age
        return found


def _log_end(
    service: str, stood: datetime.timedelta | None, peer: str
) -> None:
    """Log the end of an outage; None: there was none."""
    if stood is None:
        return
    events.emit(
        events.Event.GROUP_RUNS,
        service=service,
        stood_ms=stood // clock_module.MILLISECOND,
        told_by=peer,
    )
