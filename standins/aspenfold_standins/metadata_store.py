"""A stand-in of the platform's metadata store: logs with keyed records.

Tests can make it fail, lose responses, compact its history and serve
stale reads.
"""

import asyncio
import base64
import dataclasses
import enum
import json
import struct
import urllib.parse

from aspenfold_standins import http11


class StoreFault(enum.Enum):
    """How the store treats its callers' requests."""

    NONE = 'none'
    UNAVAILABLE = 'busy'
    RATE_LIMITED = 'many'
    RESET = 'reset'
    NO_RESPONSE = 'silent'
    RESPONSE_LOST = 'answer-lost'
    STALE_READS = 'stale'


@dataclasses.dataclass
class _Record:
    offset: int
    key: str
    value: bytes | None


class MetadataStore:
    """Serves the platform's ``log-newest``, ``log-read``, ``log-append``."""

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.request_count = 0
        self._topics: dict[str, list[_Record]] = {}
        self._end_offsets: dict[str, int] = {}
        self._stale_topics: dict[str, tuple[list[_Record], int]] = {}
        self._changed = asyncio.Condition()
        self._server = http11.Server(self._handle)

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        await self._server.stop()

    @property
    def port(self) -> int:
        """The TCP port of the store."""
        return self._server.port

    async def put(self, topic: str, key: str, value: object) -> int:
        """Append a record with a JSON value and return its offset."""
        return await self._append_record(
            topic, key, json.dumps(value).encode()
        )

    async def put_bytes(self, topic: str, key: str, value: bytes) -> int:
        """Append a record with any value and return its offset."""
        return await self._append_record(topic, key, value)

    async def remove(self, topic: str, key: str) -> None:
        """Append a record without a value, which deletes the key."""
        await self._append_record(topic, key, None)

    def compact(self, topic: str) -> None:
        """Keep only the newest record of each key."""
        newest = {r.key: r for r in self._topics.get(topic, [])}
        kept = [r for r in newest.values() if r.value is not None]
        self._topics[topic] = sorted(kept, key=lambda r: r.offset)

    def lose_key(self, topic: str, key: str) -> None:
        """Drop all records of a key without appending a deletion."""
        records = self._topics.get(topic, [])
        self._topics[topic] = [r for r in records if r.key != key]

    def start_stale_reads(self) -> None:
        """Serve reads from a copy of the current state.

        This lasts until ``fault`` is set to another value.
        """
        self.fault = StoreFault.STALE_READS
        self._stale_topics = {
            topic: (list(records), self._end_offsets[topic])
            for topic, records in self._topics.items()
        }

    async def _append_record(
        self, topic: str, key: str, value: bytes | None
    ) -> int:
        offset = self._end_offsets.get(topic, 0)
        records = self._topics.setdefault(topic, [])
        records.append(_Record(offset, key, value))
        self._end_offsets[topic] = offset + 1
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def _handle(self, exchange: http11.Exchange) -> None:
        self.request_count += 1
        match self.fault:
            case StoreFault.UNAVAILABLE:
                await exchange.respond(503)
            case StoreFault.RATE_LIMITED:
                await exchange.respond(429)
            case StoreFault.RESET:
                exchange.reset()
            case StoreFault.NO_RESPONSE:
                await asyncio.Event().wait()
            case _:
                await self._route(exchange)

    async def _route(self, exchange: http11.Exchange) -> None:
        path, _, text = exchange.request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        topic = query['topic']
        match path:
            case '/api/log-newest':
                await self._newest(exchange, topic)
            case '/api/log-read':
                await self._read(exchange, topic, query)
            case '/api/log-append':
                await self._append(exchange, topic, query)
            case _:
                await exchange.respond(404)

    def _read_state(self, topic: str) -> tuple[list[_Record], int]:
        if self.fault is StoreFault.STALE_READS:
            return self._stale_topics.get(topic, ([], 0))
        return self._topics.get(topic, []), self._end_offsets.get(topic, 0)

    async def _newest(self, exchange: http11.Exchange, topic: str) -> None:
        records, end = self._read_state(topic)
        newest = {r.key: r for r in records}
        items = [
            {
                'key': r.key,
                'value': base64.b64encode(r.value).decode(),
                'offset': r.offset,
            }
            for r in newest.values()
            if r.value is not None
        ]
        body = {'items': items, 'truncated': False, 'end': end}
        await exchange.respond(200, {}, json.dumps(body).encode())

    async def _read(
        self, exchange: http11.Exchange, topic: str, query: dict[str, str]
    ) -> None:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._read_state(topic)[1] > start
                )
        except TimeoutError:
            pass
        records, end = self._read_state(topic)
        matching = [r for r in records if r.offset >= start]
        if len(matching) != max(0, end - start):
            first = min((r.offset for r in records), default=end)
            body = json.dumps({'first': first}).encode()
            await exchange.respond(410, {}, body)
            return
        body = struct.pack('>QQ', end, 0)
        for record in matching:
            key = record.key.encode()
            content = bytes([len(key)]) + key + (record.value or b'')
            body += struct.pack('>I', len(content)) + content
        await exchange.respond(200, {}, body)

    async def _append(
        self, exchange: http11.Exchange, topic: str, query: dict[str, str]
    ) -> None:
        end = self._end_offsets.get(topic, 0)
        expected = query.get('expected_offset')
        if expected is not None and int(expected) != end:
            body = json.dumps({'end': end}).encode()
            await exchange.respond(412, {}, body)
            return
        content = exchange.request.body[4:]
        length = content[0]
        key = content[1 : 1 + length].decode()
        offset = await self._append_record(
            topic, key, content[1 + length :] or None
        )
        if self.fault is StoreFault.RESPONSE_LOST:
            exchange.reset()
            return
        body = json.dumps({'offset': offset, 'end': offset + 1}).encode()
        await exchange.respond(200, {}, body)
