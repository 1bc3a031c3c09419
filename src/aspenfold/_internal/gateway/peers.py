"""What other gateways have in flight, which plan they know, who leads.

Each gateway tells the others in small datagrams what it has sent where,
soon after that changes.  Without it a gateway sees a seventh of the
work and sends its request to a full rank while another has room.

The same datagrams tell how far the sender has read the plan, so that a
lost answer of the store is noticed, and whether it leads, so that the
others need not ask the store.

A lost datagram is made good by the next; one that arrives late is left
out by its number.  Nothing here is needed for an answer to be right.
"""

from collections import abc
import dataclasses
import datetime

import orjson

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock as clock_module

PEER_TIMEOUT = datetime.timedelta(seconds=2)
"""A peer that was not heard for so long has nothing in flight, as far as
choices go: twice the interval of its datagrams at rest."""

IDLE_INTERVAL = datetime.timedelta(seconds=1)
"""A datagram is sent this often also when nothing changes."""

LEADER_INTERVAL = datetime.timedelta(milliseconds=200)
"""The same for the gateway that leads: a group that it holds stands
still if it falls silent."""

LEADER_TIMEOUT = datetime.timedelta(milliseconds=800)
"""A leader that was not heard for so long is taken to be gone: three
of its datagrams, and the time that one may be late."""

LEADER_DISCOVERY_DURATION = datetime.timedelta(seconds=2)
"""A process that has heard no leader for so long since its start takes
it that none is left: leaders tell each 0.2 s all hosts that the roster
has, and a new host is in it within about a second."""

MIN_INTERVAL = datetime.timedelta(milliseconds=25)
"""Least time between two datagrams to a peer: under the time of a pass,
so that no slot is filled twice for want of news."""

INTERVAL_PER_PEER = datetime.timedelta(milliseconds=4)
"""Added for each peer of the own zone, which bounds the datagrams that one
gateway sends there to 250 a second however many others there are."""

INTERVAL_PER_REMOTE_PEER = datetime.timedelta(milliseconds=50)
"""Added for each peer of another zone, which bounds the datagrams there to
20 a second: bytes between zones are paid for, and requests go to other
zones only where the own one is clearly fuller.  At 4 ms 32 gateways would
send some 0.1 GB between zones in 45 s, by reckoning."""

MAX_DATAGRAM_BYTES = 1400
"""Largest datagram, under the packet size of common networks."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerUpdate:
    """One gateway's datagram.

    ``counts`` is what it has in flight, by endpoint, ``plan_offset``
    the offset of the plan that it has in force, ``token`` its lease's if
    it leads, else 0.  A leader tells the ``slowdowns`` of slow endpoints.
    ``is_reader`` says that it reads the store itself;
    ``recovery_ages`` how long ago services' groups were seen to run again.
    """

    host: str
    incarnation: str
    number: int
    counts: dict[str, int]
    plan_offset: int
    token: int
    slowdowns: dict[str, float]
    zone: str
    is_reader: bool
    recovery_ages: dict[str, datetime.timedelta]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingUpdate:
    """A datagram that is due, and to whom."""

    data: bytes
    addresses: abc.Sequence[settings.TcpAddress]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Sent:
    """What some peers were told last, and when."""

    at: datetime.datetime | None = None
    update: tuple[object, ...] | None = None
    counts: dict[str, int] | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class _Peer:
    update: PeerUpdate | None = None
    # None once it counts as silent.
    heard_at: datetime.datetime | None = None
    last_at: datetime.datetime | None = None


class Peers:
    """Adds up what peers told; writes this gateway's own datagrams."""

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        incarnation: str,
        port: int,
        members: directory.Directory,
        now: datetime.datetime,
    ) -> None:
        """``incarnation`` is another after each start, which is ``now``.

        All gateways listen on ``port``.
        """
        self._started_at = now
        self._host = host
        self._zone = zone
        self._port = port
        self._told = False
        self._incarnation = incarnation
        self._members = members
        self._number = 0
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, settings.TcpAddress] = {}
        self._near_sent = _Sent()
        self._far_sent = _Sent()
        self.rejected = 0
        self.plan_offset = -1
        self.token = 0
        self.slowdowns: dict[str, float] = {}
        self.is_reader = False
        self.recovery_ages: dict[str, datetime.timedelta] = {}

    def address(self, host: str) -> settings.TcpAddress | None:
        """Return where a peer listens, None if it is not known."""
        return self._addresses.get(host)

    def is_peer_address(self, ip: str) -> bool:
        """Return whether an IP address is a gateway's."""
        return any(a.host == ip for a in self._addresses.values())

    def set_addresses(self, addresses: dict[str, settings.TcpAddress]) -> None:
        """Take the addresses of all gateways by their host's name."""
        self._told = True
        self._addresses = {
            host: address
            for host, address in addresses.items()
            if host != self._host
        }

    # -- what others tell ------------------------------------------------

    def receive(
        self, data: bytes, sender: str, now: datetime.datetime
    ) -> PeerUpdate | None:
        """Take a datagram from the IP address ``sender``; return it if new."""
        update = self._parse(data, sender)
        if update is None:
            self.rejected += 1
            return None
        peer = self._peers.setdefault(update.host, _Peer())
        last = peer.update
        known = last is not None and last.incarnation == update.incarnation
        if last is not None and known and update.number <= last.number:
            return None
        peer.heard_at = peer.last_at = now
        self._count(last, -1)
        self._count(update, 1)
        peer.update = update
        if update.token:
            self._members.set_slowdowns(update.slowdowns)
        return update

    def is_leader_alive(self, now: datetime.datetime) -> bool:
        """Return whether a peer that leads was heard a moment ago."""
        return any(
            now - heard <= LEADER_TIMEOUT for heard in self._leaders_heard()
        )

    def is_leader_lost(self, now: datetime.datetime) -> bool:
        """Return whether no peer leads that could be heard.

        Either one led when it was heard last, a while ago, or none was
        heard since this process started: all may have ended at once.
        """
        return not self.is_leader_alive(
            now
        ) and not self.is_discovering_leader(now)

    def is_discovering_leader(self, now: datetime.datetime) -> bool:
        """Return whether a leader may be there that was not heard yet."""
        if now - self._started_at >= LEADER_DISCOVERY_DURATION:
            return False
        return next(self._leaders_heard(), None) is None

    def _leaders_heard(self) -> abc.Iterator[datetime.datetime]:
        for peer in self._peers.values():
            if peer.update is None or not peer.update.token:
                continue
            if peer.last_at is not None:
                yield peer.last_at

    def _parse(self, data: bytes, sender: str) -> PeerUpdate | None:
        try:
            host, incarnation, number, counts, *rest = orjson.loads(data)
            # Later versions may tell more, and earlier ones tell less.
            offset, token, slowdowns, zone, is_reader, *more = rest
            recovery_ages = more[0] if more else {}
            if not self._may_be(str(host), sender):
                return None
            return PeerUpdate(
                host=str(host),
                incarnation=str(incarnation),
                number=int(number),
                counts={str(k): max(0, int(v)) for k, v in counts.items()},
                plan_offset=int(offset),
                token=int(token),
                slowdowns={
                    str(k): max(1.0, float(v)) for k, v in slowdowns.items()
                },
                zone=str(zone),
                is_reader=bool(is_reader),
                recovery_ages={
                    str(k): max(0, int(v)) * clock_module.MILLISECOND
                    for k, v in recovery_ages.items()
                },
            )
        except (ValueError, TypeError, AttributeError):
            return None

    def _may_be(self, host: str, sender: str) -> bool:
        """Return whether ``sender`` is the host that it says it is."""
        if not self._told:
            # The store has not told the gateways yet, and may turn this
            # one away: whoever speaks as one is taken to be one.
            self._addresses[host] = settings.TcpAddress(
                host=sender, port=self._port
            )
        address = self._addresses.get(host)
        return address is not None and address.host == sender

    def _count(self, update: PeerUpdate | None, sign: int) -> None:
        if update is None:
            return
        for name, count in update.counts.items():
            self._add(name, sign * count)

    def _add(self, name: str, count: int) -> None:
        endpoint = self._members.get(name)
        if endpoint is not None:
            endpoint.peer_in_flight = max(0, endpoint.peer_in_flight + count)

    def expire_silent(self, now: datetime.datetime) -> None:
        """Leave out what peers told that are not heard any more."""
        for peer in self._peers.values():
            heard = peer.heard_at
            if heard is None or now - heard <= PEER_TIMEOUT:
                continue
            peer.heard_at = None
            self._count(peer.update, -1)
            if peer.update is not None:
                peer.update.counts = {}

    # -- what this gateway tells -----------------------------------------

    def next_update(self, now: datetime.datetime) -> OutgoingUpdate | None:
        """Return the datagram that is due now, None if none is.

        Peers of other zones are told of work in flight less often.
        """
        near, far = self._by_distance()
        counts = self._members.in_flight()
        update = self._update_fields()
        soon = MIN_INTERVAL + INTERVAL_PER_PEER * len(self._addresses)
        near_wait = MIN_INTERVAL + INTERVAL_PER_PEER * len(near)
        far_wait = MIN_INTERVAL + INTERVAL_PER_REMOTE_PEER * len(far)
        due: list[settings.TcpAddress] = []
        sending = _Sent(at=now, update=update, counts=counts)
        if near and self._is_due(self._near_sent, sending, soon, near_wait):
            due += near
            self._near_sent = sending
        if far and self._is_due(self._far_sent, sending, soon, far_wait):
            due += far
            self._far_sent = sending
        if not due:
            return None
        self._number += 1
        ages = {
            k: v // clock_module.MILLISECOND
            for k, v in self.recovery_ages.items()
        }
        head = (self._host, self._incarnation, self._number, counts)
        data = orjson.dumps([*head, *update[:-1], ages])
        if len(data) > MAX_DATAGRAM_BYTES:
            return None
        return OutgoingUpdate(data=data, addresses=due)

    def _update_fields(self) -> tuple[object, ...]:
        """Return what all peers are told soon after it changes."""
        return (
            self.plan_offset,
            self.token,
            self.slowdowns if self.token else {},
            self._zone,
            self.is_reader,
            sorted(self.recovery_ages),
        )

    def _by_distance(
        self,
    ) -> tuple[list[settings.TcpAddress], list[settings.TcpAddress]]:
        """Return the peers of the own zone, and those of known others."""
        near: list[settings.TcpAddress] = []
        far: list[settings.TcpAddress] = []
        for host, address in self._addresses.items():
            peer = self._peers.get(host)
            told = peer.update if peer is not None else None
            is_far = told is not None and told.zone != self._zone
            (far if is_far else near).append(address)
        return near, far

    def _is_due(
        self,
        sent: _Sent,
        sending: _Sent,
        update_wait: datetime.timedelta,
        counts_wait: datetime.timedelta,
    ) -> bool:
        if sent.at is None or sending.at is None:
            return True
        wait = LEADER_INTERVAL if self.token else IDLE_INTERVAL
        if sent.counts != sending.counts:
            wait = min(wait, counts_wait)
        if sent.update != sending.update:
            wait = min(wait, update_wait)
        return sending.at - sent.at >= wait
