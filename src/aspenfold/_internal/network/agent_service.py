"""The agent's RPC service: decodes, asks the kernel, encodes."""

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

ExecuteStream = grpclib.server.Stream


class AgentHandler(typing.Protocol):
    """What the service needs of the agent's process."""

    name: str
    kernel: agent_kernel.AgentKernel

    def execute(
        self,
        number: int,
        queue: frame_queue.FrameQueue,
        req: frames.AttemptRequest,
    ) -> None:
        """Take an attempt whose frames go to ``queue``."""

    def on_stream_closed(self, number: int) -> None:
        """The reader of a leg is gone or has all."""

    def cancel(self, attempt_id: str) -> None:
        """Nobody waits for the attempt."""

    def on_group_message(self, message: messages.Message) -> None:
        """A message of the expert map protocol arrived."""

    def on_report(self, request: pb.ReportRequest) -> pb.ReportReply:
        """Take an entry's news and give the report."""


class AgentService(rpc.AgentBase):
    """The generated service, served by an agent's handler."""

    def __init__(self, *, handler: AgentHandler) -> None:
        self._handler = handler
        self._next_leg = 1

    async def Execute(self, stream: ExecuteStream) -> None:
        """Serve one leg until its frames end."""
        message = await stream.recv_message()
        if message is None:
            return
        number = self._next_leg
        self._next_leg += 1
        queue = frame_queue.FrameQueue()
        request = codec.request_from_pb(message)
        self._handler.execute(number, queue, request)
        try:
            while taken := await queue.take():
                for frame in taken:
                    await stream.send_message(codec.frame_to_pb(frame))
                # Lets frames that arrive together gather into one.
                await asyncio.sleep(0)
        finally:
            self._handler.on_stream_closed(number)

    async def Cancel(self, stream: ExecuteStream) -> None:
        """Stop work that nobody waits for."""
        message = await stream.recv_message()
        if message is None:
            return
        self._handler.cancel(message.attempt_id)
        await stream.send_message(pb.CancelReply())

    async def Report(self, stream: ExecuteStream) -> None:
        """Exchange news with an entry."""
        message = await stream.recv_message()
        if message is None:
            return
        await stream.send_message(self._handler.on_report(message))

    async def Group(self, stream: ExecuteStream) -> None:
        """Take a message of the expert map protocol."""
        message = await stream.recv_message()
        if message is None:
            return
        self._handler.on_group_message(codec.group_from_pb(message))
        await stream.send_message(pb.GroupReply())
