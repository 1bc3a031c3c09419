"""Two random choices by true load, own zone first, prefix affinity."""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy
from aspenfold._internal.routing import subset

SPILL_PRESSURE = 0.8
"""Mean pressure of the own zone above which other zones take a share."""

URGENT_SAMPLE_SIZE = 8
"""Choices for an interactive call, which must find a free place; more
would send all entries to the one endpoint that looked idle last."""

MAX_AFFINITY_RATIO = 1.25
"""The prefix's home is used up to this multiple of the mean pressure."""

AFFINITY_MARGIN = 0.15
"""Added to the bound, so that near-idle endpoints keep their prefixes."""


@registry.register(policy.KIND, 'two-choices')
class TwoChoices:
    """Sends to the prefix's home unless it is loaded above the bound."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        urgent: bool,
    ) -> policy.C:
        """Return the prefix's home or the less loaded of two."""
        pool = self._pool(candidates)
        if prefix:
            home = self._home(pool, prefix)
            if home.pressure <= self._bound(pool):
                return home
        if not urgent:
            return self._least_loaded(pool, 2)
        chosen = self._least_loaded(pool, URGENT_SAMPLE_SIZE)
        if chosen.has_free_slot:
            return chosen
        # A millisecond to another zone is less than a wait here.
        return self._least_loaded(candidates, URGENT_SAMPLE_SIZE)

    def _pool(
        self, candidates: abc.Sequence[policy.C]
    ) -> abc.Sequence[policy.C]:
        own = [c for c in candidates if c.zone == self._zone]
        if not own:
            return candidates
        mean = policy.mean_pressure(own)
        if mean <= SPILL_PRESSURE:
            return own
        # Above the bound the excess share of requests may go anywhere.
        stay = SPILL_PRESSURE / mean
        return own if self._rng.random() < stay else candidates

    def _home(self, pool: abc.Sequence[policy.C], prefix: str) -> policy.C:
        return max(pool, key=lambda c: subset.score(prefix, c.name))

    def _bound(self, pool: abc.Sequence[policy.C]) -> float:
        return (
            policy.mean_pressure(pool) * MAX_AFFINITY_RATIO + AFFINITY_MARGIN
        )

    def _least_loaded(
        self, pool: abc.Sequence[policy.C], choices: int
    ) -> policy.C:
        drawn = [self._rng.choice(pool) for _ in range(choices)]
        return min(drawn, key=lambda c: c.pressure)
