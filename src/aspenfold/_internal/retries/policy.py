"""The interface of retry policies."""

import datetime
import random
import typing

KIND = 'retry'


class RetryPolicy(typing.Protocol):
    """Decides whether a safe retry is made and how long to wait."""

    def __init__(self, *, rng: random.Random) -> None: ...

    def record_request(self) -> None:
        """Count a first attempt."""

    def retry_delay(self, attempt: int) -> datetime.timedelta | None:
        """Return the wait before attempt ``attempt``, None for no retry."""
