"""Finds free ports, for programs whose settings must name a port."""

import contextlib
import random
import socket

NON_EPHEMERAL_PORTS = range(10_000, 32_000)
"""Ports below the range from which Linux assigns ports."""


def find_ports(host: str, count: int) -> list[int]:
    """Return ``count`` distinct ports that are free on ``host`` now.

    All sockets stay open until the end, so that the kernel assigns no
    port twice.
    """
    with contextlib.ExitStack() as open_sockets:
        sockets = [
            open_sockets.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return [int(listener.getsockname()[1]) for listener in sockets]


def find_port_pair(hosts: list[str]) -> int:
    """Return a port that, like its successor, is free on all ``hosts``."""
    while True:
        first = random.SystemRandom().choice(NON_EPHEMERAL_PORTS)
        with contextlib.ExitStack() as open_sockets:
            try:
                for host in hosts:
                    for port in (first, first + 1):
                        listener = socket.create_server((host, port))
                        open_sockets.enter_context(listener)
            except OSError:
                continue
            return first
