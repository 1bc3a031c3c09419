"""Reads a stream in offset order and recovers when it was trimmed."""

from collections import abc
import dataclasses
import typing

import pydantic

from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.models import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRecord:
    """A record as read: its offset and undecoded body."""

    offset: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """One answer of the log: records and the range that it still holds.

    ``first`` is the oldest offset kept, ``next`` the one after the
    newest.
    """

    records: list[LogRecord]
    first: int
    next: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppliedRecord:
    """A record and the verdict of this reader."""

    record: LogRecord
    verdict: reducer.Verdict


class FleetReader:
    """Folds the fleet stream; never goes from a later state to an earlier.

    While records between its position and the oldest kept one are
    missing, it judges nothing and waits for a snapshot that reaches
    back to a record that the log still holds.
    """

    def __init__(self) -> None:
        self.state = state_module.FleetState()
        self._position = 1
        self._pending: list[LogRecord] | None = None

    @property
    def position(self) -> int:
        """The offset to read next."""
        return self._position

    @property
    def awaiting_snapshot(self) -> bool:
        """Whether records were lost to trimming and none is judged."""
        return self._pending is not None

    def apply_page(self, page: Page) -> list[AppliedRecord]:
        """Fold a page that was read from :attr:`position`."""
        if page.first > self._position and self._position < page.next:
            self._position = page.first
            self._pending = []
        judged: list[AppliedRecord] = []
        for record in page.records:
            if record.offset < self._position:
                continue
            self._position = record.offset + 1
            judged.extend(self._apply_or_hold(record))
        return judged

    def adopt_state(self, state: state_module.FleetState) -> bool:
        """Take a peer's state if it is further on; return whether so."""
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        self._position = max(self._position, state.next_offset)
        # Records that were read while the gap was open may follow on the
        # peer's state; dropping them would leave a second gap.
        for _ in self._resume():
            pass
        return True

    def _apply_or_hold(self, record: LogRecord) -> abc.Iterator[AppliedRecord]:
        if self._pending is None:
            verdict = reducer.apply_record(
                self.state, record.offset, record.body
            )
            yield AppliedRecord(record=record, verdict=verdict)
            return
        self._pending.append(record)
        if self._restore(record):
            yield from self._resume()

    def _resume(self) -> abc.Iterator[AppliedRecord]:
        """Fold what was held back, unless a gap is left before it."""
        if self._pending is None:
            return
        if self._gap_start() > self.state.next_offset:
            return
        pending, self._pending = self._pending, None
        for kept in pending:
            if kept.offset < self.state.next_offset:
                continue
            verdict = reducer.apply_record(self.state, kept.offset, kept.body)
            yield AppliedRecord(record=kept, verdict=verdict)

    def _gap_start(self) -> int:
        """Return the oldest offset that was read after the gap."""
        return self._pending[0].offset if self._pending else self._position

    def _restore(self, record: LogRecord) -> bool:
        if record.body.get('type') != 'snapshot':
            return False
        try:
            snapshot = records.Snapshot.model_validate(record.body)
        except pydantic.ValidationError:
            return False
        if snapshot.covers < self._gap_start():
            return False
        if snapshot.covers > self.state.next_offset:
            self.state = state_module.FleetState.from_document(snapshot.state)
        return True
