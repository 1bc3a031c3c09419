"""HTTP client of the platform's store."""

import asyncio
import collections
import datetime
import urllib.parse

from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold._internal.network import http1_client
from aspenfold.platform import store_pages

CONNECT_TIMEOUT_S = 0.4

CALL_TIMEOUT_S = 0.7
"""Longer than a slow store takes to respond: some 60 times its usual 4 ms."""

MAX_IDLE_CONNECTIONS = 2
"""Connections kept open for later calls, one for each feed."""


class StoreClient:
    """Calls the store; see :class:`ports.Store`."""

    def __init__(self, *, address: settings.TcpAddress) -> None:
        self._address = address
        self._idle: collections.deque[http1_client.Connection] = (
            collections.deque()
        )
        self._busy: set[http1_client.Connection] = set()

    async def newest(self, topic: str) -> ports.Page:
        """Return the newest record of each key, from all pages.

        Raises ports.StoreUnavailable.
        """
        records: list[ports.Record] = []
        ends = []
        after = ''
        while True:
            query = {'topic': topic, 'part': '0'}
            if after:
                query['after'] = after
            body = await self._get('/api/log-newest', query, 0.0)
            page = store_pages.decode_message(store_pages.NewestPage, body)
            records += page.records()
            ends.append(page.end)
            if not page.truncated or not page.items:
                # Keys of the first page may have changed since.
                return ports.Page(records=tuple(records), end=ends[0])
            after = page.items[-1].key

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> ports.Page:
        """Return records from ``offset``; wait up to ``wait`` for one.

        Raises ports.HistoryTrimmed or ports.StoreUnavailable.
        """
        wait_s = wait.total_seconds()
        query = {'topic': topic, 'part': '0', 'from': str(offset)}
        if wait_s:
            query['wait_ms'] = str(int(wait_s * 1000))
        body = await self._get('/api/log-read', query, wait_s)
        return store_pages.decode_page(body, offset)

    async def append(
        self, topic: str, key: str, value: bytes, expected_offset: int
    ) -> int:
        """Append a record at ``expected_offset`` and return that offset.

        Raises ports.AppendConflict or ports.StoreUnavailable.
        """
        return await self._append(topic, key, value, expected_offset)

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record at the end of the topic; return its offset.

        Raises ports.StoreUnavailable.
        """
        return await self._append(topic, key, value, None)

    async def _append(
        self,
        topic: str,
        key: str,
        value: bytes,
        expected_offset: int | None,
    ) -> int:
        query = {'topic': topic, 'part': '0'}
        if expected_offset is not None:
            query['expected_offset'] = str(expected_offset)
        target = f'/api/log-append?{urllib.parse.urlencode(query)}'
        content = bytes([len(key)]) + key.encode() + value
        body = store_pages.RECORD_LENGTH.pack(len(content)) + content
        status, response = await self._call(b'POST', target, body, 0.0)
        if status == 200:
            appended = store_pages.decode_message(
                store_pages.Appended, response
            )
            return appended.offset
        if status == 412:
            conflict = store_pages.decode_message(
                store_pages.Conflict, response
            )
            raise ports.AppendConflict(end=conflict.end)
        raise ports.StoreUnavailable(f'the append returned status {status}')

    def reset_connections(self) -> None:
        """Close all connections; calls in progress fail at once."""
        for connection in [*self._idle, *self._busy]:
            connection.close()
        self._idle.clear()

    async def _get(
        self, path: str, query: dict[str, str], wait_s: float
    ) -> bytes:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        status, body = await self._call(b'GET', target, b'', wait_s)
        if status == 200:
            return body
        if status == 410:
            trimmed = store_pages.decode_message(store_pages.Trimmed, body)
            raise ports.HistoryTrimmed(first=trimmed.first)
        raise ports.StoreUnavailable(f'{path} returned status {status}')

    async def _call(
        self, method: bytes, target: str, body: bytes, wait_s: float
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                return await self._exchange(method, target, body)
        except TimeoutError:
            raise ports.StoreUnavailable('no response in time') from None
        except (
            http1_client.ConnectionLost,
            http1_client.NotConnected,
        ) as exc:
            raise ports.StoreUnavailable(str(exc)) from exc

    async def _exchange(
        self, method: bytes, target: str, body: bytes
    ) -> tuple[int, bytes]:
        connection = await self._open_connection()
        self._busy.add(connection)
        headers = [
            (b'host', str(self._address).encode()),
            (b'content-length', str(len(body)).encode()),
        ]
        try:
            response = await connection.request(
                method, target.encode(), headers, body
            )
        finally:
            self._busy.discard(connection)
        if connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    async def _open_connection(self) -> http1_client.Connection:
        while self._idle:
            connection = self._idle.popleft()
            if connection.reusable:
                return connection
            connection.close()
        return await http1_client.connect(
            self._address.host, self._address.port, CONNECT_TIMEOUT_S
        )
