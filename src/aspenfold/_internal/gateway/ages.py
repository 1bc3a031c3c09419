"""Ages in messages between gateways, in whole milliseconds.

No two clocks are compared: a time crosses as its age.
"""

import datetime

from aspenfold._internal.kernel import clock

MAX_AGE = datetime.timedelta(days=365)
"""Longer ages are invalid; a process doesn't run that long."""


def encode(age: datetime.timedelta) -> int:
    """Return an age in milliseconds, rounded down."""
    return age // clock.MILLISECOND


def decode(value: int) -> datetime.timedelta:
    """Return an age; raises ValueError if it is too long."""
    age = max(0, int(value)) * clock.MILLISECOND
    if age > MAX_AGE:
        raise ValueError(f'an age of {age} is too long')
    return age
