"""The agent's RPC service."""

import asyncio
import typing

import grpclib.server

from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.kernel import frames
from aspenfold._internal.network import codec
from aspenfold._internal.network import frame_queue
from aspenfold._internal.rpc import aspenfold_grpc as rpc
from aspenfold._internal.rpc import aspenfold_pb2 as pb

RpcStream = grpclib.server.Stream


class AgentHandler(typing.Protocol):
    """The agent's process as the service uses it.

    A stream id identifies one Execute call.
    """

    name: str
    kernel: agent_kernel.AgentKernel

    def execute(
        self,
        stream_id: int,
        queue: frame_queue.FrameQueue,
        request: frames.AttemptRequest,
    ) -> None:
        """Start or join an attempt; its frames are put into ``queue``."""

    def on_stream_closed(self, stream_id: int) -> None:
        """Handle the end of an answer stream, complete or not."""

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt whose answer is not needed."""

    def on_group_message(self, message: messages.Message) -> None:
        """Handle a message of the expert map protocol."""

    def on_report_request(self, request: pb.ReportRequest) -> pb.ReportReply:
        """Apply an entry's report request and return this agent's report."""


class AgentService(rpc.AgentBase):
    """Decodes calls, passes them to the handler, and encodes results."""

    def __init__(self, *, handler: AgentHandler) -> None:
        self._handler = handler
        self._next_stream_id = 1

    async def Execute(self, stream: RpcStream) -> None:
        """Run or join an attempt, and send its frames until they end."""
        message = await stream.recv_message()
        if message is None:
            return
        stream_id = self._next_stream_id
        self._next_stream_id += 1
        queue = frame_queue.FrameQueue()
        request = codec.request_from_pb(message)
        self._handler.execute(stream_id, queue, request)
        try:
            while batch := await queue.take():
                for frame in batch:
                    await stream.send_message(codec.frame_to_pb(frame))
                # Let frames that arrive together be merged.
                await asyncio.sleep(0)
        finally:
            self._handler.on_stream_closed(stream_id)

    async def Cancel(self, stream: RpcStream) -> None:
        """Cancel an attempt whose answer is not needed."""
        message = await stream.recv_message()
        if message is None:
            return
        self._handler.cancel(message.attempt_id)
        await stream.send_message(pb.CancelReply())

    async def Report(self, stream: RpcStream) -> None:
        """Handle an entry's report request."""
        message = await stream.recv_message()
        if message is None:
            return
        await stream.send_message(self._handler.on_report_request(message))

    async def Group(self, stream: RpcStream) -> None:
        """Receive a message of the expert map protocol."""
        message = await stream.recv_message()
        if message is None:
            return
        self._handler.on_group_message(codec.group_from_pb(message))
        await stream.send_message(pb.GroupReply())
