"""Retries as a share of traffic, with jittered exponential waits."""

import datetime
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.retries import policy

SHARE = 0.08
"""Retries earned by each first attempt."""

RESERVE = 10.0
"""Retries that may be saved up, so that light traffic can retry too."""

MAX_ATTEMPTS = 4

BASE_WAIT = datetime.timedelta(milliseconds=25)


@registry.register(policy.KIND, 'budget')
class Budget:
    """A token bucket filled by first attempts, emptied by retries."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = RESERVE

    def request(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(RESERVE, self._tokens + SHARE)

    def retry(self, attempt: int) -> datetime.timedelta | None:
        """Spend a retry if there is one; full jitter on the wait."""
        if attempt > MAX_ATTEMPTS or self._tokens < 1:
            return None
        self._tokens -= 1
        ceiling = BASE_WAIT * 2 ** (attempt - 1)
        return ceiling * self._rng.random()
