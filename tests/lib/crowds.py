"""Clients that send requests ahead and read no response."""

import asyncio
from collections import abc
import contextlib
import socket

from tests.lib import gateway_program as programs

PIECE_BYTES = 65_536
"""About how much a client sends at once."""

STALL_S = 5.0
"""A client whose bytes are not taken for longer sends no more."""


@contextlib.asynccontextmanager
async def waiting_crowd(
    port: int,
    request: bytes,
    *,
    clients: int,
    total_bytes: int,
    host: str = programs.ADDRESS,
) -> abc.AsyncIterator[None]:
    """Run the block after a crowd has sent what it can of ``total_bytes``.

    A client stops when all of its part is sent, when nothing is taken any
    more or when its connection ends.  Connections that are left stay open.
    """
    socks = [await programs.connect_slowly(port, host) for _ in range(clients)]
    try:
        size = total_bytes // clients
        await asyncio.gather(*(_send(sock, request, size) for sock in socks))
        yield
    finally:
        for sock in socks:
            sock.close()


async def _send(sock: socket.socket, request: bytes, size: int) -> None:
    loop = asyncio.get_running_loop()
    piece = request * (PIECE_BYTES // len(request))
    with contextlib.suppress(ConnectionError, TimeoutError):
        for _ in range(size // len(piece)):
            async with asyncio.timeout(STALL_S):
                await loop.sock_sendall(sock, piece)
