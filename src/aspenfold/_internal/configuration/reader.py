"""Reads the fleet stream in order of offsets; recovers after trimming."""

from collections import abc
import dataclasses
import typing

import pydantic

from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.models import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRecord:
    """A record as read from the log; ``body`` is not yet validated."""

    offset: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Records of a stream, and the range of offsets that the log holds.

    ``first_offset`` is that of the oldest record held, ``next_offset``
    the one after the newest.
    """

    records: list[LogRecord]
    first_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppliedRecord:
    """A record and the verdict on it."""

    record: LogRecord
    verdict: reducer.Verdict


class FleetReader:
    """Applies the records of the fleet stream to a state, in order.

    The state never goes back to an earlier offset.  If records between
    it and the oldest one on the log are missing, no record is applied
    until a snapshot or a peer's state closes the gap.
    """

    def __init__(self) -> None:
        self.state = state_module.FleetState()
        self._position = 1
        self._held: list[LogRecord] | None = None

    @property
    def position(self) -> int:
        """Offset to read next."""
        return self._position

    @property
    def awaiting_snapshot(self) -> bool:
        """Whether records were trimmed before they were read.

        No record is applied until a snapshot or a peer's state closes the
        gap.
        """
        return self._held is not None

    def apply_page(self, page: Page) -> list[AppliedRecord]:
        """Apply a page read from :attr:`position`.

        Returns the applied records, including any held until now.
        """
        if (
            page.first_offset > self._position
            and self._position < page.next_offset
        ):
            self._position = page.first_offset
            self._held = []
        applied: list[AppliedRecord] = []
        for record in page.records:
            if record.offset < self._position:
                continue
            self._position = record.offset + 1
            applied.extend(self._apply_or_hold(record))
        return applied

    def adopt_state(self, state: state_module.FleetState) -> bool:
        """Adopt a peer's state if it is newer; return whether so."""
        if state.next_offset <= self.state.next_offset:
            return False
        self.state = state
        self._position = max(self._position, state.next_offset)
        # Held records may continue the peer's state.  Dropping them would
        # open a second gap.
        for _ in self._apply_held():
            pass
        return True

    def _apply_or_hold(self, record: LogRecord) -> abc.Iterator[AppliedRecord]:
        if self._held is None:
            verdict = reducer.apply_record(
                self.state, record.offset, record.body
            )
            yield AppliedRecord(record=record, verdict=verdict)
            return
        self._held.append(record)
        if self._load_snapshot(record):
            yield from self._apply_held()

    def _apply_held(self) -> abc.Iterator[AppliedRecord]:
        """Apply the held records, unless there is still a gap before them."""
        if self._held is None:
            return
        if self._gap_start() > self.state.next_offset:
            return
        held, self._held = self._held, None
        for record in held:
            if record.offset < self.state.next_offset:
                continue
            verdict = reducer.apply_record(
                self.state, record.offset, record.body
            )
            yield AppliedRecord(record=record, verdict=verdict)

    def _gap_start(self) -> int:
        """Return the oldest offset that was read after the gap."""
        return self._held[0].offset if self._held else self._position

    def _load_snapshot(self, record: LogRecord) -> bool:
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
