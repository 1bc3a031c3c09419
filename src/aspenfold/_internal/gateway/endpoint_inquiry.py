"""Asks an endpoint's address which endpoint is there."""

import asyncio
from collections import abc
import datetime
import enum

from aspenfold._internal.gateway import endpoint_connection
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import header_names as header_names_module
from aspenfold._internal.gateway import statement_recorder
from aspenfold._internal.network import http1_client

TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time to an answer, with that of the connection."""


class Identity(enum.Enum):
    """What an address answered."""

    SAME = 'same'
    """The endpoint itself, be it another start of it."""

    OTHER = 'other'
    """Another endpoint."""

    NOT_LISTENING = 'not listening'
    """It accepts no connections."""

    UNKNOWN = 'unknown'
    """There was no answer in time, or none that can be read."""


class EndpointInquiry:
    """Sends a request for a service's health that only one may answer.

    Any other endpoint responds with 421.  A response of any other status is
    the endpoint's, whatever it says of its health.
    """

    def __init__(
        self,
        *,
        header_names: header_names_module.HeaderNames,
        decode_statement: endpoint_statement.Decoder,
        health_path: abc.Callable[[str], str],
    ) -> None:
        """``health_path`` returns the path for the health of a service."""
        self._names = header_names
        self._decode = decode_statement
        self._health_path = health_path

    async def ask(self, listing: endpoint_listing.Listing) -> Identity:
        """Return which endpoint is at the address of an entry."""
        try:
            async with asyncio.timeout(TIMEOUT.total_seconds()):
                head = await self._read_head(listing)
        except http1_client.NotConnected:
            return Identity.NOT_LISTENING
        except (http1_client.ConnectionLost, TimeoutError):
            return Identity.UNKNOWN
        responder = self._decode(list(head.headers)).responder
        if responder not in ('', listing.name):
            return Identity.OTHER
        is_refused = head.status_code == statement_recorder.MISDIRECTED_STATUS
        if is_refused and not responder:
            return Identity.OTHER
        return Identity.SAME

    async def _read_head(
        self, listing: endpoint_listing.Listing
    ) -> http1_client.ResponseHead:
        connection = await endpoint_connection.connect(listing)
        headers = [
            (b'host', f'{listing.host}:{listing.port}'.encode()),
            (self._names.expected_endpoint, listing.name.encode()),
            (b'connection', b'close'),
        ]
        target = self._health_path(listing.service).encode()
        try:
            connection.send(b'GET', target, headers, b'')
            return await connection.read_head()
        finally:
            connection.close()
