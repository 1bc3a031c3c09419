"""The platform's append-only log service.

``POST /streams/NAME`` appends a record and returns its offset;
``GET /streams/NAME?from=N&wait_ms=W`` reads.  Offsets start at 1.
"""

import collections
import threading
import time
import typing

from aspenfold_standins import server

PAGE = 500
MAX_WAIT = 10.0


class Stream:
    """One stream and its oldest kept offset."""

    def __init__(self) -> None:
        self.first = 1
        self.records: list[typing.Any] = []

    @property
    def next(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.records)

    def trim(self, keep: int) -> None:
        """Keep only the newest ``keep`` records."""
        excess = max(0, len(self.records) - keep)
        self.first += excess
        del self.records[:excess]


class LogService:
    """Streams, long polls, and faults.

    Faults: ``down`` (every request fails), ``delay_ms``,
    ``lose_answers`` (so many next appends take effect but their
    answers are lost), ``keep`` (records kept on each stream).
    """

    def __init__(self) -> None:
        self._streams: dict[str, Stream] = collections.defaultdict(Stream)
        self._changed = threading.Condition()
        self._faults = server.Faults()
        self.appends = 0

    def application(self) -> server.Application:
        """Return the HTTP routes."""
        app = server.Application()
        app.route('POST', 'streams', self._append)
        app.route('GET', 'streams', self._read)
        app.route('POST', 'faults', self._set_faults)
        app.route('GET', 'record', self._record)
        return app

    def _set_faults(
        self, path: typing.Any, query: typing.Any, body: dict[str, int]
    ) -> typing.Any:
        with self._changed:
            self._faults.serve(path, query, body)
            keep = self._faults.get('keep')
            if keep:
                for stream in self._streams.values():
                    stream.trim(keep)
            self._changed.notify_all()
        return {}

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        return {
            'appends': self.appends,
            'streams': {k: v.records for k, v in self._streams.items()},
        }

    def _check_faults(self) -> None:
        delay = self._faults.get('delay_ms')
        if delay:
            time.sleep(delay / 1000)
        if self._faults.get('down'):
            raise server.HttpError(503, 'the log service is down')

    def _append(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        self._check_faults()
        with self._changed:
            stream = self._streams[path[0]]
            offset = stream.next
            stream.records.append(body)
            self.appends += 1
            if self._faults.get('keep'):
                stream.trim(self._faults.get('keep'))
            self._changed.notify_all()
            if self._faults.take('lose_answers'):
                raise server.HttpError(504, 'the answer is lost')
        return {'offset': offset}

    def _read(
        self, path: tuple[str, ...], query: dict[str, str], body: typing.Any
    ) -> typing.Any:
        self._check_faults()
        start = int(query.get('from', 1))
        wait = min(MAX_WAIT, int(query.get('wait_ms', 0)) / 1000)
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._streams[path[0]].next > start
                    or self._faults.get('down')
                ),
                timeout=wait,
            )
            if self._faults.get('down'):
                raise server.HttpError(503, 'the log service is down')
            stream = self._streams[path[0]]
            begin = max(start, stream.first)
            rows = stream.records[begin - stream.first :][:PAGE]
            return {
                'first': stream.first,
                'next': stream.next,
                'records': [
                    {'offset': begin + i, 'body': row}
                    for i, row in enumerate(rows)
                ],
            }
