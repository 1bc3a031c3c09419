"""A loopback proxy that delays, silences, cuts one way and resets."""

import asyncio
import contextlib
import enum
import socket

from aspenfold_standins import http11

CHUNK = 65_536
"""Bytes read at once."""

POLL_S = 0.02
"""How often a silenced direction looks whether it may go on."""


class LinkFault(enum.Enum):
    """What a link does to bytes and to new connections."""

    NONE = 'none'
    DELAY = 'delay'
    SILENT = 'silent'
    NO_ANSWERS = 'no-answers'
    """Bytes reach the target, none come back."""

    RESET = 'reset'
    """New connections are reset; open ones were reset as it began."""


DELAY_S = 0.06
"""Over the 20 ms and more that links of a region take at their worst."""


class LinkProxy:
    """Forwards connections to one address."""

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
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.listen_host, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop, and reset what is open."""
        assert self._server is not None
        self._server.close()
        self.reset_all()

    def start_fault(self, fault: LinkFault) -> None:
        """Misbehave from now on."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self.reset_all()

    def end_fault(self) -> None:
        """Behave; what was held up is not delivered late."""
        held = (LinkFault.SILENT, LinkFault.NO_ANSWERS)
        if self.fault in held:
            self.reset_all()
        self.fault = LinkFault.NONE

    def reset_all(self) -> None:
        """Reset every connection."""
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
            await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The other side is gone, or the soak is over.
            _reset(writer)
        finally:
            self._writers.discard(writer)

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            self._target_host, self._target_port
        )
        self._writers.add(far_writer)
        there = asyncio.ensure_future(self._copy(reader, far_writer, False))
        back = asyncio.ensure_future(self._copy(far_reader, writer, True))
        try:
            done, _ = await asyncio.wait(
                {there, back}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            # A caller that closes has left; a server that closes is done.
            writer.close()
            far_writer.close()
        finally:
            there.cancel()
            back.cancel()
            self._writers.discard(far_writer)
            if self.fault is LinkFault.RESET:
                _reset(far_writer)
            far_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        while data := await reader.read(CHUNK):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_S)
            while self._holds(answers):
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        while self._holds(answers):
            await asyncio.sleep(POLL_S)

    def _holds(self, answers: bool) -> bool:
        if self.fault is LinkFault.NO_ANSWERS:
            return answers
        return self.fault is LinkFault.SILENT


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, http11.LINGER_RESET
        )
    writer.transport.abort()
