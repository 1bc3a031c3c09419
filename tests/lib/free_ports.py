"""Ports that are free, for programs whose settings must name them."""

import contextlib
import random
import socket

BELOW_EPHEMERAL = range(10_000, 32_000)
"""Ports that the kernel gives to nobody by itself."""


def distinct(host: str, count: int) -> list[int]:
    """Return ports of ``host`` that are free now, each another one.

    They are held until all are known: a port that is given back at once
    may be given out again.
    """
    with contextlib.ExitStack() as held:
        sockets = [
            held.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return [int(found.getsockname()[1]) for found in sockets]


def pair(hosts: list[str]) -> int:
    """Return a port that is free on all ``hosts``, and the next one too."""
    while True:
        first = random.SystemRandom().choice(BELOW_EPHEMERAL)
        with contextlib.ExitStack() as held:
            try:
                for host in hosts:
                    for port in (first, first + 1):
                        found = socket.create_server((host, port))
                        held.enter_context(found)
            except OSError:
                # Taken on one of them: draw again.
                continue
            return first
