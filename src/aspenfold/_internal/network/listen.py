"""Starts RPC servers on their configured address."""

import socket

import grpclib.server

from aspenfold._internal.models import settings
from aspenfold._internal.network import port_errors


async def start(
    server: grpclib.server.Server, address: settings.Address, field: str
) -> int:
    """Start ``server`` on ``address`` and return the port.

    Raises SettingsError, naming the setting ``field``, if it cannot listen.
    """
    try:
        sock = socket.create_server((str(address.address), address.port))
    except OSError as exc:
        raise port_errors.port_unavailable(
            where=address.url, field=f'{field}.port', exc=exc
        ) from exc
    port = int(sock.getsockname()[1])
    await server.start(sock=sock)
    return port
