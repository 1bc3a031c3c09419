"""HTTP client of the platform's append-only log."""

import typing

from aspenfold._internal.configuration import reader
from aspenfold._internal import exceptions
from aspenfold._internal.models import records
from aspenfold._internal.network import http

LONG_POLL_WAIT_MS = 2000
MAX_IDLE_CONNECTIONS = 8
READ_TIMEOUT_MARGIN_S = 3.0
"""Seconds that a response may take beyond the wait of a long poll."""


class LogClient:
    """Appends to and reads streams; its methods block."""

    def __init__(self, *, base_url: str) -> None:
        self._pool = http.connection_pool(base_url, size=MAX_IDLE_CONNECTIONS)

    def append(self, stream: str, record: records.Record) -> int:
        """Append a record and return its offset.

        Raises LogUnavailable; the record may still have been appended.
        """
        body = record.model_dump(mode='json')
        return int(self._call('POST', stream, '', body)['offset'])

    def read(
        self, stream: str, start: int, *, wait_ms: int = 0
    ) -> reader.Page:
        """Return the records from offset ``start``, up to a page.

        Wait up to ``wait_ms`` for a first record.  Raises LogUnavailable.
        """
        query = f'?from={start}&wait_ms={wait_ms}'
        data = self._call('GET', stream, query, None, wait_ms / 1000)
        return reader.Page(
            records=[
                reader.LogRecord(offset=row['offset'], body=row['body'])
                for row in data['records']
            ],
            first_offset=data['first'],
            next_offset=data['next'],
        )

    def read_all(self, stream: str, start: int = 1) -> list[reader.Page]:
        """Return all pages from offset ``start`` to the end.

        Raises LogUnavailable.
        """
        pages = []
        while True:
            page = self.read(stream, start)
            pages.append(page)
            if not page.records:
                return pages
            start = page.records[-1].offset + 1

    def _call(
        self,
        method: str,
        stream: str,
        query: str,
        body: object,
        wait_s: float = 0.0,
    ) -> typing.Any:
        try:
            return http.call_json(
                self._pool,
                method,
                f'/streams/{stream}{query}',
                body=body,
                read_timeout=wait_s + READ_TIMEOUT_MARGIN_S,
            )
        except http.ServiceError as exc:
            raise exceptions.LogUnavailable(
                f'the log service is unavailable: {exc}'
            ) from exc
