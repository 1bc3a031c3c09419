"""Carries one answer from the loop to the thread that writes it out."""

import asyncio
import collections
import dataclasses
import threading

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames

MAX_QUEUED_PARTS = 64
"""Parts that may wait for a slow reader before its leg is paused."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """Items to write, the first one numbered ``first``."""

    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Complete:
    """The answer is whole and had ``total`` items."""

    total: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The answer ends in an error."""

    failure: exceptions.Failure


Part = frames.Head | Chunk | Complete | Failed


class ResponseQueue:
    """A bounded queue of parts: the loop puts, one thread takes."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._parts: collections.deque[Part] = collections.deque()
        self._ready = threading.Semaphore(0)
        self._has_space = asyncio.Event()
        self._has_space.set()

    def put(self, part: Part) -> None:
        """Add a part; called on the loop's thread, never blocks."""
        self._parts.append(part)
        self._ready.release()
        if len(self._parts) >= MAX_QUEUED_PARTS:
            self._has_space.clear()

    async def drain(self) -> None:
        """Wait until the reader has caught up."""
        await self._has_space.wait()

    def take(self, timeout: float) -> Part | None:
        """Return the next part, None if none came in ``timeout`` seconds."""
        if not self._ready.acquire(timeout=timeout):
            return None
        part = self._parts.popleft()
        if len(self._parts) == MAX_QUEUED_PARTS // 2:
            self._loop.call_soon_threadsafe(self._has_space.set)
        return part
