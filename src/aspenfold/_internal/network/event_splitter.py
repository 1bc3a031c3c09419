"""Splits a server-sent event stream into whole events, byte for byte.

See the HTML standard, section "Server-sent events": a blank line ends an
event, and lines that start with a colon are comments.
"""

import re

MAX_EVENT_BYTES = 1_048_576
"""Size limit of one event; a stream that exceeds it is aborted, since an
endpoint that never ends one would fill the memory.  Events are under 1 KB."""

MEDIA_TYPE = 'text/event-stream'

_EVENT_END = re.compile(rb'\r?\n\r?\n|\r\r')
_MAX_EVENT_END_BYTES = 4

# Possessive, so that a line is matched in one way only: else the time doubles
# with each line that ends in CR LF.
_NO_FIELDS = re.compile(rb'(?:(?::[^\r\n]*+)?+(?>\r\n|\r|\n))*+')


def is_event_stream(content_type: str) -> bool:
    """Return whether a Content-Type header names an event stream."""
    media_type = content_type.partition(';')[0]
    return media_type.strip().lower() == MEDIA_TYPE


class EventSplitter:
    """Splits the bytes of one stream into events."""

    def __init__(self) -> None:
        self._unfinished = bytearray()
        self._search_from = 0

    @property
    def unfinished(self) -> bytes:
        """The bytes behind the last whole event."""
        return bytes(self._unfinished)

    @property
    def is_oversized(self) -> bool:
        """Whether the unfinished bytes exceed MAX_EVENT_BYTES."""
        return len(self._unfinished) > MAX_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream was broken off if it ends here.

        Blank lines and whole comment lines may follow the last event.
        """
        return _NO_FIELDS.fullmatch(self._unfinished) is None

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes."""
        buffer = self._unfinished
        buffer += data
        events: list[bytes] = []
        start = 0
        match = _EVENT_END.search(buffer, self._search_from)
        while match is not None:
            events.append(bytes(buffer[start : match.end()]))
            start = match.end()
            match = _EVENT_END.search(buffer, start)
        del buffer[:start]
        # The end of an event may be cut by the end of the data.
        self._search_from = max(0, len(buffer) - _MAX_EVENT_END_BYTES + 1)
        return events
