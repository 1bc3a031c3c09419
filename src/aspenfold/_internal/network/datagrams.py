"""UDP socket on asyncio."""

import asyncio
from collections import abc
import typing

DatagramHandler = abc.Callable[[bytes, str], None]
"""Is called with a datagram and its sender's IP address."""


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams at one local address."""

    def __init__(self, *, receive: DatagramHandler) -> None:
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Pass a datagram to the handler."""
        self._receive(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore the error; later datagrams replace lost ones."""

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram, which may be lost."""
        if self._transport is not None:
            self._transport.sendto(data, (host, port))


async def listen(
    host: str, port: int, receive: DatagramHandler
) -> DatagramEndpoint:
    """Open a UDP socket and return its endpoint."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: DatagramEndpoint(receive=receive), local_addr=(host, port)
    )
    return protocol
