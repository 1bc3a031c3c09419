"""Retry policy with a budget in proportion to traffic and jittered backoff."""

import datetime
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.retries import policy

RETRIES_PER_REQUEST = 0.08
"""Retries that each first attempt adds to the budget."""

MAX_SAVED_RETRIES = 10.0
"""Largest budget; allows retries when there is little traffic."""

MAX_ATTEMPTS = 4

BASE_DELAY = datetime.timedelta(milliseconds=25)
"""The delay before attempt n is random, up to BASE_DELAY * 2 ** (n - 1)."""


@registry.register(policy.KIND, 'budget')
class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Count a first attempt, which adds to the budget."""
        self._tokens = min(
            MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_REQUEST
        )

    def retry_delay(self, attempt: int) -> datetime.timedelta | None:
        """Return a random delay and take a retry from the budget.

        Return None if the budget or the attempts are used up.
        """
        if attempt > MAX_ATTEMPTS or self._tokens < 1:
            return None
        self._tokens -= 1
        ceiling = BASE_DELAY * 2 ** (attempt - 1)
        return ceiling * self._rng.random()
