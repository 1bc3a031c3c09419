"""The system key on calls between aspenfold's own processes."""

import hmac
import typing

import grpclib
import grpclib.events

SYSTEM_KEY_HEADER = 'aspenfold-system-key'


def metadata(system_key: str) -> dict[str, str]:
    """Return the metadata that every call carries."""
    return {SYSTEM_KEY_HEADER: system_key}


def require_system_key(server: typing.Any, system_key: str) -> None:
    """Have ``server`` refuse calls without the system key."""

    async def check(event: grpclib.events.RecvRequest) -> None:
        given = str(event.metadata.get(SYSTEM_KEY_HEADER, ''))
        if not hmac.compare_digest(given.encode(), system_key.encode()):
            raise grpclib.GRPCError(
                grpclib.Status.UNAUTHENTICATED, 'wrong system key'
            )

    grpclib.events.listen(server, grpclib.events.RecvRequest, check)
