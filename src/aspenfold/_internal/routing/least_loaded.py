"""Routing policy that chooses the least loaded endpoint.

It suits ranks that run in lock-step, where the most loaded rank delays all
others, so balance matters more than the availability zone.  The pressure
must include what other gateways have in flight; otherwise all of them would
choose the same endpoint.
"""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy


@registry.register(policy.KIND, 'least-loaded')
class LeastLoaded:
    """Chooses the lowest pressure; ties prefer the own zone, then random."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        interactive: bool,
    ) -> policy.C:
        """Return the candidate with the lowest pressure."""
        return min(
            candidates,
            key=lambda c: (
                c.pressure,
                c.zone != self._zone,
                self._rng.random(),
            ),
        )
