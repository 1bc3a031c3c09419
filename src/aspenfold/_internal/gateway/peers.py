"""What other gateways have in flight at each endpoint.

Each gateway tells the others in small datagrams what it has sent where,
soon after that changes.  Without it a gateway sees a seventh of the
work and sends its request to a full rank while another has room.

A lost datagram is made good by the next; one that arrives late is left
out by its number.  Nothing here is needed for an answer to be right.
"""

from collections import abc
import dataclasses
import datetime

import orjson

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import settings

SILENCE_LIMIT = datetime.timedelta(seconds=2)
"""A peer that was not heard for so long has nothing in flight, as far as
choices go: twice the interval of its datagrams at rest."""

REST_INTERVAL = datetime.timedelta(seconds=1)
"""A datagram is sent this often also when nothing changes."""

MIN_INTERVAL = datetime.timedelta(milliseconds=25)
"""Least time between two datagrams to a peer: under the time of a pass,
so that no slot is filled twice for want of news."""

INTERVAL_PER_PEER = datetime.timedelta(milliseconds=4)
"""Added for each peer, which bounds the datagrams that one gateway
sends to 250 a second however many others there are."""

MAX_BYTES = 1400
"""Largest datagram, under the packet size of common networks."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Peer:
    incarnation: str = ''
    number: int = 0
    heard_at: datetime.datetime | None = None
    counts: dict[str, int] = dataclasses.field(default_factory=dict)


class Peers:
    """Adds up what peers told; writes this gateway's own datagrams."""

    def __init__(
        self, *, host: str, incarnation: str, members: directory.Directory
    ) -> None:
        """``incarnation`` is another after each start."""
        self._host = host
        self._incarnation = incarnation
        self._members = members
        self._number = 0
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, settings.TcpAddress] = {}
        self._sent_at: datetime.datetime | None = None
        self._sent: dict[str, int] | None = None
        self.rejected = 0

    @property
    def addresses(self) -> abc.Collection[settings.TcpAddress]:
        """Where the other gateways listen."""
        return self._addresses.values()

    def roster(self, addresses: dict[str, settings.TcpAddress]) -> None:
        """Take the addresses of all gateways by their host's name."""
        self._addresses = {
            host: address
            for host, address in addresses.items()
            if host != self._host
        }

    # -- what others tell ------------------------------------------------

    def heard(self, data: bytes, sender: str, now: datetime.datetime) -> None:
        """Take a datagram that came from the IP address ``sender``."""
        message = self._parse(data, sender)
        if message is None:
            self.rejected += 1
            return
        host, incarnation, number, counts = message
        peer = self._peers.setdefault(host, _Peer())
        if incarnation == peer.incarnation and number <= peer.number:
            return
        peer.incarnation = incarnation
        peer.number = number
        peer.heard_at = now
        self._replace(peer, counts)

    def _parse(
        self, data: bytes, sender: str
    ) -> tuple[str, str, int, dict[str, int]] | None:
        try:
            host, incarnation, number, counts = orjson.loads(data)
            address = self._addresses.get(host)
            if address is None or address.host != sender:
                return None
            checked = {str(k): max(0, int(v)) for k, v in counts.items()}
            return str(host), str(incarnation), int(number), checked
        except (ValueError, TypeError, AttributeError):
            return None

    def _replace(self, peer: _Peer, counts: dict[str, int]) -> None:
        for name, count in peer.counts.items():
            self._add(name, -count)
        for name, count in counts.items():
            self._add(name, count)
        peer.counts = counts

    def _add(self, name: str, count: int) -> None:
        endpoint = self._members.get(name)
        if endpoint is not None:
            endpoint.elsewhere = max(0, endpoint.elsewhere + count)

    def forget_silent(self, now: datetime.datetime) -> None:
        """Leave out what peers told that are not heard any more."""
        for peer in self._peers.values():
            heard = peer.heard_at
            if heard is not None and now - heard > SILENCE_LIMIT:
                peer.heard_at = None
                self._replace(peer, {})

    # -- what this gateway tells -----------------------------------------

    def datagram(self, now: datetime.datetime) -> bytes | None:
        """Return the datagram to send to all peers now, if one is due."""
        if not self._addresses:
            return None
        counts = self._members.in_flight()
        wait = MIN_INTERVAL + INTERVAL_PER_PEER * len(self._addresses)
        if counts == self._sent:
            wait = REST_INTERVAL
        if self._sent_at is not None and now - self._sent_at < wait:
            return None
        self._sent_at = now
        self._sent = counts
        self._number += 1
        data = orjson.dumps(
            [self._host, self._incarnation, self._number, counts]
        )
        return data if len(data) <= MAX_BYTES else None
