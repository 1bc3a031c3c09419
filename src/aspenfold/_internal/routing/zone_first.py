"""Sends to the least loaded endpoint of the own zone, as long as it is even.

For ranks that advance in lock-step: the fullest rank holds back all, but
one request more or less on it changes a pass by some hundredths, while
each request that crosses zones is paid for by the byte, and is lost when
its zone is cut off.  Other zones take over where the own one is clearly
fuller.  It needs news of what other entries have in flight.
"""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy

SPILL_PRESSURE_MARGIN = 0.25
"""Other zones take over where the own one's mean pressure is higher than
the mean of all by this.  The mean, since what is known of single endpoints
of other zones may be a second old: some always look idle."""


@registry.register(policy.KIND, 'zone-first')
class ZoneFirst:
    """Takes the least pressure of the own zone, or of any if it is full."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        urgent: bool,
    ) -> policy.C:
        """Return the own zone's least loaded candidate, or another's."""
        own = [c for c in candidates if c.zone == self._zone]
        if not own:
            return self._least(candidates)
        near = self._least(own)
        fuller = (
            policy.mean_pressure(own)
            > policy.mean_pressure(candidates) + SPILL_PRESSURE_MARGIN
        )
        if fuller or not near.has_free_slot:
            return self._least(candidates)
        return near

    def _least(self, candidates: abc.Sequence[policy.C]) -> policy.C:
        return min(candidates, key=lambda c: (c.pressure, self._rng.random()))
