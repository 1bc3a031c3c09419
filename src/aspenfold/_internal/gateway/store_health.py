"""Tracks whether the store answers and whether its reads can be trusted."""

import datetime

from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

UNSTABLE_DURATION = datetime.timedelta(seconds=3)
"""How long after the last failed call an entry may be missing only because
its owner could not renew it: the store takes 2 s, plus one poll."""

REREAD_DURATION = datetime.timedelta(seconds=8)
"""How long complete reads are repeated after a trim, since they may be up to
6 s old then."""

IDLE_POLL_INTERVAL_S = 0.1
"""How often an idle loop checks whether it must read again."""


class StoreHealth:
    """Result of the latest store calls, shared by all feeds.

    ``failed_at`` is the time of the last failed call.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        selection: selection_module.ReaderSelection,
    ) -> None:
        self._clock = clock
        self._selection = selection
        self._reread_until: datetime.datetime | None = None
        self.failed_at: datetime.datetime | None = None
        self.last_call_failed = False

    def on_failure(self, feed: str, exc: Exception) -> None:
        """Record that a call by the feed named ``feed`` failed."""
        self.failed_at = self._clock.now()
        self._selection.on_store_failure(self.failed_at)
        if not self.last_call_failed:
            self.last_call_failed = True
            events.emit(events.Event.LOG_LOST, feed=feed, error=str(exc)[:200])

    def on_success(self) -> None:
        """Record that a call was answered."""
        self._selection.on_store_success()
        if self.last_call_failed:
            self.last_call_failed = False
            events.emit(events.Event.LOG_BACK)

    def on_history_trimmed(self, feed: str) -> None:
        """Record that unread records of the feed ``feed`` were trimmed."""
        self._reread_until = self._clock.now() + REREAD_DURATION
        events.emit(events.Event.HISTORY_TRIMMED, feed=feed)

    def must_reread(self) -> bool:
        """Return whether reads may be stale after a trim."""
        until = self._reread_until
        return until is not None and self._clock.now() < until

    def is_stable(self, now: datetime.datetime) -> bool:
        """Return whether a missing entry means that its owner has left.

        During and shortly after a store outage, live owners' entries
        expire too.
        """
        return (
            self.failed_at is None or now - self.failed_at > UNSTABLE_DURATION
        )
