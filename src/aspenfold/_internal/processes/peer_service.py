"""The RPC service through which entries share the fleet state."""

import typing

import grpclib.server

from aspenfold._internal.rpc import aspenfold_grpc as rpc
from aspenfold._internal.rpc import aspenfold_pb2 as pb


class FleetProvider(typing.Protocol):
    """The part of the entry process that the service uses."""

    def fleet_since(self, have_offset: int) -> pb.FleetReply:
        """Return the fleet state if it is later than ``have_offset``."""


class PeerService(rpc.PeerBase):
    """Sends the fleet state to peers that lack it or cannot read the log."""

    def __init__(self, *, entry: FleetProvider) -> None:
        self._entry = entry

    async def Fleet(self, stream: grpclib.server.Stream) -> None:
        """Send the fleet state if it is later than the peer's."""
        message = await stream.recv_message()
        if message is None:
            return
        reply = self._entry.fleet_since(message.have_offset)
        await stream.send_message(reply)
