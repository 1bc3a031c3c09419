"""The event loop of the programs.

Its timers count the time in which the host is suspended, as all deadlines do:
what is overdue after that is due at once.
"""

import asyncio
from collections import abc
import time
import typing

from aspenfold._internal.kernel import clock

MAX_POLL_S = 0.25
"""How long the loop waits for I/O at most.  The system's own wait leaves out
the time in which the host is suspended."""

Result = typing.TypeVar('Result')


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on the clock that goes on while the host is suspended."""

    def __init__(self) -> None:
        super().__init__()
        self._poll()

    def time(self) -> float:
        """Return the time of the loop in seconds."""
        return time.clock_gettime(clock.BOOT_CLOCK)

    def _poll(self) -> None:
        """Look at the time again, before the next timer is due."""
        self.call_later(MAX_POLL_S, self._poll)


def run(main: abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a program, as asyncio.run does."""
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(main)
