"""Finds out whether an endpoint still listens."""

from aspenfold._internal.gateway import directory
from aspenfold._internal.network import http1_client

TIMEOUT_S = 0.3
"""Timeout of the connection, in seconds; the longest round trip between
zones is 3 ms."""


async def is_listening(listing: directory.Listing) -> bool:
    """Return whether the endpoint accepts a connection; send nothing."""
    try:
        connection = await http1_client.connect(
            listing.host, listing.port, TIMEOUT_S
        )
    except http1_client.NotConnected:
        return False
    connection.close()
    return True
