"""gRPC client of agents and of other entries."""

import asyncio
from collections import abc

import grpclib
import grpclib.client

from aspenfold._internal.expertmaps import messages
from aspenfold._internal.kernel import frames
from aspenfold._internal.network import auth
from aspenfold._internal.network import codec
from aspenfold._internal.rpc import aspenfold_grpc as rpc
from aspenfold._internal.rpc import aspenfold_pb2 as pb

CONNECT_TIMEOUT_S = 1.0
UNARY_TIMEOUT_S = 1.5

CALL_ERRORS = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)
"""Exceptions that a failed call raises."""


class AnswerStreamLost(Exception):
    """The stream ended early.

    ``sent`` is False only if the request cannot have reached the agent.
    """

    def __init__(self, *, sent: bool) -> None:
        super().__init__('the answer stream was lost')
        self.sent = sent


class AgentClients:
    """Calls agents and entries, over one channel for each address."""

    def __init__(self, *, system_key: str) -> None:
        self._metadata = auth.metadata(system_key)
        self._channels: dict[tuple[str, int], grpclib.client.Channel] = {}

    async def execute(
        self, address: str, port: int, request: frames.AttemptRequest
    ) -> abc.AsyncIterator[frames.Frame]:
        """Run or join an attempt, and yield its frames.

        Raises AnswerStreamLost.
        """
        stub = self._stub(address, port)
        await self._connect(address, port)
        sent = False
        try:
            async with stub.Execute.open(metadata=self._metadata) as stream:
                sent = True
                await stream.send_message(
                    codec.request_to_pb(request), end=True
                )
                async for message in stream:
                    yield codec.frame_from_pb(message)
        except CALL_ERRORS as exc:
            raise AnswerStreamLost(sent=sent) from exc

    async def report(
        self, address: str, port: int, request: pb.ReportRequest
    ) -> pb.ReportReply:
        """Return an agent's report.  Raises one of CALL_ERRORS."""
        stub = self._stub(address, port)
        return await stub.Report(
            request, timeout=UNARY_TIMEOUT_S, metadata=self._metadata
        )

    async def cancel(self, address: str, port: int, attempt_id: str) -> None:
        """Ask an agent to cancel an attempt; ignore errors."""
        try:
            await self._stub(address, port).Cancel(
                pb.CancelRequest(attempt_id=attempt_id),
                timeout=UNARY_TIMEOUT_S,
                metadata=self._metadata,
            )
        except CALL_ERRORS:
            return

    async def send_group_message(
        self, address: str, port: int, message: messages.Message
    ) -> None:
        """Send a message of the expert map protocol; ignore errors."""
        try:
            await self._stub(address, port).Group(
                codec.group_to_pb(message),
                timeout=UNARY_TIMEOUT_S,
                metadata=self._metadata,
            )
        except CALL_ERRORS:
            return

    async def fetch_fleet(
        self, address: str, port: int, have_offset: int
    ) -> pb.FleetReply:
        """Ask another entry for a fleet state later than ``have_offset``.

        Raises one of CALL_ERRORS.
        """
        channel = self._channel(address, port)
        return await rpc.PeerStub(channel).Fleet(
            pb.FleetRequest(have_offset=have_offset),
            timeout=UNARY_TIMEOUT_S,
            metadata=self._metadata,
        )

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _connect(self, address: str, port: int) -> None:
        # grpclib would connect inside the call.  Connecting first shows
        # whether a failed request may have been sent.
        channel = self._channel(address, port)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
        except CALL_ERRORS as exc:
            raise AnswerStreamLost(sent=False) from exc

    def _channel(self, address: str, port: int) -> grpclib.client.Channel:
        key = (address, port)
        channel = self._channels.get(key)
        if channel is None:
            channel = grpclib.client.Channel(address, port)
            self._channels[key] = channel
        return channel

    def _stub(self, address: str, port: int) -> rpc.AgentStub:
        return rpc.AgentStub(self._channel(address, port))
