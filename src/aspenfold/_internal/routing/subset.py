"""Bounded subsets of endpoints by rendezvous hashing."""

from collections import abc
import heapq

import xxhash


def score(owner: str, name: str) -> int:
    """Return the rendezvous score of ``name`` for ``owner``."""
    return xxhash.xxh3_64_intdigest(f'{owner}\0{name}'.encode())


def select(owner: str, names: abc.Iterable[str], size: int) -> list[str]:
    """Return the ``size`` names that score highest for ``owner``.

    A name that comes or goes changes at most one place in the subset.
    """
    return heapq.nlargest(size, names, key=lambda name: score(owner, name))


def assign(
    owner: str,
    owners: abc.Iterable[str],
    names: abc.Iterable[str],
    size: int,
) -> list[str]:
    """Return ``owner``'s ``size`` names so that all are dealt evenly.

    Both sides are put in hash order on one ring of names; each owner
    begins at its own evenly spaced place and takes what follows.  Every
    name is taken once ``size`` times owners exceeds the names, which
    independent choices (:func:`select`) do not achieve.
    """
    ring = sorted(names, key=lambda name: score('', name))
    if len(ring) <= size:
        return ring
    order = sorted({*owners, owner}, key=lambda name: score('', name))
    start = order.index(owner) * len(ring) // len(order)
    return [ring[(start + i) % len(ring)] for i in range(size)]
