"""Relays records of the store from a reader to its followers.

A follower sends one request, and the response has no end: first a snapshot
of all records, then changes as the reader reads them, and an empty line as a
keepalive for each read without changes.  A line is a JSON array.
"""

import asyncio
from collections import abc
import dataclasses

import orjson

from aspenfold._internal.gateway import peers as peers_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import http1_client
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events

REQUEST_TARGET = b'/news'

CONNECT_TIMEOUT_S = 0.3

POLL_INTERVAL_S = 0.1
"""How often both sides check whether the relay should continue."""

MAX_LINE_BYTES = 8_388_608
"""Twice the maximum size of a plan, 4 MiB."""

MAX_QUEUED_LINES = 200
"""A follower with more lines queued is disconnected; it gets a snapshot when
it follows again."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedRecords:
    """Records of one topic that a reader read up to ``end``.

    ``records`` are the changed ones, or all of them if ``is_complete``.
    ``removed`` are removed keys, which have no record here.
    """

    topic: str
    end: int
    records: tuple[ports.Record, ...] = ()
    removed: tuple[str, ...] = ()
    is_complete: bool = False


def encode(relayed: RelayedRecords) -> bytes:
    """Return relayed records as one line of JSON.

    Values should be UTF-8.  Invalid bytes are replaced; followers reject
    such a record as its reader did.
    """
    records = [[r.offset, r.key, _text(r.value)] for r in relayed.records]
    line = [
        relayed.topic,
        relayed.end,
        records,
        relayed.removed,
        relayed.is_complete,
    ]
    return orjson.dumps(line) + b'\n'


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('utf-8', 'replace')


def decode(line: bytes) -> RelayedRecords:
    """Return the relayed records of a line.

    Raises ``ValueError`` if the line is malformed.
    """
    try:
        topic, end, records, removed, is_complete = orjson.loads(line)
        return RelayedRecords(
            topic=str(topic),
            end=int(end),
            records=tuple(
                ports.Record(
                    offset=int(offset),
                    key=str(key),
                    value=None if value is None else value.encode(),
                )
                for offset, key, value in records
            ),
            removed=tuple(str(key) for key in removed),
            is_complete=bool(is_complete),
        )
    except (TypeError, AttributeError) as exc:
        raise ValueError(f'malformed relayed records: {exc}') from exc


class Publisher:
    """Sends what a reader reads to its followers."""

    def __init__(
        self,
        *,
        snapshot: abc.Callable[[], list[RelayedRecords]],
        is_reader: abc.Callable[[], bool],
        is_peer_address: abc.Callable[[str], bool],
    ) -> None:
        """Relay while ``is_reader()`` holds.

        ``snapshot`` returns all current records; ``is_peer_address``
        returns whether an IP address belongs to a gateway.
        """
        self._snapshot = snapshot
        self._is_reader = is_reader
        self._is_peer_address = is_peer_address
        self._follower_queues: set[asyncio.Queue[bytes]] = set()

    @property
    def followers(self) -> int:
        """The number of gateways that follow this one."""
        return len(self._follower_queues)

    def publish(self, relayed: RelayedRecords | None) -> None:
        """Queue records for all followers; None queues a keepalive."""
        if not self._follower_queues:
            return
        line = b'\n' if relayed is None else encode(relayed)
        for queue in list(self._follower_queues):
            try:
                queue.put_nowait(line)
            except asyncio.QueueFull:
                # This makes handle() end its response.
                self._follower_queues.discard(queue)

    async def handle(
        self,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        """Serve a follower until it leaves or this gateway stops reading."""
        if request.target != REQUEST_TARGET or not self._is_peer_address(
            request.remote_ip
        ):
            self._send_error(response, 404)
            return
        if not self._is_reader():
            self._send_error(response, 503)
            return
        queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_LINES)
        self._follower_queues.add(queue)
        try:
            response.start(200, [])
            for relayed in self._snapshot():
                response.write(encode(relayed))
            while self._is_reader() and queue in self._follower_queues:
                await self._send_next(queue, response)
            response.end()
        finally:
            self._follower_queues.discard(queue)

    async def _send_next(
        self,
        queue: asyncio.Queue[bytes],
        response: http1_server.ResponseWriter,
    ) -> None:
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                line = await queue.get()
        except TimeoutError:
            return
        response.write(line)
        await response.drain()

    def _send_error(
        self, response: http1_server.ResponseWriter, status: int
    ) -> None:
        response.start(status, [(b'content-length', b'0')])
        response.end()


class Follower:
    """Receives relayed records from the reader that is to be followed."""

    def __init__(
        self,
        *,
        selection: selection_module.ReaderSelection,
        peers: peers_module.Peers,
        clock: clock_module.Clock,
        apply: abc.Callable[[RelayedRecords], None],
        local_host: str,
    ) -> None:
        """Connect from the IP address ``local_host``, which peers know.

        ``apply`` is called with all records received.
        """
        self._local_host = local_host
        self._selection = selection
        self._peers = peers
        self._clock = clock
        self._apply = apply

    async def run(self) -> None:
        """Follow the current reader, until cancelled."""
        while True:
            host = self._selection.reader_to_follow(self._clock.now())
            address = self._peers.address(host) if host else None
            if address is None:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            try:
                await self._connect_and_follow(host, address)
            except (
                http1_client.NotConnected,
                http1_client.ConnectionLost,
                TimeoutError,
                ValueError,
            ) as exc:
                self._log_end(host, str(exc) or 'nothing received in time')
                self._selection.on_relay_failed(host, self._clock.now())

    async def _connect_and_follow(
        self, host: str, address: settings.TcpAddress
    ) -> None:
        connection = await http1_client.connect(
            address.host,
            address.port,
            CONNECT_TIMEOUT_S,
            local_host=self._local_host,
        )
        try:
            await self._follow(host, connection)
        finally:
            connection.close()

    async def _follow(
        self, host: str, connection: http1_client.Connection
    ) -> None:
        """Apply relayed records while ``host`` is the reader to follow."""
        connection.send(
            b'GET', REQUEST_TARGET, [(b'host', host.encode())], b''
        )
        timeout_s = selection_module.RELAY_TIMEOUT.total_seconds()
        async with asyncio.timeout(timeout_s):
            head = await connection.read_head()
        if head.status_code != 200:
            self._log_end(host, f'answered with status {head.status_code}')
            self._selection.on_reader_stopped(host)
            return
        events.emit(events.Event.NEWS_FOLLOWED, peer=host)
        incomplete = b''
        while self._selection.reader_to_follow(self._clock.now()) == host:
            async with asyncio.timeout(timeout_s):
                data = await connection.read_data()
            if data is None:
                self._log_end(host, 'stopped reading the store')
                self._selection.on_reader_stopped(host)
                return
            incomplete = self._apply_lines(host, incomplete + data)
        self._log_end(host, 'another reader is preferred')
        self._selection.stop_following(host)

    def _log_end(self, host: str, reason: str) -> None:
        last = self._selection.relayed_at
        age = None if last is None else self._clock.now() - last
        events.emit(
            events.Event.NEWS_LOST,
            peer=host,
            reason=reason[:200],
            age_ms=age and age // clock_module.MILLISECOND,
        )

    def _apply_lines(self, host: str, data: bytes) -> bytes:
        *lines, incomplete = data.split(b'\n')
        if len(incomplete) > MAX_LINE_BYTES:
            raise ValueError('a line exceeds the maximum size')
        for line in lines:
            if line:
                self._apply(decode(line))
        if lines:
            self._selection.on_relayed(host, self._clock.now())
        return incomplete
