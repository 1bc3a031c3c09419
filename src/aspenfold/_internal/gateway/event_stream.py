"""Cuts a stream of events at whole events.

Events are passed on byte for byte, each as soon as it is whole, so
that a stream that breaks can go on at the next event elsewhere.
"""

import re

MAX_EVENT_BYTES = 1_048_576
"""A stream whose event grows over this is broken off: an endpoint that
never ends one would fill the gateway's memory.  Events are under 1 KB."""

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Splits bytes into whole events; remembers the last event's id."""

    def __init__(self, *, last_id: bytes = b'') -> None:
        self.last_id = last_id
        self.events = 0
        self._rest = b''

    @property
    def is_oversized(self) -> bool:
        """Whether an event has grown too large to be kept."""
        return len(self._rest) > MAX_EVENT_BYTES

    @property
    def partial_event(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def discard_partial_event(self) -> None:
        """Forget an event that broke off."""
        self._rest = b''

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, in one piece.

        Events with an id up to :attr:`last_id` are left out: after a
        resumption they would come twice.
        """
        self._rest += data
        whole: list[bytes] = []
        start = 0
        for match in _END.finditer(self._rest):
            event = self._rest[start : match.end()]
            start = match.end()
            if self._is_new(event):
                whole.append(event)
        self._rest = self._rest[start:]
        return b''.join(whole)

    def _is_new(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        event_id = found.group(1)
        if not _after(event_id, self.last_id):
            return False
        self.last_id = event_id
        self.events += 1
        return True


def _after(event_id: bytes, last_id: bytes) -> bool:
    if not last_id:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id
