"""A token bucket, for limits of rates."""

import datetime

ONE_SECOND = datetime.timedelta(seconds=1)

MAX_WAIT = datetime.timedelta(hours=1)
"""The longest wait that is returned; that of a rate of 0."""

MIN_WAIT = datetime.timedelta.resolution


class TokenBucket:
    """Token bucket with ``rate`` tokens per second, at most ``burst``.

    The caller passes in the current time.
    """

    def __init__(
        self,
        *,
        rate: float,
        burst: float,
        now: datetime.datetime,
        tokens: float | None = None,
    ) -> None:
        """Start with ``tokens``, or with as many as the bucket holds."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst if tokens is None else tokens
        self._updated_at = now

    def set_rate(
        self, rate: float, burst: float, now: datetime.datetime
    ) -> None:
        """Change the rate and burst; excess tokens are discarded."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now: datetime.datetime) -> datetime.timedelta | None:
        """Take a token and return None, or return the wait for one."""
        wait = self.wait(now)
        if wait:
            return wait
        self._tokens -= 1
        return None

    def wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time until there is a token, zero if there is one."""
        self._refill(now)
        missing = 1 - self._tokens
        if missing <= 0:
            return datetime.timedelta(0)
        if missing >= self._rate * (MAX_WAIT / ONE_SECOND):
            return MAX_WAIT
        # A rounded wait of zero would mean that there is a token.
        return max(ONE_SECOND * (missing / self._rate), MIN_WAIT)

    def debit(
        self, count: float, now: datetime.datetime, *, max_debt: float
    ) -> None:
        """Remove tokens that were used elsewhere.

        The bucket may owe up to ``max_debt`` tokens afterwards.
        """
        self._refill(now)
        self._tokens = max(self._tokens - count, -max_debt)

    def _refill(self, now: datetime.datetime) -> None:
        elapsed = max(0.0, (now - self._updated_at) / ONE_SECOND)
        self._updated_at = max(now, self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
