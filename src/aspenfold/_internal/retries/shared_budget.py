"""Retry budget that gateways share without communication.

The platform limits the attempts after the first of each request, over all
gateways and in every sliding window.  Each gateway stays within its own part
of the limit, so the total does too.
"""

import dataclasses

ASSUMED_GATEWAYS = 40
"""Upper bound of the number of gateways.  Each one gets an equal part of the
limit's fixed part."""

USED_RATIO_FRACTION = 0.8
"""Fraction of the allowed ratio that is used.  The rest covers tokens that
were earned before a window, since load may fall."""

MIN_CAPACITY = 1.0
"""Smallest capacity of the bucket, in tokens."""

INITIAL_TOKENS = 1.0
"""Tokens of a new process; few, since many processes may start in one
window."""


@dataclasses.dataclass(kw_only=True, slots=True)
class SharedBudget:
    """Token bucket that requests fill and attempts after the first empty.

    ``ratio`` and ``slack`` are the platform's limit: in any window there
    may be ratio x requests + slack attempts after the first, over all
    gateways.
    """

    ratio: float
    slack: float
    _tokens: float = INITIAL_TOKENS

    @property
    def capacity(self) -> float:
        """Capacity of the bucket, in tokens."""
        return max(MIN_CAPACITY, self.slack / ASSUMED_GATEWAYS)

    @property
    def available(self) -> float:
        """Current number of tokens."""
        return self._tokens

    def record_request(self) -> None:
        """Count a caller's request, which adds tokens."""
        earned = self.ratio * USED_RATIO_FRACTION
        self._tokens = min(self.capacity, self._tokens + earned)

    def take(self) -> bool:
        """Take a token for an attempt; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
