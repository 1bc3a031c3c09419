"""The interface of routing policies."""

from collections import abc
import random
import typing

from aspenfold._internal.membership import endpoint as endpoint_module

KIND = 'routing'
"""The plug-in kind in the registry and in a service's ``policies``."""


class RoutingPolicy(typing.Protocol):
    """Chooses one endpoint among those that may get new work."""

    def __init__(self, *, zone: str, rng: random.Random) -> None: ...

    def choose(
        self,
        candidates: abc.Sequence[endpoint_module.Endpoint],
        prefix: str,
        urgent: bool,
    ) -> endpoint_module.Endpoint:
        """Return one of ``candidates``, which is never empty.

        ``urgent``: the call is interactive and must not wait.

        ``prefix`` is a hash of the start of the prompt; requests that
        share it profit from one endpoint's prefix cache.
        """
