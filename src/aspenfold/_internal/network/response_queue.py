"""Passes a response from the event loop to the thread that sends it."""

import asyncio
import collections
import dataclasses
import threading

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames

MAX_QUEUED_PARTS = 64
"""Reading from the agent pauses once this many parts wait to be sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """Consecutive items of a response, numbered from ``first``."""

    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Complete:
    """The end of a complete response of ``total`` items."""

    total: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The end of a response that failed."""

    failure: exceptions.Failure


Part = frames.Head | Chunk | Complete | Failed


class ResponseQueue:
    """Queue of response parts from the event loop to one thread.

    :meth:`put` never blocks; producers wait in :meth:`drain`.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._parts: collections.deque[Part] = collections.deque()
        self._ready = threading.Semaphore(0)
        self._has_space = asyncio.Event()
        self._has_space.set()

    def put(self, part: Part) -> None:
        """Add a part.  Call it on the event loop's thread."""
        self._parts.append(part)
        self._ready.release()
        if len(self._parts) >= MAX_QUEUED_PARTS:
            self._has_space.clear()

    async def drain(self) -> None:
        """Wait while the queue is full, until it has emptied to half."""
        await self._has_space.wait()

    def take(self, timeout: float) -> Part | None:
        """Return the next part, or None after ``timeout`` seconds."""
        if not self._ready.acquire(timeout=timeout):
            return None
        part = self._parts.popleft()
        if len(self._parts) == MAX_QUEUED_PARTS // 2:
            self._loop.call_soon_threadsafe(self._has_space.set)
        return part
