"""Notices peers that leave while nothing is read from them.

An event loop learns of a peer's end by reading.  While reading pauses the
system still knows of it, and is asked from time to time.
"""

import asyncio
from collections import abc
import datetime
import select
import typing

POLL_INTERVAL = datetime.timedelta(milliseconds=100)
"""Short against the half second in which work for a caller that has left
should end."""


class HasDescriptor(typing.Protocol):
    """A socket."""

    def fileno(self) -> int:
        """Return the socket's descriptor."""


class HangupWatch:
    """Polls sockets for the end of their peers, while there are any."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._callbacks: dict[int, abc.Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(
        self, sock: HasDescriptor, on_hangup: abc.Callable[[], None]
    ) -> None:
        """Watch a socket; remove it before it is closed."""
        self._callbacks[sock.fileno()] = on_hangup
        self._poll.register(sock.fileno(), select.POLLRDHUP)
        if self._timer is None:
            self._start_timer()

    def remove(self, sock: HasDescriptor) -> None:
        """Stop watching a socket; others have no effect."""
        if self._callbacks.pop(sock.fileno(), None) is not None:
            self._poll.unregister(sock.fileno())

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            POLL_INTERVAL.total_seconds(), self._check
        )

    def _check(self) -> None:
        self._timer = None
        for descriptor, _ in self._poll.poll(0):
            self._callbacks[descriptor]()
        if self._callbacks:
            self._start_timer()
