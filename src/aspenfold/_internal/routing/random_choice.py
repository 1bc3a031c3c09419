"""Baseline routing policy that ignores the load."""

from collections import abc
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy


@registry.register(policy.KIND, 'random')
class RandomChoice:
    """Chooses an endpoint uniformly at random."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        interactive: bool,
    ) -> policy.C:
        """Return a random candidate."""
        return self._rng.choice(candidates)
