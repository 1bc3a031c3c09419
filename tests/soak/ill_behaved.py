"""Clients of a soak that send requests ahead and read no response."""

import asyncio
import contextlib
import random
import socket

from tests.soak import system_under_test

CLIENTS = (1, 4)
REQUESTS = (1, 1_000)
"""A thousand take a gateway a fraction of a second."""

STAY_RANGE_S = (0.1, 2.0)
PAUSE_RANGE_S = (0.2, 1.0)
CONNECT_TIMEOUT_S = 1.0
RECEIVE_BUFFER_BYTES = 4_096

FORMS = [
    b'GET /nowhere/ HTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n',
    b'POST /nowhere/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
    b'\r\n' + b'1\r\nx\r\n' * 20 + b'0\r\n\r\n',
    b'GET /nowhere/ HTTP/1.1\r\nHost',
]
"""The last one is half a head."""


class IllBehavedClients:
    """Lets a few such clients come to one gateway after the other."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        rng: random.Random,
    ) -> None:
        self._system = system
        self._rng = rng

    async def run(self) -> None:
        """Let clients come and leave until cancelled."""
        while True:
            gateway = self._rng.choice(self._system.gateways)
            port = self._rng.choice([gateway.caller_port, gateway.health_port])
            count = self._rng.randint(*CLIENTS)
            data = self._rng.choice(FORMS) * self._rng.randint(*REQUESTS)
            stay_s = self._rng.uniform(*STAY_RANGE_S)
            with contextlib.ExitStack() as open_sockets:
                for _ in range(count):
                    sock = open_sockets.enter_context(socket.socket())
                    await _send(sock, gateway.host, port, data)
                await asyncio.sleep(stay_s)
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))


async def _send(
    sock: socket.socket, host: str, port: int, data: bytes
) -> None:
    """Send what is taken; the gateway may have ended, or not go on."""
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, (host, port))
            await loop.sock_sendall(sock, data)
