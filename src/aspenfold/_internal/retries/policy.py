"""The interface of retry policies."""

import datetime
import random
import typing

KIND = 'retry'
"""The plug-in kind in the registry and in a service's ``policies``."""


class RetryPolicy(typing.Protocol):
    """Decides whether and when to repeat an attempt that may be repeated."""

    def __init__(self, *, rng: random.Random) -> None: ...

    def record_request(self) -> None:
        """Count a first attempt."""

    def retry_delay(self, attempt: int) -> datetime.timedelta | None:
        """Return the delay before attempt ``attempt``, None for no retry.

        The first attempt is number 1 and has no delay.
        """
