"""Connections to endpoints."""

from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.network import http1_client

CONNECT_TIMEOUT_S = 0.3
"""Timeout of a connection to an endpoint, in seconds.  A cut link never
accepts; the longest round trip between zones is 3 ms."""


PROBE_ATTEMPTS = 2
"""Connections tried before an endpoint is taken to have ended: the packet that
opens one may be lost."""


async def connect(
    listing: endpoint_listing.Listing,
) -> http1_client.Connection:
    """Connect to an endpoint; raises ``http1_client.NotConnected``."""
    return await http1_client.connect(
        listing.host, listing.port, CONNECT_TIMEOUT_S
    )


async def is_listening(listing: endpoint_listing.Listing) -> bool:
    """Return whether the endpoint accepts a connection; send nothing."""
    for _ in range(PROBE_ATTEMPTS):
        try:
            connection = await connect(listing)
        except http1_client.NotConnected:
            continue
        connection.close()
        return True
    return False
