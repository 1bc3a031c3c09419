"""Ports that are free, for programs whose settings must name them."""

import contextlib
import socket


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
