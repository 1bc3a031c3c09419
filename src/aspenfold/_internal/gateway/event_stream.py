"""The events of a streamed response, from all attempts at it.

Events are forwarded byte for byte, each once it is whole, so that an
interrupted stream can be resumed at another endpoint with the next event.
"""

import re

from aspenfold._internal.network import event_splitter

# MULTILINE knows no CR as a line end.
_FIELD = re.compile(rb'(?:\A|[\r\n])[^:\r\n]')
_ID_FIELD = re.compile(rb'(?:\A|[\r\n])id:[ ]?([^\r\n]*)')


class EventStream:
    """Records the last event's id and drops events that are repeated.

    ``events`` counts the events with an id that were returned.  ``splitter``
    is that of the current attempt; ``has_new_events`` is whether it brought
    an event that is neither repeated nor a comment.
    """

    def __init__(self, *, last_id: bytes = b'') -> None:
        self.last_id = last_id
        self.events = 0
        self.splitter = event_splitter.EventSplitter()
        self.has_new_events = False

    def begin_attempt(self) -> None:
        """Discard the unfinished event of the attempt before."""
        self.splitter = event_splitter.EventSplitter()
        self.has_new_events = False

    def feed(self, data: bytes) -> bytes:
        """Return the concatenated events that ``data`` completes.

        Events with an id up to :attr:`last_id` are skipped, because a
        resumed stream may repeat them.
        """
        events = [x for x in self.splitter.feed(data) if self._is_new(x)]
        self.has_new_events |= any(map(_FIELD.search, events))
        return b''.join(events)

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
        return _order(event_id) > _order(last_id)
    return event_id != last_id


def _order(digits: bytes) -> tuple[int, bytes]:
    """Return what orders numbers, of which int() takes no long ones."""
    significant = digits.lstrip(b'0')
    return len(significant), significant
