"""An agent's outgoing leg: frames wait here while a send is under way."""

import asyncio

from aspenfold._internal.kernel import frames

MAX_ITEMS_PER_FRAME = 512
"""Items that may travel in one frame."""


class FrameQueue:
    """Frames for one reader; items that wait together travel together.

    A frame is sent at once when the reader is idle.  While a send is
    under way new items gather, so a busy leg costs one message for many
    tokens and an idle one adds no delay.
    """

    def __init__(self) -> None:
        self._frames: list[frames.Frame] = []
        self._closed = False
        self._changed = asyncio.Event()

    def put(self, frame: frames.Frame) -> None:
        """Queue a frame."""
        self._frames.append(frame)
        self._changed.set()

    def close(self) -> None:
        """Nothing follows what is queued."""
        self._closed = True
        self._changed.set()

    async def take(self) -> list[frames.Frame]:
        """Return what is queued, merged; empty at the end."""
        while not self._frames and not self._closed:
            self._changed.clear()
            await self._changed.wait()
        taken, self._frames = self._frames, []
        return merge(taken)


def merge(queued: list[frames.Frame]) -> list[frames.Frame]:
    """Join items that follow each other into one frame."""
    merged: list[frames.Frame] = []
    for frame in queued:
        joined = _join(merged[-1], frame) if merged else None
        if joined is None:
            merged.append(frame)
        else:
            merged[-1] = joined
    return merged


def _join(one: frames.Frame, two: frames.Frame) -> frames.Frame | None:
    before, after = one.body, two.body
    if not isinstance(before, frames.Items):
        return None
    if not isinstance(after, frames.Items):
        return None
    if before.first + len(before.items) != after.first:
        return None
    if len(before.items) + len(after.items) > MAX_ITEMS_PER_FRAME:
        return None
    body = frames.Items(first=before.first, items=before.items + after.items)
    return frames.Frame(attempt_id=two.attempt_id, load=two.load, body=body)
