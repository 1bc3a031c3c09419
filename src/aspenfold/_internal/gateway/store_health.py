"""Whether the store answers, as all loops that read it have seen."""

import datetime

from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

UNSTABLE_DURATION = datetime.timedelta(seconds=3)
"""How long after the last failed call lapsed entries may still be due
to an outage: the store's 2 s, and a reading of the list."""

REREAD_DURATION = datetime.timedelta(seconds=8)
"""How long whole readings go on after a trim: over the 6 s by which
readings are late then."""

IDLE_POLL_INTERVAL_S = 0.1
"""How often a resting loop looks whether it must read again."""


class StoreHealth:
    """What failed calls and a trimmed history mean for readings."""

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        selection: selection_module.ReaderSelection,
    ) -> None:
        self._clock = clock
        self._selection = selection
        self._check_until: datetime.datetime | None = None
        self.failed_at: datetime.datetime | None = None
        self.lost = False

    def on_failure(self, feed: str, exc: Exception) -> None:
        """A call of the loop ``feed`` failed."""
        self.failed_at = self._clock.now()
        self._selection.on_store_failure(self.failed_at)
        if not self.lost:
            self.lost = True
            events.emit(events.Event.LOG_LOST, feed=feed, error=str(exc)[:200])

    def on_success(self) -> None:
        """A call was answered."""
        self._selection.on_store_success()
        if self.lost:
            self.lost = False
            events.emit(events.Event.LOG_BACK)

    def on_history_trimmed(self, feed: str) -> None:
        """Records were trimmed before ``feed`` had read them."""
        self._check_until = self._clock.now() + REREAD_DURATION
        events.emit(events.Event.HISTORY_TRIMMED, feed=feed)

    def must_reread(self) -> bool:
        """Return whether readings may still be old after a trim."""
        until = self._check_until
        return until is not None and self._clock.now() < until

    def is_stable(self, now: datetime.datetime) -> bool:
        """Return whether a missing entry means that its owner left."""
        return (
            self.failed_at is None or now - self.failed_at > UNSTABLE_DURATION
        )
