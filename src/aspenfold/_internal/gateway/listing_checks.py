"""Sets aside entries of the list that contradict what is known.

Only an endpoint itself can change what its start is and where it listens, and
it does so with a later start.  An entry under its name that says otherwise may
have another writer, or be late.  It counts once the next entry under that name
says the same, as an endpoint writes its own about each second.

This module only makes decisions: it does no I/O and reads no clock.
"""

import dataclasses

from aspenfold._internal.gateway import endpoint_listing

MAX_SET_ASIDE = 1_024
"""Entries that wait for the next one under their name, the latest ones."""


class ListingChecks:
    """Decides whether an entry counts."""

    def __init__(self) -> None:
        self._set_aside: dict[str, endpoint_listing.Listing] = {}

    def accept(
        self,
        listing: endpoint_listing.Listing,
        known: endpoint_listing.Listing | None,
    ) -> bool:
        """Return whether an entry counts; ``known`` is the one that does."""
        before = self._set_aside.pop(listing.name, None)
        if known is None or not contradicts(listing, known):
            return True
        if before is not None and _stated(before) == _stated(listing):
            return True
        self._set_aside[listing.name] = listing
        if len(self._set_aside) > MAX_SET_ASIDE:
            del self._set_aside[next(iter(self._set_aside))]
        return False

    def confirm(self, name: str) -> None:
        """Record that an entry says what is known."""
        self._set_aside.pop(name, None)

    def has_set_aside(self, name: str) -> bool:
        """Return whether the last entry of this name did not count."""
        return name in self._set_aside


def contradicts(
    listing: endpoint_listing.Listing, known: endpoint_listing.Listing
) -> bool:
    """Return whether an entry and the known one can't both be true."""
    if listing.is_later_start(known):
        return False
    if known.started_ms is None:
        # Which start it was is said now.
        known = dataclasses.replace(known, started_ms=listing.started_ms)
    return _stated(listing) != _stated(known)


def _stated(listing: endpoint_listing.Listing) -> endpoint_listing.Listing:
    """Return what a start never changes of its entry."""
    return dataclasses.replace(listing, draining=False, unknown_fields=())
