"""Baseline retry policy that retries at once, a fixed number of times."""

import datetime
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.retries import policy

MAX_ATTEMPTS = 4


@registry.register(policy.KIND, 'naive')
class NaiveRetries:
    """Retries without a budget or delays."""

    def __init__(self, *, rng: random.Random) -> None:
        pass

    def record_request(self) -> None:
        """Do nothing."""

    def retry_delay(self, attempt: int) -> datetime.timedelta | None:
        """Return a zero delay, or None if the attempts are used up."""
        if attempt > MAX_ATTEMPTS:
            return None
        return datetime.timedelta(0)
