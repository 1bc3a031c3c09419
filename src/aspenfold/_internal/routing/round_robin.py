"""Baseline routing policy that takes the endpoints in turn."""

from collections import abc
import itertools
import random

from aspenfold._internal.kernel import registry
from aspenfold._internal.routing import policy


@registry.register(policy.KIND, 'round-robin')
class RoundRobin:
    """Chooses each endpoint in turn, from a random first one."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._counter = itertools.count(rng.randrange(1 << 16))

    def choose(
        self,
        candidates: abc.Sequence[policy.C],
        prefix: str,
        interactive: bool,
    ) -> policy.C:
        """Return the next candidate."""
        return candidates[next(self._counter) % len(candidates)]
