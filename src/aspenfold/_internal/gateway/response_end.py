"""How the response of one attempt ended: its framing and its content."""

import dataclasses

from aspenfold._internal.network import body_end

INSIDE_EVENT = 'inside-event'
"""Kind of end of a stream that was completed by HTTP inside an event."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseEnd:
    """The end of a response.

    ``events`` is how many events with an id the caller has received, from
    all attempts; ``unfinished_bytes`` is the size of an event that had begun
    and had no end.  Both are 0 for a response that is not a stream.
    """

    body_end: body_end.BodyEnd
    events: int = 0
    unfinished_bytes: int = 0

    @property
    def kind(self) -> str:
        """The kind of end, for metrics."""
        if (
            self.body_end in body_end.COMPLETE_ENDS
            and self.unfinished_bytes > 0
        ):
            return INSIDE_EVENT
        return self.body_end.value

    def log_fields(self) -> dict[str, object]:
        """Return the fields that describe the end in a log line."""
        return {
            'body_end': self.body_end.value,
            'events': self.events,
            'unfinished_bytes': self.unfinished_bytes,
        }
