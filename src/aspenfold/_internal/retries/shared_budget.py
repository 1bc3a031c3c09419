"""Retry budget that gateways share without communication.

The platform limits the attempts after the first of each request, over all
gateways and in every sliding window.  Each gateway stays within its own part
of the limit, so the total does too.
"""

import dataclasses

MIN_GATEWAYS = 40
"""Each gateway gets an equal part of the limit's fixed part, as one of at
least this many: some may not be known yet.  The largest deployment known
has 34 with its spares."""

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
    gateways.  ``gateways`` is how many there are, as far as is known.
    """

    ratio: float
    slack: float
    gateways: int = 1
    _tokens: float = INITIAL_TOKENS

    @property
    def capacity(self) -> float:
        """Capacity of the bucket, in tokens."""
        sharers = max(MIN_GATEWAYS, self.gateways)
        return max(MIN_CAPACITY, self.slack / sharers)

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
