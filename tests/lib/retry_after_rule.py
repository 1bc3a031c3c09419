"""What an endpoint that asked for no request may still get from a gateway."""

from collections import abc

from aspenfold_standins import platform_worker

LEARNING_S = 0.5
"""Time after a refusal in which requests may still be under way."""

MAX_REQUESTS = 2
"""Requests that one gateway may send between LEARNING_S after a refusal and
the end of the time that it asked for."""


def count_early(
    refusal: platform_worker.Refusal, arrivals: abc.Iterable[float]
) -> int:
    """Return how many of a gateway's requests arrived too early.

    ``arrivals`` are the times at which its requests arrived.
    """
    first = refusal.at + LEARNING_S
    last = refusal.at + refusal.retry_after_s
    return sum(first < at < last for at in arrivals)
