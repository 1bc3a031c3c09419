"""The platform's append-only log service.

``POST /streams/NAME`` appends a record and returns its offset.
``GET /streams/NAME?from=N&wait_ms=W`` returns the records from offset N,
after waiting up to W milliseconds for one.  Offsets start at 1.
"""

import collections
import threading
import time
import typing

from aspenfold_standins import json_server

MAX_PAGE_RECORDS = 500
MAX_WAIT_S = 10.0


class Stream:
    """The records of a stream, from ``first_offset`` on."""

    def __init__(self) -> None:
        self.first_offset = 1
        self.records: list[typing.Any] = []

    @property
    def next_offset(self) -> int:
        """The offset of the next record to be appended."""
        return self.first_offset + len(self.records)

    def trim(self, keep: int) -> None:
        """Drop all but the newest ``keep`` records."""
        excess = max(0, len(self.records) - keep)
        self.first_offset += excess
        del self.records[:excess]


class LogService:
    """Serves the streams.

    Faults: ``down`` (every request fails), ``delay_ms`` (delay of every
    request), ``lose_answers`` (the number of next appends that take
    effect but get an error response), ``keep`` (records kept on each
    stream).
    """

    def __init__(self) -> None:
        self._streams: dict[str, Stream] = collections.defaultdict(Stream)
        self._changed = threading.Condition()
        self._faults = json_server.Faults()
        self.append_count = 0

    def application(self) -> json_server.Application:
        """Return the HTTP routes."""
        app = json_server.Application()
        app.route('POST', 'streams', self._append)
        app.route('GET', 'streams', self._read)
        app.route('POST', 'faults', self._set_faults)
        app.route('GET', 'record', self._record)
        return app

    def _set_faults(
        self, path: typing.Any, query: typing.Any, body: dict[str, int]
    ) -> typing.Any:
        with self._changed:
            self._faults.handle_post(path, query, body)
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
            'appends': self.append_count,
            'streams': {k: v.records for k, v in self._streams.items()},
        }

    def _apply_faults(self) -> None:
        delay = self._faults.get('delay_ms')
        if delay:
            time.sleep(delay / 1000)
        if self._faults.get('down'):
            raise json_server.HttpError(503, 'the log service is down')

    def _append(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        self._apply_faults()
        with self._changed:
            stream = self._streams[path[0]]
            offset = stream.next_offset
            stream.records.append(body)
            self.append_count += 1
            if self._faults.get('keep'):
                stream.trim(self._faults.get('keep'))
            self._changed.notify_all()
            if self._faults.consume('lose_answers'):
                raise json_server.HttpError(504, 'the response was lost')
        return {'offset': offset}

    def _read(
        self, path: tuple[str, ...], query: dict[str, str], body: typing.Any
    ) -> typing.Any:
        self._apply_faults()
        start = int(query.get('from', 1))
        wait_s = min(MAX_WAIT_S, int(query.get('wait_ms', 0)) / 1000)
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._streams[path[0]].next_offset > start
                    or self._faults.get('down')
                ),
                timeout=wait_s,
            )
            if self._faults.get('down'):
                raise json_server.HttpError(503, 'the log service is down')
            stream = self._streams[path[0]]
            page_start = max(start, stream.first_offset)
            records = stream.records[page_start - stream.first_offset :][
                :MAX_PAGE_RECORDS
            ]
            return {
                'first': stream.first_offset,
                'next': stream.next_offset,
                'records': [
                    {'offset': page_start + index, 'body': record}
                    for index, record in enumerate(records)
                ],
            }
