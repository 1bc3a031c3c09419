"""An endpoint's entry in the platform's list."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """An endpoint's entry in the platform's list.

    ``started_ms`` tells the starts of one endpoint apart: it is the Unix
    time of this one in milliseconds by the endpoint's clock, None if that is
    not known.  ``unknown_fields`` of the entry were not read.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    capacity: int
    draining: bool
    started_ms: int | None = None
    unknown_fields: tuple[str, ...] = ()

    @property
    def incarnation(self) -> str:
        """The name of this start, if starts can be told apart."""
        if self.started_ms is None:
            return self.name
        return f'{self.name}@{self.started_ms}'

    @property
    def address(self) -> tuple[str, int]:
        """The IP address and the port."""
        return self.host, self.port

    def is_later_start(self, other: 'Listing') -> bool:
        """Return whether the endpoint was started anew since ``other``."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms > other.started_ms
