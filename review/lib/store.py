"""A stand-in of the platform's store: topics with keyed records."""

import asyncio
import base64
import dataclasses
import json
import struct
import urllib.parse

from lib import http11

PAGE_HEADER = struct.Struct('>QQ')
RECORD_LENGTH = struct.Struct('>I')


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a topic; without a value its key is removed."""

    offset: int
    key: str
    value: bytes


class Store:
    """Serves ``log-newest``, ``log-read`` and ``log-append``.

    Nothing expires.  A call waits ``delay_s`` for its answer.
    """

    def __init__(self, *, host: str, delay_s: float = 0.004) -> None:
        self.server = http11.Server(host=host, handler=self._handle)
        self._delay_s = delay_s
        self._topics: dict[str, list[Record]] = {}
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: object) -> None:
        """Append a record with a value in JSON."""
        await self._append(topic, key, json.dumps(value).encode())

    async def remove(self, topic: str, key: str) -> None:
        """Remove a key."""
        await self._append(topic, key, b'')

    async def _append(self, topic: str, key: str, value: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        offset = len(records)
        records.append(Record(offset, key, value))
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def _handle(
        self, request: http11.Request, writer: asyncio.StreamWriter
    ) -> None:
        path, _, text = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        await asyncio.sleep(self._delay_s)
        if path == '/api/log-newest':
            answer = self._newest(query)
        elif path == '/api/log-read':
            answer = await self._read(query)
        elif path == '/api/log-append':
            answer = await self._append_call(query, request.body)
        else:
            answer = http11.response(404)
        writer.write(answer)
        await writer.drain()

    def _newest(self, query: dict[str, str]) -> bytes:
        records = self._topics.get(query['topic'], [])
        newest = {record.key: record for record in records}
        items = [
            {
                'key': record.key,
                'value': base64.b64encode(record.value).decode(),
                'offset': record.offset,
            }
            for record in newest.values()
            if record.value
        ]
        body = {'items': items, 'truncated': False, 'end': len(records)}
        return http11.response(200, {}, json.dumps(body).encode())

    async def _read(self, query: dict[str, str]) -> bytes:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        topic = query['topic']
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: len(self._topics.get(topic, [])) > start
                )
        except TimeoutError:
            pass
        records = self._topics.get(topic, [])
        parts = [PAGE_HEADER.pack(len(records), 0)]
        for record in records[start:]:
            content = bytes([len(record.key)]) + record.key.encode()
            content += record.value
            parts += [RECORD_LENGTH.pack(len(content)), content]
        return http11.response(200, {}, b''.join(parts))

    async def _append_call(self, query: dict[str, str], body: bytes) -> bytes:
        topic = query['topic']
        if topic in ('keyed.op', 'keyed.servers'):
            return http11.response(403)
        end = len(self._topics.get(topic, []))
        if int(query.get('expected_offset', end)) != end:
            conflict = json.dumps({'end': end}).encode()
            return http11.response(412, {}, conflict)
        content = body[RECORD_LENGTH.size :]
        length = content[0]
        offset = await self._append(
            topic, content[1 : 1 + length].decode(), content[1 + length :]
        )
        appended = json.dumps({'offset': offset, 'end': offset + 1}).encode()
        return http11.response(200, {}, appended)
