"""Splits a server-sent event stream into complete events.

Events are forwarded byte for byte, each once it is complete, so that an
interrupted stream can be resumed at another endpoint with the next event.
"""

import re

MAX_EVENT_BYTES = 1_048_576
"""Size limit of one event; a stream that exceeds it is aborted, since an
endpoint that never ends one would fill the memory.  Events are under 1 KB."""

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Splits bytes into complete events and records the last event's id.

    ``events`` counts the events with an id that were returned.
    """

    def __init__(self, *, last_id: bytes = b'') -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = b''

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event exceeds MAX_EVENT_BYTES."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def partial_event(self) -> bytes:
        """The bytes of the event that is still incomplete."""
        return self._partial

    def discard_partial_event(self) -> None:
        """Discard the incomplete event."""
        self._partial = b''

    def feed(self, data: bytes) -> bytes:
        """Return the concatenated events that ``data`` completes.

        Events with an id up to :attr:`last_id` are skipped, because a
        resumed stream may repeat them.
        """
        self._partial += data
        complete: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(self._partial):
            event = self._partial[start : match.end()]
            start = match.end()
            if self._is_new(event):
                complete.append(event)
        self._partial = self._partial[start:]
        return b''.join(complete)

    def _is_new(self, event: bytes) -> bool:
        match = _ID_FIELD.search(event)
        if match is None:
            return True
        event_id = match.group(1)
        if not _is_after(event_id, self.last_id):
            return False
        self.last_id = event_id
        self.events += 1
        return True


def _is_after(event_id: bytes, last_id: bytes) -> bool:
    if not last_id:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id
