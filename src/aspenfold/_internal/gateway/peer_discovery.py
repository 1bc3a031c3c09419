"""Discovers the other gateways through a topic of the store.

A gateway that follows a reader gets the records of this topic from it.  What
else all gateways have to know is in the same topic, under keys with a prefix.
"""

import asyncio
from collections import abc
import datetime
import typing

from aspenfold._internal.gateway import peers as peers_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import settings
from aspenfold._internal.observability import events

TOPIC = 'keyed.aspenfold-gateways'
"""Topic of the gateways' addresses; the key of such a record is the host."""

READ_TIMEOUT = datetime.timedelta(seconds=25)
"""Timeout of a read that waits for new records."""

MIN_READ_INTERVAL_S = 0.5
"""Minimum time between two reads, in seconds; lets all gateways of a new
system write their addresses."""

RETRY_DELAY_S = 2.0
"""Delay after a failed read or write, in seconds."""


class RecordConsumer(typing.Protocol):
    """Receives the records whose keys begin with ``key_prefix``."""

    @property
    def key_prefix(self) -> str:
        """The prefix, which no host's name begins with."""

    def apply(self, record: ports.Record) -> None:
        """Apply a record."""

    def snapshot(self) -> tuple[ports.Record, ...]:
        """Return the records, for a new follower."""


class PeerDiscovery:
    """Publishes this gateway's address and reads those of the others."""

    def __init__(
        self,
        *,
        host: str,
        address: settings.TcpAddress,
        store: ports.Store,
        peers: peers_module.Peers,
        consumer: RecordConsumer,
        is_passive: abc.Callable[[], bool],
        publish: abc.Callable[[relay.RelayedRecords], None],
    ) -> None:
        """Read no further records while ``is_passive()`` holds.

        ``publish`` relays records to followers.
        """
        self._is_passive = is_passive
        self._publish = publish
        self._host = host
        self._address = address
        self._store = store
        self._peers = peers
        self._consumer = consumer
        self._addresses: dict[str, settings.TcpAddress] = {}
        self._next_offset: int | None = None

    async def run(self) -> None:
        """Poll the topic until cancelled."""
        while True:
            try:
                await self._poll()
            except ports.HistoryTrimmed:
                self._next_offset = None
            except ports.StoreUnavailable as exc:
                events.emit(events.Event.ROSTER_UNSURE, error=str(exc)[:200])
                await asyncio.sleep(RETRY_DELAY_S)

    async def put(self, key: str, value: bytes) -> None:
        """Write a record; raises :class:`ports.StoreUnavailable`."""
        await self._store.put(TOPIC, key, value)

    async def _poll(self) -> None:
        if self._next_offset is None:
            self._apply_and_publish(await self._store.newest(TOPIC))
        if self._addresses.get(self._host) != self._address:
            value = str(self._address).encode()
            await self._store.put(TOPIC, self._host, value)
            self._addresses[self._host] = self._address
            # Other gateways of a new system write at the same time.
            await asyncio.sleep(MIN_READ_INTERVAL_S)
            self._apply_and_publish(await self._store.newest(TOPIC))
        await asyncio.sleep(MIN_READ_INTERVAL_S)
        if self._is_passive():
            return
        assert self._next_offset is not None
        self._apply_and_publish(
            await self._store.read(TOPIC, self._next_offset, READ_TIMEOUT)
        )

    def _apply_and_publish(self, page: ports.Page) -> None:
        self._apply_page(page)
        if page.records:
            self._publish(self._relayed_records(page.records))

    def snapshot(self) -> relay.RelayedRecords:
        """Return all records, for a new follower."""
        addresses = tuple(
            ports.Record(offset=0, key=host, value=str(address).encode())
            for host, address in self._addresses.items()
        )
        return self._relayed_records(addresses + self._consumer.snapshot())

    def _relayed_records(
        self, records: tuple[ports.Record, ...]
    ) -> relay.RelayedRecords:
        return relay.RelayedRecords(
            topic=TOPIC, end=self._next_offset or 0, records=records
        )

    def apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        """Apply records that a reader relayed."""
        if relayed.topic == TOPIC and relayed.end >= (self._next_offset or 0):
            page = ports.Page(records=relayed.records, end=relayed.end)
            self._apply_page(page)

    def _apply_page(self, page: ports.Page) -> None:
        for record in page.records:
            if record.key.startswith(self._consumer.key_prefix):
                self._consumer.apply(record)
                continue
            address = _parse(record.value)
            if address is None:
                self._addresses.pop(record.key, None)
            else:
                self._addresses[record.key] = address
        ends = [record.offset + 1 for record in page.records]
        self._next_offset = max([*ends, page.end, self._next_offset or 0])
        self._peers.set_addresses(dict(self._addresses))


def _parse(value: bytes | None) -> settings.TcpAddress | None:
    if not value:
        return None
    host, _, port = value.decode('ascii', 'replace').rpartition(':')
    if not host or not port.isdigit():
        return None
    return settings.TcpAddress(host=host, port=int(port))
