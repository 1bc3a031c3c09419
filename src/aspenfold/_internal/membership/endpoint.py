"""State of an endpoint as an entry knows it."""

import dataclasses
import datetime

from aspenfold._internal.kernel import frames
from aspenfold._internal.models import hosts


@dataclasses.dataclass(kw_only=True, slots=True)
class Endpoint:
    """An endpoint with its host, last reported load and requests in flight.

    The agent reports ``load`` in its reports and with every frame.
    ``last_report_at`` is the time of the last one, None if the agent has
    not reported or the report is no longer valid.  ``in_flight`` is the
    number of this entry's own calls there, ``in_flight_at_load`` that
    number at the last report.  ``failures`` are consecutive.

    The other fields are for endpoints of a rank group: ``map_version`` is
    the newest map plan that the agent knows, ``map_in_use`` the version of
    the current step, 0 for none, and ``expert_load`` the load by expert.
    """

    host: hosts.Host
    incarnation: str = ''
    load: frames.Load = dataclasses.field(default_factory=frames.Load)
    last_report_at: datetime.datetime | None = None
    in_flight: int = 0
    in_flight_at_load: int = 0
    failures: int = 0
    ejected_until: datetime.datetime | None = None
    map_version: int = 0
    map_in_use: int = 0
    expert_load: list[float] = dataclasses.field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the endpoint's host."""
        return self.host.name

    @property
    def zone(self) -> str:
        """The availability zone of the endpoint's host."""
        return self.host.availability_zone

    @property
    def pressure(self) -> float:
        """Calls in flight divided by capacity; 1.0 is full.

        The agent counts the calls of all entries at its last report.  The
        change since then of this entry's own calls is added.
        """
        reported = self.load.running + self.load.waiting
        count_change = self.in_flight - self.in_flight_at_load
        return max(reported + count_change, self.in_flight) / max(
            1, self.load.capacity
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether another call would start without waiting."""
        capacity = max(1, self.load.capacity)
        return self.pressure <= 1.0 - 1.0 / capacity

    def update_load(self, load: frames.Load, now: datetime.datetime) -> None:
        """Store a load that the agent reported."""
        self.load = load
        self.last_report_at = now
        self.in_flight_at_load = self.in_flight
