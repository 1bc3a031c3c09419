"""A stand-in of the platform's store: a log with keyed topics.

It can be down in the ways in which the real one is, lose answers, drop
its history and give old readings.
"""

import asyncio
import base64
import dataclasses
import enum
import json
import struct
import urllib.parse

from aspenfold_standins import http11


class Trouble(enum.Enum):
    """How the store misbehaves towards its callers."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    ANSWER_LOST = 'answer-lost'
    STALE = 'stale'


@dataclasses.dataclass
class _Record:
    offset: int
    key: str
    value: bytes | None


class MetadataStore:
    """Serves ``log-newest``, ``log-read`` and ``log-append``."""

    def __init__(self) -> None:
        self.trouble = Trouble.NONE
        self.calls = 0
        self._topics: dict[str, list[_Record]] = {}
        self._ends: dict[str, int] = {}
        self._stale: dict[str, tuple[list[_Record], int]] = {}
        self._changed = asyncio.Condition()
        self._server = http11.Server(self._handle)

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop."""
        await self._server.stop()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.port

    # -- what tests do ---------------------------------------------------

    async def put(self, topic: str, key: str, value: object) -> int:
        """Write a record as the platform would."""
        return await self._add(topic, key, json.dumps(value).encode())

    async def remove(self, topic: str, key: str) -> None:
        """Remove a key."""
        await self._add(topic, key, None)

    def drop_history(self, topic: str) -> None:
        """Keep only the newest record of each key."""
        newest = {r.key: r for r in self._topics.get(topic, [])}
        kept = [r for r in newest.values() if r.value is not None]
        self._topics[topic] = sorted(kept, key=lambda r: r.offset)

    def lapse(self, topic: str, key: str) -> None:
        """Lose a key without a record, as in an outage."""
        records = self._topics.get(topic, [])
        self._topics[topic] = [r for r in records if r.key != key]

    def begin_stale(self) -> None:
        """Answer from the state of now until the trouble ends."""
        self.trouble = Trouble.STALE
        self._stale = {
            topic: (list(records), self._ends[topic])
            for topic, records in self._topics.items()
        }

    async def _add(self, topic: str, key: str, value: bytes | None) -> int:
        offset = self._ends.get(topic, 0)
        records = self._topics.setdefault(topic, [])
        records.append(_Record(offset, key, value))
        self._ends[topic] = offset + 1
        async with self._changed:
            self._changed.notify_all()
        return offset

    # -- calls -----------------------------------------------------------

    async def _handle(self, exchange: http11.Exchange) -> None:
        self.calls += 1
        match self.trouble:
            case Trouble.BUSY:
                await exchange.answer(503)
            case Trouble.MANY:
                await exchange.answer(429)
            case Trouble.RESET:
                exchange.reset()
            case Trouble.SILENT:
                await asyncio.Event().wait()
            case _:
                await self._serve(exchange)

    async def _serve(self, exchange: http11.Exchange) -> None:
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
                await exchange.answer(404)

    def _state(self, topic: str) -> tuple[list[_Record], int]:
        if self.trouble is Trouble.STALE:
            return self._stale.get(topic, ([], 0))
        return self._topics.get(topic, []), self._ends.get(topic, 0)

    async def _newest(self, exchange: http11.Exchange, topic: str) -> None:
        records, end = self._state(topic)
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
        await exchange.answer(200, {}, json.dumps(body).encode())

    async def _read(
        self, exchange: http11.Exchange, topic: str, query: dict[str, str]
    ) -> None:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._state(topic)[1] > start
                )
        except TimeoutError:
            pass
        records, end = self._state(topic)
        found = [r for r in records if r.offset >= start]
        if len(found) != max(0, end - start):
            first = min((r.offset for r in records), default=end)
            body = json.dumps({'first': first}).encode()
            await exchange.answer(410, {}, body)
            return
        body = struct.pack('>QQ', end, 0)
        for record in found:
            key = record.key.encode()
            content = bytes([len(key)]) + key + (record.value or b'')
            body += struct.pack('>I', len(content)) + content
        await exchange.answer(200, {}, body)

    async def _append(
        self, exchange: http11.Exchange, topic: str, query: dict[str, str]
    ) -> None:
        end = self._ends.get(topic, 0)
        expected = query.get('expected_offset')
        if expected is not None and int(expected) != end:
            body = json.dumps({'end': end}).encode()
            await exchange.answer(412, {}, body)
            return
        content = exchange.request.body[4:]
        length = content[0]
        key = content[1 : 1 + length].decode()
        offset = await self._add(topic, key, content[1 + length :] or None)
        if self.trouble is Trouble.ANSWER_LOST:
            exchange.reset()
            return
        body = json.dumps({'offset': offset, 'end': offset + 1}).encode()
        await exchange.answer(200, {}, body)
