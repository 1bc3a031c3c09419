"""The time in which one endpoint wants no requests from this gateway."""

import datetime

NO_WAIT = datetime.timedelta(0)


class EndpointBackoff:
    """Keeps the latest end of the times that an endpoint asked for."""

    def __init__(self) -> None:
        self._until: datetime.datetime | None = None

    def record_refusal(
        self, retry_after: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Record that a refusal received ``now`` asked for a time.

        Return whether the backoff lasts longer than before.  A shorter time
        does not end one that was asked for earlier.
        """
        until = now + retry_after
        if until <= max(now, self._until or now):
            return False
        self._until = until
        return True

    def wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time until a request may be sent."""
        if self._until is None:
            return NO_WAIT
        return max(NO_WAIT, self._until - now)
