"""A loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum
import socket

from aspenfold_standins import http11

MAX_READ_BYTES = 65_536

BLOCKED_POLL_INTERVAL_S = 0.02


class LinkFault(enum.Enum):
    """How a link treats data and new connections."""

    NONE = 'none'
    DELAY = 'delay'
    NO_DATA = 'silent'
    """No data is forwarded in either direction."""

    NO_RESPONSES = 'no-answers'
    """Data reaches the target, but none comes back."""

    RESET = 'reset'
    """Open connections are reset at the start, new ones at once."""


DELAY_S = 0.06
"""Delay of each chunk; well above the latency within a region."""


class LinkProxy:
    """Forwards connections to one target address, with faults on demand."""

    def __init__(
        self,
        *,
        target_host: str,
        target_port: int,
        listen_host: str = '127.0.0.1',
    ) -> None:
        self.listen_host = listen_host
        self._target_host = target_host
        self._target_port = target_port
        self.fault = LinkFault.NONE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port of ``listen_host``, and set ``port``."""
        self._server = await asyncio.start_server(
            self._serve, self.listen_host, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        assert self._server is not None
        self._server.close()
        self.reset_all()

    async def crash(self, down_s: float) -> None:
        """Reset every connection, and listen again after ``down_s``."""
        await self.stop()
        await asyncio.sleep(down_s)
        self._server = await http11.listen_again(
            lambda: asyncio.start_server(
                self._serve, self.listen_host, self.port
            )
        )

    def start_fault(self, fault: LinkFault) -> None:
        """Apply a fault until ``end_fault``."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self.reset_all()

    def end_fault(self) -> None:
        """End the fault.

        Connections on which it blocked data are reset, so that no data
        arrives late.
        """
        blocking = (LinkFault.NO_DATA, LinkFault.NO_RESPONSES)
        if self.fault in blocking:
            self.reset_all()
        self.fault = LinkFault.NONE

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # One side closed the connection, or the test ended.
            _reset(writer)
        finally:
            self._writers.discard(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self._target_host, self._target_port
        )
        self._writers.add(target_writer)
        to_target = asyncio.ensure_future(
            self._copy(reader, target_writer, False)
        )
        to_caller = asyncio.ensure_future(
            self._copy(target_reader, writer, True)
        )
        try:
            done, _ = await asyncio.wait(
                {to_target, to_caller}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            # Either side closing ends the connection.
            writer.close()
            target_writer.close()
        finally:
            to_target.cancel()
            to_caller.cancel()
            self._writers.discard(target_writer)
            if self.fault is LinkFault.RESET:
                _reset(target_writer)
            target_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while data := await reader.read(MAX_READ_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_S)
            while self._is_blocked(is_response):
                await asyncio.sleep(BLOCKED_POLL_INTERVAL_S)
            writer.write(data)
            await writer.drain()
        while self._is_blocked(is_response):
            await asyncio.sleep(BLOCKED_POLL_INTERVAL_S)

    def _is_blocked(self, is_response: bool) -> bool:
        if self.fault is LinkFault.NO_RESPONSES:
            return is_response
        return self.fault is LinkFault.NO_DATA


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, http11.LINGER_RESET
        )
    writer.transport.abort()
