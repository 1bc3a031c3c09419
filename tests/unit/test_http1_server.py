"""The server's edge, with a transport that only records."""

import asyncio
import typing

from aspenfold._internal.gateway import plan
from aspenfold._internal.kernel import clock
from aspenfold._internal.network import http1_server


class Transport:
    """Keeps what is written; closes when a test says so."""

    def __init__(self) -> None:
        self.written = b''
        self.lost = False

    def write(self, data: bytes) -> None:
        """Keep bytes."""
        assert not self.lost, 'written to a connection that is lost'
        self.written += data

    def is_closing(self) -> bool:
        """Return whether the connection is lost or being closed."""
        return self.lost

    def close(self) -> None:
        """Close."""
        self.lost = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Not needed."""

    def get_extra_info(self, name: str) -> None:
        """Nothing is known."""


def test_nothing_is_written_once_the_connection_is_lost() -> None:
    """A failed write shows in the transport before its callback runs."""

    async def run() -> None:
        answered = asyncio.Event()
        transport = Transport()

        async def handler(
            request: http1_server.Request, answer: http1_server.ResponseWriter
        ) -> None:
            answer.start(200, [])
            answer.write(b'one')
            transport.lost = True
            for _ in range(9):
                answer.write(b'more')
            answered.set()

        server = http1_server.Server(
            handler=handler,
            clock=clock.MonotonicClock(),
            limits=lambda: plan.DEFAULT_LIMITS,
        )
        connection = http1_server.ServerConnection(owner=server)
        connection.connection_made(typing.cast(typing.Any, transport))
        connection.data_received(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(5):
            await answered.wait()
        assert b'one' in transport.written

    asyncio.run(run())
