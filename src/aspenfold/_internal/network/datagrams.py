"""A socket for datagrams on the process's own loop."""

import asyncio
from collections import abc
import typing

DatagramHandler = abc.Callable[[bytes, str], None]
"""Takes a datagram and the IP address that it came from."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams at one address."""

    def __init__(self, *, receive: DatagramHandler) -> None:
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Hand a datagram on."""
        self._receive(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Leave it: the next datagram makes a lost one good."""

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(data, (host, port))


async def listen(
    host: str, port: int, receive: DatagramHandler
) -> DatagramEndpoint:
    """Open the socket."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramEndpoint(receive=receive), local_addr=(host, port)
    )
    return protocol
