"""The interface of routing policies."""

from collections import abc
import random
import typing

KIND = 'routing'
"""The plug-in kind in the registry and in a service's ``policies``."""


class Candidate(typing.Protocol):
    """What a routing policy needs to know of an endpoint."""

    @property
    def name(self) -> str:
        """The endpoint's name."""

    @property
    def zone(self) -> str:
        """The endpoint's availability zone."""

    @property
    def pressure(self) -> float:
        """The endpoint's load divided by its capacity; 1.0 is full."""

    @property
    def has_free_slot(self) -> bool:
        """Whether another request would start without waiting."""


C = typing.TypeVar('C', bound=Candidate)


class RoutingPolicy(typing.Protocol):
    """Chooses one of the endpoints that may get new requests."""

    def __init__(self, *, zone: str, rng: random.Random) -> None: ...

    def choose(
        self,
        candidates: abc.Sequence[C],
        prefix: str,
        interactive: bool,
    ) -> C:
        """Return one of ``candidates``, which must not be empty.

        ``prefix`` is a hash of the start of the prompt, empty if unknown;
        requests with the same prefix benefit from one endpoint's prefix
        cache.  ``interactive`` is set for interactive requests, which should
        start without waiting.
        """


def mean_pressure(pool: abc.Sequence[C]) -> float:
    """Return the mean pressure of the endpoints in ``pool``."""
    return sum(c.pressure for c in pool) / len(pool)
