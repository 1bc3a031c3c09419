"""Bytes of a connection that have been received and not parsed yet."""

import collections


class InputBuffer:
    """Bytes in the order in which they came, taken in pieces."""

    def __init__(self) -> None:
        self._chunks: collections.deque[memoryview] = collections.deque()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def put(self, data: bytes) -> None:
        """Add ``data``, which must not change any more."""
        if data:
            self._chunks.append(memoryview(data))
            self._size += len(data)

    def take(self, limit: int) -> bytes:
        """Remove and return up to ``limit`` bytes, empty if there is none."""
        if not self._chunks:
            return b''
        first = self._chunks.popleft()
        piece = first[:limit]
        if len(piece) < len(first):
            self._chunks.appendleft(first[limit:])
        self._size -= len(piece)
        return bytes(piece)

    def clear(self) -> None:
        """Drop all bytes."""
        self._chunks.clear()
        self._size = 0
