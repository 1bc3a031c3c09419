"""Peer updates: what gateways tell each other in small datagrams.

An update contains the sender's requests in flight by endpoint, so that
gateways do not send requests to a full endpoint while another has free
slots.  It also contains the offset of the sender's plan, so that a lost
answer of the store is noticed, and whether the sender leads the groups, so
that the others need not ask the store.

Updates may be lost or arrive out of order; the next one replaces them, and
older sequence numbers are ignored.  Correct answers do not depend on them.
"""

from collections import abc
import dataclasses
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import peer_update
from aspenfold._internal.gateway import quarantine_report
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.gateway import settings
from aspenfold._internal.observability import events

PEER_TIMEOUT = datetime.timedelta(seconds=2)
"""The requests in flight of a peer without an update for this long are
ignored: twice the idle interval."""

IDLE_INTERVAL = datetime.timedelta(seconds=1)
"""An update is sent this often even if nothing changes."""

LEADER_INTERVAL = datetime.timedelta(milliseconds=200)
"""The same for the leader, whose loss must be noticed quickly: a group whose
pass it holds is blocked."""

LEADER_TIMEOUT = datetime.timedelta(milliseconds=800)
"""A leader without an update for this long counts as lost."""

LEADER_DISCOVERY_DURATION = datetime.timedelta(seconds=2)
"""How long a new process waits for an update of a leader before it assumes
that there is none.  Leaders send one each 0.2 s to all known hosts, and a new
host is known within about a second."""

MIN_INTERVAL = datetime.timedelta(milliseconds=25)
"""Minimum time between two updates to a peer: under the time of a pass, so
that no slot is filled twice."""

INTERVAL_PER_PEER = datetime.timedelta(milliseconds=4)
"""Added for each peer that gets the update, to bound the datagrams to 250 a
second."""

INTERVAL_PER_REMOTE_PEER = datetime.timedelta(milliseconds=50)
"""Added for each peer of another zone if only requests in flight changed, to
bound these datagrams to 20 a second: traffic between zones costs money, and
requests go to other zones only where the own one has clearly more load."""


MAX_CLOCK_DRIFT = 2e-4
"""How much faster one host's clock may run than another's."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingUpdate:
    """A datagram that is due, and the addresses to send it to."""

    data: bytes
    addresses: abc.Sequence[settings.TcpAddress]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Sent:
    """What was last sent to some peers, and when."""

    at: datetime.datetime | None = None
    update: tuple[object, ...] | None = None
    in_flight_counts: dict[str, int] | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class _Peer:
    update: peer_update.PeerUpdate | None = None
    # None once its requests in flight no longer count.
    counted_at: datetime.datetime | None = None
    last_update_at: datetime.datetime | None = None
    # When its process started, by the quickest of its updates.
    started_at: datetime.datetime | None = None


class Peers:
    """Receives the updates of peers and creates this gateway's own.

    Requests in flight of peers are added to the endpoints in
    ``endpoint_directory``.
    The attributes ``plan_offset``, ``token``, ``slowdowns``, ``is_reader``,
    ``recovery_ages``, ``rate_reports`` and ``quarantine`` are sent with the
    next update.
    ``zones`` has the zones of peers that did not time out, by host.
    ``rejected`` counts datagrams that were malformed or not from a gateway.
    """

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        incarnation: str,
        port: int,
        endpoint_directory: directory.Directory,
        now: datetime.datetime,
    ) -> None:
        """``incarnation`` must be unique to this process, started ``now``.

        All gateways listen on ``port``.
        """
        self._started_at = now
        self._host = host
        self._zone = zone
        self._port = port
        self._has_addresses = False
        self._incarnation = incarnation
        self._directory = endpoint_directory
        self._sequence = 0
        self._omitted = 0
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, settings.TcpAddress] = {}
        self._local_sent = _Sent()
        self._remote_sent = _Sent()
        self.rejected = 0
        self.plan_offset = -1
        self.token = 0
        self.slowdowns: dict[str, float] = {}
        self.is_reader = False
        self.recovery_ages: dict[str, datetime.timedelta] = {}
        self.rate_reports: dict[str, rate_limits.Report] = {}
        self.quarantine = quarantine_report.EMPTY
        self.zones: dict[str, str] = {}

    def address(self, host: str) -> settings.TcpAddress | None:
        """Return the address of a peer, None if it is not known."""
        return self._addresses.get(host)

    def hears_all(self) -> bool:
        """Return whether no known gateway has timed out."""
        return self._addresses.keys() <= self.zones.keys()

    def is_peer_address(self, ip: str) -> bool:
        """Return whether an IP address belongs to a peer."""
        return any(a.host == ip for a in self._addresses.values())

    def set_addresses(self, addresses: dict[str, settings.TcpAddress]) -> None:
        """Set the addresses of all gateways by host name."""
        self._has_addresses = True
        self._addresses = {
            host: address
            for host, address in addresses.items()
            if host != self._host
        }

    def receive(
        self, data: bytes, sender: str, now: datetime.datetime
    ) -> peer_update.PeerUpdate | None:
        """Apply a datagram from the IP address ``sender``.

        Return its update, None if it is invalid, old or a duplicate.
        """
        update = self._parse(data, sender)
        if update is None:
            self.rejected += 1
            return None
        peer = self._peers.setdefault(update.host, _Peer())
        last = peer.update
        is_same_process = (
            last is not None and last.incarnation == update.incarnation
        )
        if (
            last is not None
            and is_same_process
            and update.sequence <= last.sequence
        ):
            return None
        if not is_same_process:
            peer.started_at = None
        self._estimate_start(peer, update, now)
        peer.counted_at = peer.last_update_at = now
        self.zones[update.host] = update.zone
        self._add_in_flight(last, -1)
        self._add_in_flight(update, 1)
        peer.update = update
        if update.token:
            self._directory.set_slowdowns(update.slowdowns)
        return update

    def _estimate_start(
        self,
        peer: _Peer,
        update: peer_update.PeerUpdate,
        now: datetime.datetime,
    ) -> None:
        """Estimate when a peer's process started, by its quickest update.

        The clocks of both hosts drift apart meanwhile.
        """
        if update.uptime is None:
            return
        started_at = now - update.uptime
        if peer.started_at is not None and peer.last_update_at is not None:
            drift = (now - peer.last_update_at) * MAX_CLOCK_DRIFT
            started_at = min(started_at, peer.started_at + drift)
        peer.started_at = started_at

    def sent_at(
        self, update: peer_update.PeerUpdate, now: datetime.datetime
    ) -> datetime.datetime:
        """Return when an update that was received ``now`` was sent.

        It is late if it waited while a host was suspended, or on a link.
        """
        peer = self._peers.get(update.host)
        if peer is None or peer.started_at is None or update.uptime is None:
            return now
        return min(now, peer.started_at + update.uptime)

    def is_leader_alive(self, now: datetime.datetime) -> bool:
        """Return whether a leader sent an update within its timeout."""
        return any(
            now - updated_at <= LEADER_TIMEOUT
            for updated_at in self._leader_update_times()
        )

    def is_leader_lost(self, now: datetime.datetime) -> bool:
        """Return whether there is no leader.

        Either the last one timed out, or none sent an update since this
        process started.
        """
        return not self.is_leader_alive(
            now
        ) and not self.is_discovering_leader(now)

    def is_discovering_leader(self, now: datetime.datetime) -> bool:
        """Return whether a leader may exist that sent no update here yet."""
        if now - self._started_at >= LEADER_DISCOVERY_DURATION:
            return False
        return next(self._leader_update_times(), None) is None

    def _leader_update_times(self) -> abc.Iterator[datetime.datetime]:
        for peer in self._peers.values():
            if peer.update is None or not peer.update.token:
                continue
            if peer.last_update_at is not None:
                yield peer.last_update_at

    def _parse(
        self, data: bytes, sender: str
    ) -> peer_update.PeerUpdate | None:
        """Return an update from ``sender``, None if it is not valid."""
        try:
            update = peer_update.decode(data)
        except peer_update.InvalidUpdate:
            return None
        return update if self._is_authentic(update.host, sender) else None

    def _is_authentic(self, host: str, sender: str) -> bool:
        """Return whether ``sender`` is the address of ``host``."""
        if not self._has_addresses:
            # The addresses could not be read yet: trust the sender, so that
            # a gateway without access to the store can follow a reader.
            self._addresses[host] = settings.TcpAddress(
                host=sender, port=self._port
            )
        address = self._addresses.get(host)
        return address is not None and address.host == sender

    def _add_in_flight(
        self, update: peer_update.PeerUpdate | None, sign: int
    ) -> None:
        if update is None:
            return
        for name, count in update.in_flight_counts.items():
            self._add_to_endpoint(name, sign * count)

    def _add_to_endpoint(self, name: str, count: int) -> None:
        endpoint = self._directory.get(name)
        if endpoint is not None:
            endpoint.peer_in_flight = max(0, endpoint.peer_in_flight + count)

    def expire_silent(self, now: datetime.datetime) -> None:
        """Ignore the requests in flight of peers that timed out."""
        for host, peer in self._peers.items():
            updated_at = peer.counted_at
            if updated_at is None or now - updated_at <= PEER_TIMEOUT:
                continue
            peer.counted_at = None
            self.zones.pop(host, None)
            self._add_in_flight(peer.update, -1)
            if peer.update is not None:
                peer.update.in_flight_counts = {}

    def next_update(self, now: datetime.datetime) -> OutgoingUpdate | None:
        """Return the update that is due now, None if none is.

        Peers of other zones get changes of requests in flight less often.
        """
        local, remote = self._local_and_remote_addresses()
        in_flight_counts = self._directory.in_flight()
        update = self._update_fields()
        update_interval = MIN_INTERVAL + INTERVAL_PER_PEER * len(
            self._addresses
        )
        local_interval = MIN_INTERVAL + INTERVAL_PER_PEER * len(local)
        remote_interval = MIN_INTERVAL + INTERVAL_PER_REMOTE_PEER * len(remote)
        due: list[settings.TcpAddress] = []
        current = _Sent(
            at=now, update=update, in_flight_counts=in_flight_counts
        )
        if local and self._is_due(
            self._local_sent, current, update_interval, local_interval
        ):
            due += local
            self._local_sent = current
        if remote and self._is_due(
            self._remote_sent, current, update_interval, remote_interval
        ):
            due += remote
            self._remote_sent = current
        if not due:
            return None
        data = self._encode_update(in_flight_counts, now)
        if data is None:
            return None
        return OutgoingUpdate(data=data, addresses=due)

    def _encode_update(
        self, in_flight_counts: dict[str, int], now: datetime.datetime
    ) -> bytes | None:
        """Return the next update, None if it is too large to send."""
        self._sequence += 1
        encoded = peer_update.encode(
            peer_update.PeerUpdate(
                host=self._host,
                incarnation=self._incarnation,
                sequence=self._sequence,
                in_flight_counts=in_flight_counts,
                plan_offset=self.plan_offset,
                token=self.token,
                slowdowns=self.slowdowns if self.token else {},
                zone=self._zone,
                is_reader=self.is_reader,
                recovery_ages=self.recovery_ages,
                rate_reports=self.rate_reports,
                uptime=now - self._started_at,
                quarantine=self.quarantine,
            )
        )
        if encoded.omitted != self._omitted:
            self._omitted = encoded.omitted
            events.emit(
                events.Event.PEER_UPDATE_CUT,
                omitted=encoded.omitted,
                endpoints=len(in_flight_counts),
                sent=encoded.data is not None,
            )
        return encoded.data

    def _update_fields(self) -> tuple[object, ...]:
        """Return the fields whose changes go to all peers equally soon.

        Ages are left out, since they change all the time.
        """
        return (
            self.plan_offset,
            self.token,
            self.slowdowns if self.token else {},
            self._zone,
            self.is_reader,
            sorted(self.recovery_ages),
            [(k, v.rate, v.sent) for k, v in self.rate_reports.items()],
            self.quarantine.key(),
        )

    def _local_and_remote_addresses(
        self,
    ) -> tuple[list[settings.TcpAddress], list[settings.TcpAddress]]:
        """Return the peers of the same or an unknown zone, and all others."""
        local: list[settings.TcpAddress] = []
        remote: list[settings.TcpAddress] = []
        for host, address in self._addresses.items():
            peer = self._peers.get(host)
            last_update = peer.update if peer is not None else None
            is_remote = (
                last_update is not None and last_update.zone != self._zone
            )
            (remote if is_remote else local).append(address)
        return local, remote

    def _is_due(
        self,
        sent: _Sent,
        current: _Sent,
        update_interval: datetime.timedelta,
        in_flight_interval: datetime.timedelta,
    ) -> bool:
        if sent.at is None or current.at is None:
            return True
        interval = LEADER_INTERVAL if self.token else IDLE_INTERVAL
        if sent.in_flight_counts != current.in_flight_counts:
            interval = min(interval, in_flight_interval)
        if sent.update != current.update:
            interval = min(interval, update_interval)
        return current.at - sent.at >= interval
