"""Sends to the endpoint with the least work of all.

For ranks that advance in lock-step: the fullest rank holds back all,
so evenness goes before the availability zone.  It needs news of what
other entries have in flight, or all would choose the same endpoint.
"""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy


@registry.register(policy.KIND, 'least-loaded')
class LeastLoaded:
    """Takes the least pressure; among equals the own zone, then any."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        urgent: bool,
    ) -> policy.C:
        """Return the candidate with the least work."""
        return min(
            candidates,
            key=lambda c: (
                c.pressure,
                c.zone != self._zone,
                self._rng.random(),
            ),
        )
