"""Orders the items of one answer and checks that it is whole."""

import enum

from aspenfold._internal.kernel import frames

MAX_BUFFERED = 4096
"""Items held back while an earlier one is missing."""


class Verdict(enum.Enum):
    """What the assembler knows of the answer's end."""

    OPEN = 'open'
    WHOLE = 'whole'
    BROKEN = 'broken'


class Assembler:
    """Takes frames late, out of order or twice; gives items once, in order.

    Only frames of the current attempt count.  A new attempt goes on at
    :attr:`next_item`, so that a resumed answer has no gap or repeat.
    """

    def __init__(self) -> None:
        self.next_item = 0
        self.verdict = Verdict.OPEN
        self._attempt_id = ''
        self._digest = frames.ItemDigest()
        self._buffer: dict[int, bytes] = {}
        self._end: frames.End | None = None

    def begin(self, attempt_id: str) -> None:
        """Expect items of ``attempt_id`` from :attr:`next_item` on."""
        if attempt_id == self._attempt_id:
            return
        self._attempt_id = attempt_id
        self._digest = frames.ItemDigest()
        self._buffer.clear()
        self._end = None

    def items(self, attempt_id: str, body: frames.Items) -> list[bytes]:
        """Take items; return those that are now next in order."""
        if attempt_id != self._attempt_id:
            return []
        if self.verdict is not Verdict.OPEN:
            return []
        for number, item in enumerate(body.items, start=body.first):
            if number >= self.next_item:
                self._buffer[number] = item
        ready = self._drain_buffer()
        if len(self._buffer) > MAX_BUFFERED:
            self.verdict = Verdict.BROKEN
        self._check_end()
        return ready

    def end(self, attempt_id: str, body: frames.End) -> None:
        """Take the end mark; it may come before the last items."""
        if attempt_id != self._attempt_id:
            return
        self._end = body
        self._check_end()

    def _drain_buffer(self) -> list[bytes]:
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
        whole = (
            self.next_item == self._end.total
            and self._digest.value() == self._end.digest
        )
        self.verdict = Verdict.WHOLE if whole else Verdict.BROKEN
