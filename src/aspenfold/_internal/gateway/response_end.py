"""How the response of one attempt ended: its framing and its content."""

import dataclasses

from aspenfold._internal.network import body_end

INSIDE_EVENT = 'inside-event'
"""Kind of end of a body that HTTP calls complete but that ends in an event."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseEnd:
    """The end of a response.

    ``events`` is how many events with an id the caller has received, from
    all attempts; ``unfinished_bytes`` is the size of what followed the last
    whole event, and ``is_inside_event`` whether that is a part of an event.
    They are 0 and False for a response that is not an event stream.
    """

    body_end: body_end.BodyEnd
    events: int = 0
    unfinished_bytes: int = 0
    is_inside_event: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether the caller may get the response as a complete one."""
        return (
            self.body_end in body_end.COMPLETE_ENDS
            and not self.is_inside_event
        )

    @property
    def kind(self) -> str:
        """The kind of end, for metrics."""
        if self.body_end in body_end.COMPLETE_ENDS and self.is_inside_event:
            return INSIDE_EVENT
        return self.body_end.value

    def log_fields(self) -> dict[str, object]:
        """Return the fields that describe the end in a log line."""
        return {
            'body_end': self.body_end.value,
            'events': self.events,
            'unfinished_bytes': self.unfinished_bytes,
            'whole': self.is_whole,
        }
