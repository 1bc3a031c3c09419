"""Watches whether callers take the responses that are written for them."""

import asyncio
import datetime

from aspenfold._internal.network import caller_memory
from aspenfold._internal.observability import events

CHECK_INTERVAL = datetime.timedelta(seconds=1)

STALL_TIMEOUT = datetime.timedelta(seconds=10)
"""A caller that takes nothing for longer counts as disconnected.

Longer than callers wait for a response.
"""


class ReaderWatch:
    """Resets one connection if its caller leaves its responses unread.

    While it watches, what is unsent counts against a budget, and the
    connection is reset at once if there is no room.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        budget: caller_memory.Budget,
        remote_ip: str,
    ) -> None:
        self._transport = transport
        self._memory = caller_memory.Reservation(budget=budget)
        self._remote_ip = remote_ip
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._unsent = 0
        self._progress_at = 0.0

    def start(self) -> None:
        """Watch until nothing is unsent."""
        if self._timer is not None:
            return
        self._unsent = self._transport.get_write_buffer_size()
        if self._unsent:
            self._progress_at = self._loop.time()
            self._hold()

    def stop(self) -> None:
        """Stop watching, as the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._memory.resize(0)

    def _hold(self) -> None:
        if not self._memory.resize(self._unsent):
            self._reset('no memory for what is unsent')
            return
        self._timer = self._loop.call_later(
            CHECK_INTERVAL.total_seconds(), self._check
        )

    def _check(self) -> None:
        self._timer = None
        unsent = self._transport.get_write_buffer_size()
        now = self._loop.time()
        if unsent < self._unsent:
            self._progress_at = now
        self._unsent = unsent
        if not unsent:
            self._memory.resize(0)
        elif now - self._progress_at > STALL_TIMEOUT.total_seconds():
            self._reset('nothing is read')
        else:
            self._hold()

    def _reset(self, reason: str) -> None:
        events.emit(
            events.Event.READER_CUT,
            remote=self._remote_ip,
            reason=reason,
            unsent_bytes=self._unsent,
        )
        self._transport.abort()
