"""The HTTP/1.1 server, with a fake transport."""

import asyncio
import typing

from aspenfold._internal.gateway import plan
from aspenfold._internal.kernel import clock
from aspenfold._internal.network import http1_server


class FakeTransport:
    """Records written bytes; fails on writes after ``lost`` is set."""

    def __init__(self) -> None:
        self.written = b''
        self.lost = False

    def write(self, data: bytes) -> None:
        """Record ``data``."""
        assert not self.lost, 'write to a lost connection'
        self.written += data

    def is_closing(self) -> bool:
        """Return whether the connection is lost."""
        return self.lost

    def close(self) -> None:
        """Mark the connection as lost."""
        self.lost = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limit."""

    def get_extra_info(self, name: str) -> None:
        """Return None for every name."""


def test_nothing_is_written_to_a_lost_connection() -> None:
    """The transport is closing before ``connection_lost`` is called."""

    async def run() -> None:
        handled = asyncio.Event()
        transport = FakeTransport()

        async def handler(
            request: http1_server.Request,
            response: http1_server.ResponseWriter,
        ) -> None:
            response.start(200, [])
            response.write(b'one')
            transport.lost = True
            for _ in range(9):
                response.write(b'more')
            handled.set()

        server = http1_server.Server(
            handler=handler,
            clock=clock.MonotonicClock(),
            limits=lambda: plan.DEFAULT_LIMITS,
        )
        connection = http1_server.ServerConnection(owner=server)
        connection.connection_made(typing.cast(typing.Any, transport))
        connection.data_received(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(5):
            await handled.wait()
        assert b'one' in transport.written

    asyncio.run(run())
