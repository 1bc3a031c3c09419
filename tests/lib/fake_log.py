"""An in-memory log service for tests."""

import collections
import typing

from aspenfold._internal.configuration import reader
from aspenfold._internal.models import records


class FakeLog:
    """Streams of records.

    Callers must check ``down``: the log itself serves them anyway.
    """

    def __init__(self) -> None:
        self.down = False
        self.appends = 0
        self._first: dict[str, int] = collections.defaultdict(lambda: 1)
        self._bodies: dict[str, list[dict[str, typing.Any]]] = (
            collections.defaultdict(list)
        )

    def append(self, stream: str, record: records.Record) -> int:
        """Append a record and return its offset."""
        self._bodies[stream].append(record.model_dump(mode='json'))
        self.appends += 1
        return self._first[stream] + len(self._bodies[stream]) - 1

    def read(self, stream: str, start: int, limit: int = 500) -> reader.Page:
        """Return a page from offset ``start`` on."""
        first_offset = self._first[stream]
        bodies = self._bodies[stream]
        begin_offset = max(start, first_offset)
        rows = bodies[begin_offset - first_offset :][:limit]
        return reader.Page(
            records=[
                reader.LogRecord(offset=begin_offset + i, body=body)
                for i, body in enumerate(rows)
            ],
            first_offset=first_offset,
            next_offset=first_offset + len(bodies),
        )

    def trim(self, stream: str, keep: int) -> None:
        """Delete all but the newest ``keep`` records of a stream."""
        bodies = self._bodies[stream]
        excess = max(0, len(bodies) - keep)
        self._first[stream] += excess
        del bodies[:excess]
