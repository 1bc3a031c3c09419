"""Listening sockets for our RPC servers."""

import socket

import grpclib.server

from aspenfold._internal import exceptions
from aspenfold._internal.models import settings


async def start(
    server: grpclib.server.Server, address: settings.Address, field: str
) -> int:
    """Start ``server`` on ``address`` and return the port.

    ``field`` names the setting in the error if that cannot be done.
    """
    try:
        sock = socket.create_server((str(address.address), address.port))
    except OSError as exc:
        raise exceptions.SettingsError(
            exceptions.Failure(
                code=exceptions.Code.PORT_UNAVAILABLE,
                detail=f'cannot listen on {address.url}: {exc.strerror}',
                field=f'{field}.port',
                remedy='choose a free port, or 0 for any',
            )
        ) from exc
    port = int(sock.getsockname()[1])
    await server.start(sock=sock)
    return port
