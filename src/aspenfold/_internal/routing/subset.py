"""Subsets of limited size, chosen by hashing."""

from collections import abc
import heapq

import xxhash


def score(owner: str, name: str) -> int:
    """Return the rendezvous score of ``name`` for ``owner``."""
    return xxhash.xxh3_64_intdigest(f'{owner}\0{name}'.encode())


def select(owner: str, names: abc.Iterable[str], size: int) -> list[str]:
    """Return the ``size`` names with the highest scores for ``owner``.

    Adding or removing a name changes at most one member of the subset.
    """
    return heapq.nlargest(size, names, key=lambda name: score(owner, name))


def assign(
    owner: str,
    owners: abc.Iterable[str],
    names: abc.Iterable[str],
    size: int,
) -> list[str]:
    """Return ``size`` names for ``owner``, distributed evenly over owners.

    The names form a ring in hash order.  Owners, also in hash order, start
    at evenly spaced positions and take the ``size`` names that follow.  If
    ``size`` times the number of owners is more than the number of names,
    every name is assigned; :func:`select` does not ensure that.
    """
    ring = sorted(names, key=lambda name: score('', name))
    if len(ring) <= size:
        return ring
    order = sorted({*owners, owner}, key=lambda name: score('', name))
    start = order.index(owner) * len(ring) // len(order)
    return [ring[(start + i) % len(ring)] for i in range(size)]
