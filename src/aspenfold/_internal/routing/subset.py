"""Bounded subsets of endpoints by rendezvous hashing."""

from collections import abc
import heapq

import xxhash


def score(owner: str, name: str) -> int:
    """Return the rendezvous score of ``name`` for ``owner``."""
    return xxhash.xxh3_64_intdigest(f'{owner}\0{name}'.encode())


def pick(owner: str, names: abc.Iterable[str], size: int) -> list[str]:
    """Return the ``size`` names that score highest for ``owner``.

    A name that comes or goes changes at most one place in the subset.
    """
    return heapq.nlargest(size, names, key=lambda name: score(owner, name))
