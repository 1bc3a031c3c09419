"""Puts the items of one answer in order and verifies its digest."""

import enum

from aspenfold._internal.kernel import frames

MAX_BUFFERED_ITEMS = 4096
"""Items that may be buffered while an earlier one is missing."""


class AnswerStatus(enum.Enum):
    """Whether the answer is complete, or damaged beyond repair."""

    INCOMPLETE = 'incomplete'
    COMPLETE = 'complete'
    CORRUPT = 'corrupt'


class AnswerAssembler:
    """Puts items in order and drops duplicates.

    Frames of attempts other than the current one are ignored.  A new attempt
    continues at :attr:`next_item`, without a gap or repeated items.
    """

    def __init__(self) -> None:
        self.next_item = 0
        self.status = AnswerStatus.INCOMPLETE
        self._attempt_id = ''
        self._digest = frames.ItemDigest()
        self._buffer: dict[int, bytes] = {}
        self._end: frames.End | None = None

    def begin_attempt(self, attempt_id: str) -> None:
        """Expect items of ``attempt_id`` from :attr:`next_item` on."""
        if attempt_id == self._attempt_id:
            return
        self._attempt_id = attempt_id
        self._digest = frames.ItemDigest()
        self._buffer.clear()
        self._end = None

    def add_items(self, attempt_id: str, body: frames.Items) -> list[bytes]:
        """Add items; return those that are now next in order."""
        if attempt_id != self._attempt_id:
            return []
        if self.status is not AnswerStatus.INCOMPLETE:
            return []
        for number, item in enumerate(body.items, start=body.first):
            if number >= self.next_item:
                self._buffer[number] = item
        ready = self._pop_ready()
        if len(self._buffer) > MAX_BUFFERED_ITEMS:
            self.status = AnswerStatus.CORRUPT
        self._check_end()
        return ready

    def add_end(self, attempt_id: str, body: frames.End) -> None:
        """Handle the end frame, which may arrive before the last items."""
        if attempt_id != self._attempt_id:
            return
        self._end = body
        self._check_end()

    def _pop_ready(self) -> list[bytes]:
        ready: list[bytes] = []
        while self.next_item in self._buffer:
            item = self._buffer.pop(self.next_item)
            self._digest.add(item)
            ready.append(item)
            self.next_item += 1
        return ready

    def _check_end(self) -> None:
        if self._end is None or self.next_item < self._end.total:
            return
        complete = (
            self.next_item == self._end.total
            and self._digest.value() == self._end.digest
        )
        self.status = (
            AnswerStatus.COMPLETE if complete else AnswerStatus.CORRUPT
        )
