"""Entries of endpoints in the platform's list."""

from aspenfold._internal.gateway import directory


def make_listing(
    name: str,
    *,
    zone: str = 'z',
    draining: bool = False,
    started_ms: int | None = None,
) -> directory.Listing:
    """Return the entry of an endpoint of the service ``s``."""
    return directory.Listing(
        name=name,
        service='s',
        host='h',
        port=1,
        zone=zone,
        capacity=4,
        draining=draining,
        started_ms=started_ms,
    )
