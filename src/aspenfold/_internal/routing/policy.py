"""The interface of routing policies."""

from collections import abc
import random
import typing

KIND = 'routing'
"""The plug-in kind in the registry and in a service's ``policies``."""


class Candidate(typing.Protocol):
    """What a policy needs to know of an endpoint."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def zone(self) -> str:
        """Its availability zone."""

    @property
    def pressure(self) -> float:
        """Work there over capacity; 1.0 is full."""

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would start at once."""


C = typing.TypeVar('C', bound=Candidate)


class RoutingPolicy(typing.Protocol):
    """Chooses one endpoint among those that may get new work."""

    def __init__(self, *, zone: str, rng: random.Random) -> None: ...

    def choose(
        self,
        candidates: abc.Sequence[C],
        prefix: str,
        urgent: bool,
    ) -> C:
        """Return one of ``candidates``, which is never empty.

        ``urgent``: the call is interactive and must not wait.

        ``prefix`` is a hash of the start of the prompt; requests that
        share it profit from one endpoint's prefix cache.
        """


def mean_pressure(pool: abc.Sequence[C]) -> float:
    """Return the mean of some endpoints' work over their capacity."""
    return sum(c.pressure for c in pool) / len(pool)
