"""Retries as a share of traffic, with jittered exponential waits."""

import datetime
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.retries import policy

RETRIES_PER_REQUEST = 0.08
"""Retries earned by each first attempt."""

MAX_SAVED_RETRIES = 10.0
"""Retries that may be saved up, so that light traffic can retry too."""

MAX_ATTEMPTS = 4

BASE_DELAY = datetime.timedelta(milliseconds=25)


@registry.register(policy.KIND, 'budget')
class RetryBudget:
    """A token bucket filled by first attempts, emptied by retries."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(
            MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_REQUEST
        )

    def retry_delay(self, attempt: int) -> datetime.timedelta | None:
        """Spend a retry if there is one; full jitter on the wait."""
        if attempt > MAX_ATTEMPTS or self._tokens < 1:
            return None
        self._tokens -= 1
        ceiling = BASE_DELAY * 2 ** (attempt - 1)
        return ceiling * self._rng.random()
