"""Entries of endpoints in the platform's list."""

from aspenfold._internal.gateway import endpoint_listing


def make_listing(
    name: str,
    *,
    zone: str = 'z',
    draining: bool = False,
    started_ms: int | None = None,
) -> endpoint_listing.Listing:
    """Return the entry of an endpoint of the service ``s``."""
    return endpoint_listing.Listing(
        name=name,
        service='s',
        host=f'host-of-{name}',
        port=1,
        zone=zone,
        capacity=4,
        draining=draining,
        started_ms=started_ms,
    )
