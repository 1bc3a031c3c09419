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
    ``latency`` is a moving average of seconds to the first frame.
    """

    host: hosts.Host
    incarnation: str = ''
    load: frames.Load = dataclasses.field(default_factory=frames.Load)
    reported: datetime.datetime | None = None
    in_flight: int = 0
    failures: int = 0
    latency: float = 0.0
    ejected_until: datetime.datetime | None = None
    admitted: datetime.datetime | None = None
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

        The agent counts all entries' work but lags by a report; our own
        count does not lag.  The larger of both is nearer the truth.
        """
        seen = self.load.running + self.load.waiting
        return max(seen, self.in_flight) / max(1, self.load.capacity)
