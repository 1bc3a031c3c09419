"""Routing policy that prefers the least loaded endpoint of the own zone.

It suits ranks that run in lock-step.  There the most loaded rank delays all
others, but a single request matters little, while requests that cross zones
cost traffic and fail when a zone is cut off.  Other zones get requests when
the own zone has clearly more load.  The pressure must include what other
gateways have in flight.
"""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy

SPILL_PRESSURE_MARGIN = 0.25
"""Difference between the mean pressure of the own zone and of all endpoints
above which other zones get requests.  Means are compared because the load of
single endpoints in other zones may be outdated."""


@registry.register(policy.KIND, 'zone-first')
class ZoneFirst:
    """Chooses the lowest pressure in the own zone, or in all if it is full."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        interactive: bool,
    ) -> policy.C:
        """Return the least loaded candidate of the own zone or of all."""
        own_zone = [c for c in candidates if c.zone == self._zone]
        if not own_zone:
            return self._least_loaded(candidates)
        nearest = self._least_loaded(own_zone)
        own_zone_is_fuller = (
            policy.mean_pressure(own_zone)
            > policy.mean_pressure(candidates) + SPILL_PRESSURE_MARGIN
        )
        if own_zone_is_fuller or not nearest.has_free_slot:
            return self._least_loaded(candidates)
        return nearest

    def _least_loaded(self, candidates: abc.Sequence[policy.C]) -> policy.C:
        return min(candidates, key=lambda c: (c.pressure, self._rng.random()))
