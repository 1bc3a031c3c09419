"""A stand-in of the platform's store: logs with keyed records."""

import asyncio
import base64
import json
import struct
import urllib.parse

from standins_2 import http

SERVERS = 'keyed.servers'
OPERATIONS = 'keyed.op'
CONFIG_KEY = 'config'

ANSWER_DELAY_S = 0.004
"""What a call takes, as on the sheet of the deployment."""


class Store:
    """Serves log-append, log-read and log-newest; it never fails.

    Several servers can give access to the same records.
    """

    def __init__(self) -> None:
        self._logs: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Condition()

    def server(self) -> http.Server:
        """Return a server that gives access to the records."""
        return http.Server(self._handle)

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record as the operator or an endpoint does."""
        async with self._changed:
            log = self._logs.setdefault(topic, [])
            log.append((key, value))
            self._changed.notify_all()
            return len(log) - 1

    async def put_json(self, topic: str, key: str, value: object) -> int:
        """Append a record whose value is JSON."""
        return await self.put(topic, key, json.dumps(value).encode())

    async def _handle(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(ANSWER_DELAY_S)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/api/log-append':
            status, body = await self._append(query, request.body)
        elif url.path == '/api/log-read':
            status, body = await self._read(query)
        elif url.path == '/api/log-newest':
            status, body = self._newest(query)
        else:
            status, body = 404, b''
        writer.write(http.encode_response(status, [], body))

    async def _append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        log = self._logs.setdefault(query['topic'], [])
        expected = query.get('expected_offset')
        if expected is not None and int(expected) != len(log):
            return 412, json.dumps({'end': len(log)}).encode()
        offset = len(log)
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from('>I', body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            size = content[0]
            key = content[1 : 1 + size].decode()
            await self.put(query['topic'], key, content[1 + size :])
        end = {'offset': offset, 'end': len(log)}
        return 200, json.dumps(end).encode()

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        log = self._logs.setdefault(query['topic'], [])
        begin = int(query['from'])
        wait_s = int(query.get('wait_ms', 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(log) > begin)
        except TimeoutError:
            pass
        parts = [struct.pack('>QQ', len(log), 0)]
        for key, value in log[begin:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
        return 200, b''.join(parts)

    def _newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        log = self._logs.setdefault(query['topic'], [])
        newest = {}
        for offset, (key, value) in enumerate(log):
            newest[key] = (offset, value)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > query.get('after', '')
        ]
        page = {'items': items, 'truncated': False, 'end': len(log)}
        return 200, json.dumps(page).encode()
