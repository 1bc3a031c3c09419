"""Queues and merges an agent's outgoing frames."""

import asyncio

from aspenfold._internal.kernel import frames

MAX_ITEMS_PER_FRAME = 512
"""Largest number of items that are merged into one frame."""


class FrameQueue:
    """Frames that wait to be sent on one answer stream.

    A frame is available at once.  Items that are queued during a send
    are merged, so that a busy stream needs fewer messages.
    """

    def __init__(self) -> None:
        self._frames: list[frames.Frame] = []
        self._closed = False
        self._wakeup = asyncio.Event()

    def put(self, frame: frames.Frame) -> None:
        """Queue a frame."""
        self._frames.append(frame)
        self._wakeup.set()

    def close(self) -> None:
        """Mark the end; no more frames may be queued."""
        self._closed = True
        self._wakeup.set()

    async def take(self) -> list[frames.Frame]:
        """Wait for frames and return them merged; empty after the last."""
        while not self._frames and not self._closed:
            self._wakeup.clear()
            await self._wakeup.wait()
        queued, self._frames = self._frames, []
        return merge(queued)


def merge(queued: list[frames.Frame]) -> list[frames.Frame]:
    """Merge frames of consecutive items."""
    merged: list[frames.Frame] = []
    for frame in queued:
        pair = _merge_pair(merged[-1], frame) if merged else None
        if pair is None:
            merged.append(frame)
        else:
            merged[-1] = pair
    return merged


def _merge_pair(
    first: frames.Frame, second: frames.Frame
) -> frames.Frame | None:
    before, after = first.body, second.body
    if not isinstance(before, frames.Items):
        return None
    if not isinstance(after, frames.Items):
        return None
    if before.first + len(before.items) != after.first:
        return None
    if len(before.items) + len(after.items) > MAX_ITEMS_PER_FRAME:
        return None
    body = frames.Items(first=before.first, items=before.items + after.items)
    return frames.Frame(
        attempt_id=second.attempt_id, load=second.load, body=body
    )
