"""Passes the store's news on to gateways that do not read it.

A follower asks its peer for news once, and the answer never ends: first
all that is known, then each change as the peer reads it, and an empty
line at each reading without one.  A line is a JSON array.
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
"""As for endpoints: the longest round trip between zones is 3 ms."""

POLL_INTERVAL_S = 0.1
"""How often a follower looks whether it should follow, or another."""

MAX_LINE_BYTES = 8_388_608
"""Bytes of one line: twice the largest plan that operators may write,
4 MiB in the deployments known."""

MAX_QUEUED_LINES = 200
"""Lines that wait for one follower; one that falls further behind is
cut off, and begins anew."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedRecords:
    """What was learnt of one topic.

    ``records`` are those that changed, or if ``whole`` all that there
    are; ``absent`` are keys that are gone without a record.  The topic
    was read up to ``end``.
    """

    topic: str
    end: int
    records: tuple[ports.Record, ...] = ()
    absent: tuple[str, ...] = ()
    whole: bool = False


def encode(relayed: RelayedRecords) -> bytes:
    """Return a line; values are text.

    One that is not is spoilt here, and rejected by readers as it was by
    this one.
    """
    records = [[r.offset, r.key, _text(r.value)] for r in relayed.records]
    line = [relayed.topic, relayed.end, records, relayed.absent, relayed.whole]
    return orjson.dumps(line) + b'\n'


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('utf-8', 'replace')


def decode(line: bytes) -> RelayedRecords:
    """Return the news of a line; raises ``ValueError`` if it is none."""
    try:
        topic, end, records, absent, whole = orjson.loads(line)
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
            absent=tuple(str(key) for key in absent),
            whole=bool(whole),
        )
    except (TypeError, AttributeError) as exc:
        raise ValueError(f'not news: {exc}') from exc


class Publisher:
    """Gives followers the news of a gateway that reads the store."""

    def __init__(
        self,
        *,
        snapshot: abc.Callable[[], list[RelayedRecords]],
        reads: abc.Callable[[], bool],
        known: abc.Callable[[str], bool],
    ) -> None:
        """``known`` says whether an IP address is a gateway's."""
        self._snapshot = snapshot
        self._reads = reads
        self._known = known
        self._queues: set[asyncio.Queue[bytes]] = set()

    @property
    def followers(self) -> int:
        """How many gateways follow this one."""
        return len(self._queues)

    def publish(self, relayed: RelayedRecords | None) -> None:
        """Pass relayed on; None says that there is none."""
        if not self._queues:
            return
        line = b'\n' if relayed is None else encode(relayed)
        for queue in list(self._queues):
            try:
                queue.put_nowait(line)
            except asyncio.QueueFull:
                # Its answer ends at the next look, see handle().
                self._queues.discard(queue)

    async def handle(
        self,
        request: http1_server.Request,
        answer: http1_server.ResponseWriter,
    ) -> None:
        """Answer a follower until it leaves or this one stops reading."""
        if request.target != REQUEST_TARGET or not self._known(
            request.remote_ip
        ):
            self._refuse(answer, 404)
            return
        if not self._reads():
            self._refuse(answer, 503)
            return
        queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_LINES)
        self._queues.add(queue)
        try:
            answer.start(200, [])
            for news in self._snapshot():
                answer.write(encode(news))
            while self._reads() and queue in self._queues:
                await self._pass_on(queue, answer)
            answer.end()
        finally:
            self._queues.discard(queue)

    async def _pass_on(
        self, queue: asyncio.Queue[bytes], answer: http1_server.ResponseWriter
    ) -> None:
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                line = await queue.get()
        except TimeoutError:
            return
        answer.write(line)
        await answer.drain()

    def _refuse(
        self, answer: http1_server.ResponseWriter, status: int
    ) -> None:
        answer.start(status, [(b'content-length', b'0')])
        answer.end()


class Follower:
    """Follows the peer that the source names, for ever."""

    def __init__(
        self,
        *,
        selection: selection_module.ReaderSelection,
        peers: peers_module.Peers,
        clock: clock_module.Clock,
        take: abc.Callable[[RelayedRecords], None],
        local_host: str,
    ) -> None:
        """Peers know this gateway by the IP address ``local_host``."""
        self._local_host = local_host
        self._selection = selection
        self._peers = peers
        self._clock = clock
        self._take = take

    async def run(self) -> None:
        """Follow whoever is to be followed."""
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
                self._tell_end(host, str(exc) or 'no news in time')
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
        """Take news while ``host`` is to be followed."""
        connection.send(
            b'GET', REQUEST_TARGET, [(b'host', host.encode())], b''
        )
        limit = selection_module.RELAY_TIMEOUT.total_seconds()
        async with asyncio.timeout(limit):
            head = await connection.read_head()
        if head.status_code != 200:
            self._tell_end(host, f'it answered {head.status_code}')
            self._selection.on_reader_stopped(host)
            return
        events.emit(events.Event.NEWS_FOLLOWED, peer=host)
        rest = b''
        while self._selection.reader_to_follow(self._clock.now()) == host:
            async with asyncio.timeout(limit):
                data = await connection.read_data()
            if data is None:
                self._tell_end(host, 'it reads no more')
                self._selection.on_reader_stopped(host)
                return
            rest = self._take_lines(host, rest + data)
        self._tell_end(host, 'another goes before it')
        self._selection.stop_following(host)

    def _tell_end(self, host: str, reason: str) -> None:
        last = self._selection.relayed_at
        age = None if last is None else self._clock.now() - last
        events.emit(
            events.Event.NEWS_LOST,
            peer=host,
            reason=reason[:200],
            age_ms=age and age // clock_module.MILLISECOND,
        )

    def _take_lines(self, host: str, data: bytes) -> bytes:
        *lines, rest = data.split(b'\n')
        if len(rest) > MAX_LINE_BYTES:
            raise ValueError('a line is too long')
        for line in lines:
            if line:
                self._take(decode(line))
        if lines:
            self._selection.on_relayed(host, self._clock.now())
        return rest
