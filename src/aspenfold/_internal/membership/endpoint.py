"""What an entry knows of one endpoint."""

import dataclasses
import datetime

from aspenfold._internal.kernel import frames
from aspenfold._internal.models import hosts


@dataclasses.dataclass(kw_only=True, slots=True)
class Endpoint:
    """One endpoint: its host, its agent's last words, our own work there.

    ``reported`` and ``load`` come from the agent itself, on reports and
    on every frame.  ``in_flight`` is what this entry has there now.
    """

    host: hosts.Host
    incarnation: str = ''
    load: frames.Load = dataclasses.field(default_factory=frames.Load)
    last_report_at: datetime.datetime | None = None
    in_flight: int = 0
    in_flight_at_report: int = 0
    failures: int = 0
    ejected_until: datetime.datetime | None = None
    map_version: int = 0
    map_in_use: int = 0
    expert_load: list[float] = dataclasses.field(default_factory=list)

    @property
    def name(self) -> str:
        """The endpoint's name, which is its host's."""
        return self.host.name

    @property
    def zone(self) -> str:
        """The availability zone of its host."""
        return self.host.availability_zone

    @property
    def pressure(self) -> float:
        """Work in flight over capacity; 1.0 is full.

        The agent counts all entries' work, but as of its last word; what
        this entry has sent and got back since then is added.
        """
        seen = self.load.running + self.load.waiting
        since = self.in_flight - self.in_flight_at_report
        return max(seen + since, self.in_flight) / max(1, self.load.capacity)

    @property
    def has_free_slot(self) -> bool:
        """Whether one more call would start at once."""
        capacity = max(1, self.load.capacity)
        return self.pressure <= 1.0 - 1.0 / capacity

    def update_load(self, load: frames.Load, now: datetime.datetime) -> None:
        """Take the agent's word on its load."""
        self.load = load
        self.last_report_at = now
        self.in_flight_at_report = self.in_flight
