"""The RPC service by which entries hand each other the fleet state."""

import typing

import grpclib.server

from aspenfold._internal.rpc import aspenfold_grpc as rpc
from aspenfold._internal.rpc import aspenfold_pb2 as pb


class FleetProvider(typing.Protocol):
    """What the service needs of the entry."""

    def fleet_since(self, have_offset: int) -> pb.FleetReply:
        """Return the fleet state if it is later than ``have_offset``."""


class PeerService(rpc.PeerBase):
    """Answers a peer that is cut off from the platform."""

    def __init__(self, *, entry: FleetProvider) -> None:
        self._entry = entry

    async def Fleet(self, stream: grpclib.server.Stream) -> None:
        """Give the fleet state to a peer that has an earlier one."""
        message = await stream.recv_message()
        if message is None:
            return
        reply = self._entry.fleet_since(message.have_offset)
        await stream.send_message(reply)
