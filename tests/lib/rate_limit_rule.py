"""What an endpoint with a rate limit may get from all gateways together."""

from collections import abc
import typing

WINDOW_S = 4.0
"""Length of the windows in which requests are counted."""

EXCESS_FACTOR = 1.5
"""Multiple of the limit that is allowed in a window, plus EXCESS_REQUESTS."""

EXCESS_REQUESTS = 5

SETTLING_S = 3.0
"""Time after the first statement of a limit until it must be kept."""

LEARNING_S = 0.5
"""Time after which a gateway that forwarded a statement must know it."""


def max_requests(rate: float) -> float:
    """Return the most requests that an endpoint may get in a window."""
    return EXCESS_FACTOR * rate * WINDOW_S + EXCESS_REQUESTS


def busiest_window(times: abc.Sequence[typing.Any], window: typing.Any) -> int:
    """Return the most of ``times`` in a window that starts at one of them.

    ``window`` is its length, in the unit of the differences of times.
    """
    return max(
        (sum(t <= u < t + window for u in times) for t in times), default=0
    )
