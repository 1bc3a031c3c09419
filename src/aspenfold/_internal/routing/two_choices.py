"""Routing policy with prefix affinity and random choices, own zone first."""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy
from aspenfold._internal.routing import subset

SPILL_PRESSURE = 0.8
"""Mean pressure of the own zone above which other zones get requests too."""

INTERACTIVE_SAMPLE_SIZE = 8
"""Random choices for an interactive request, which needs a free slot.  With
many more, all entries would choose the same idle endpoint."""

MAX_AFFINITY_RATIO = 1.25
"""A prefix's home endpoint is used up to this multiple of the mean pressure,
plus AFFINITY_MARGIN."""

AFFINITY_MARGIN = 0.15
"""Pressure added to the limit, so that nearly idle endpoints keep their
prefixes."""


@registry.register(policy.KIND, 'two-choices')
class TwoChoices:
    """Chooses a prefix's home endpoint, or the less loaded of two random ones.

    The home is the endpoint with the highest rendezvous score for the
    prefix.  It is used while its pressure is within the limit.
    """

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        interactive: bool,
    ) -> policy.C:
        """Return the prefix's home or the least loaded of a random sample."""
        pool = self._zone_candidates(candidates)
        if prefix:
            home = self._home(pool, prefix)
            if home.pressure <= self._max_home_pressure(pool):
                return home
        if not interactive:
            return self._least_loaded(pool, 2)
        chosen = self._least_loaded(pool, INTERACTIVE_SAMPLE_SIZE)
        if chosen.has_free_slot:
            return chosen
        # Crossing zones takes less time than waiting for a slot.
        return self._least_loaded(candidates, INTERACTIVE_SAMPLE_SIZE)

    def _zone_candidates(
        self, candidates: abc.Sequence[policy.C]
    ) -> abc.Sequence[policy.C]:
        own_zone = [c for c in candidates if c.zone == self._zone]
        if not own_zone:
            return candidates
        mean = policy.mean_pressure(own_zone)
        if mean <= SPILL_PRESSURE:
            return own_zone
        # The excess fraction of the requests may go to any zone.
        own_zone_probability = SPILL_PRESSURE / mean
        return (
            own_zone
            if self._rng.random() < own_zone_probability
            else candidates
        )

    def _home(self, pool: abc.Sequence[policy.C], prefix: str) -> policy.C:
        return max(pool, key=lambda c: subset.score(prefix, c.name))

    def _max_home_pressure(self, pool: abc.Sequence[policy.C]) -> float:
        return (
            policy.mean_pressure(pool) * MAX_AFFINITY_RATIO + AFFINITY_MARGIN
        )

    def _least_loaded(
        self, pool: abc.Sequence[policy.C], choices: int
    ) -> policy.C:
        sample = [self._rng.choice(pool) for _ in range(choices)]
        return min(sample, key=lambda c: c.pressure)
