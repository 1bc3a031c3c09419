"""A retry budget that all entries share without asking each other.

The platform counts, in every sliding window and over all entries, the
requests that endpoints got beyond the first of each.  Each entry keeps
to its part by itself, so that the sum holds whatever the others do.
"""

import dataclasses

ASSUMED_GATEWAYS = 40
"""Entries among which the fixed part is dealt.  The largest deployment
known has 34 with its spares; a restart begins with an empty bucket."""

USED_RATIO_FRACTION = 0.8
"""Part of the allowed ratio that is used: requests of the window before
count too, and load may fall within a window."""

MIN_BURST = 1.0

INITIAL_TOKENS = 1.0
"""Attempts that a new process may make before any request has filled
its bucket.  One, since many processes may start in one window."""


@dataclasses.dataclass(kw_only=True, slots=True)
class SharedBudget:
    """A token bucket: requests fill it, attempts after the first empty it.

    ``ratio`` and ``slack`` are the platform's bounds: in any window,
    attempts after the first stay under ratio x requests + slack.
    """

    ratio: float
    slack: float
    _tokens: float = INITIAL_TOKENS

    @property
    def burst(self) -> float:
        """Most tokens that may be saved up."""
        return max(MIN_BURST, self.slack / ASSUMED_GATEWAYS)

    @property
    def available(self) -> float:
        """Attempts that may be made now."""
        return self._tokens

    def record_request(self) -> None:
        """Count a request of a caller."""
        earned = self.ratio * USED_RATIO_FRACTION
        self._tokens = min(self.burst, self._tokens + earned)

    def take(self) -> bool:
        """Take one attempt out; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
