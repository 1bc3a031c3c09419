"""Authenticates RPC between aspenfold processes by the system key."""

import hmac
import typing

import grpclib
import grpclib.events

SYSTEM_KEY_HEADER = 'aspenfold-system-key'


def metadata(system_key: str) -> dict[str, str]:
    """Return the RPC metadata that carries ``system_key``."""
    return {SYSTEM_KEY_HEADER: system_key}


def require_system_key(server: typing.Any, system_key: str) -> None:
    """Make ``server`` reject calls without ``system_key``."""

    async def check(event: grpclib.events.RecvRequest) -> None:
        received = str(event.metadata.get(SYSTEM_KEY_HEADER, ''))
        if not hmac.compare_digest(received.encode(), system_key.encode()):
            raise grpclib.GRPCError(
                grpclib.Status.UNAUTHENTICATED, 'wrong system key'
            )

    grpclib.events.listen(server, grpclib.events.RecvRequest, check)
