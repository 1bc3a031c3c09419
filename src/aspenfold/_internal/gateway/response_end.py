"""How the response of one attempt ended: its framing and its content."""

import dataclasses

from aspenfold._internal.network import body_end

INSIDE_EVENT = 'inside-event'
"""Kind of end of a body that HTTP calls complete but that ends in an event."""

WITHOUT_EVENTS = 'without-events'
"""Kind of end of a stream that its connection ended before any event."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseEnd:
    """The end of a response.

    ``events`` is how many events with an id the caller has received, from
    all attempts; ``unfinished_bytes`` is the size of what followed the last
    whole event, and ``is_inside_event`` whether that is a part of an event.
    ``lacks_events`` is whether events were due and none came.  All are 0 or
    False for a response that is not an event stream.
    """

    body_end: body_end.BodyEnd
    events: int = 0
    unfinished_bytes: int = 0
    is_inside_event: bool = False
    lacks_events: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether the caller may get the response as a complete one."""
        return (
            self.body_end in body_end.COMPLETE_ENDS
            and self.kind == self.body_end.value
        )

    @property
    def kind(self) -> str:
        """The kind of end, for metrics."""
        if self.body_end in body_end.COMPLETE_ENDS and self.is_inside_event:
            return INSIDE_EVENT
        # A length or a last chunk would state that nothing more was due.
        if self.body_end is body_end.BodyEnd.CLOSE and self.lacks_events:
            return WITHOUT_EVENTS
        return self.body_end.value

    def log_fields(self) -> dict[str, object]:
        """Return the fields that describe the end in a log line."""
        return {
            'body_end': self.body_end.value,
            'events': self.events,
            'unfinished_bytes': self.unfinished_bytes,
            'whole': self.is_whole,
        }
