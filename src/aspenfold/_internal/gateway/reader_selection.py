"""Where a gateway learns the store's news: from the store or a peer.

Each call of the store is paid for, and each gateway that reads it by
itself sees the same.  So in each availability zone one gateway reads,
and the others follow it.  There is no election: a gateway that reads
says so in its datagrams, and gives reading up once it follows another
that goes before it.  Whoever loses what it follows reads by itself at
once, so nothing ever waits for a peer.

A gateway that the store turns away follows any that reads, in whatever
zone.

Decisions only: no I/O, no time of its own.
"""

import dataclasses
import datetime
import enum

PEER_TIMEOUT = datetime.timedelta(seconds=2)
"""A peer not heard for so long is not followed anew: twice the interval
of its datagrams at rest."""

RELAY_TIMEOUT = datetime.timedelta(milliseconds=1_300)
"""News of a peer that reads each 0.9 s is late from here.  An endpoint
may be sent to for 2 s after its leaving was accepted: 0.7 s are left to
read it from the store."""

PEER_BACKOFF_DURATION = datetime.timedelta(seconds=4)
"""How long a peer whose news was late is not followed."""

PROBE_INTERVAL = datetime.timedelta(seconds=2)
"""How often a gateway that the store turned away asks it again, while a
peer gives it the news."""

MAX_CONSECUTIVE_FAILURES = 2
"""Calls of the store that fail in a row until it counts as lost: one
answer may be lost, and followers would all begin to read."""

FIRST_HOST_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=900)
"""Longest wait between two calls of a store that fails, for the first
gateway of a zone: as long as between two readings."""

OTHER_HOST_MAX_RETRY_DELAY = datetime.timedelta(seconds=3)
"""The same for the others, who hear from the first when it is back."""

PEER_DISCOVERY_DURATION = datetime.timedelta(milliseconds=700)
"""How long a new process waits to hear whom it may follow, before it
does what one gateway a zone is enough for: peers speak each 0.15 s."""


class ReadMode(enum.Enum):
    """How much a gateway reads from the store now."""

    FULL = 'full'
    PROBE = 'probe'
    """Only whether it answers again."""

    NONE = 'none'


@dataclasses.dataclass(kw_only=True, slots=True)
class _Peer:
    zone: str
    is_reader: bool
    heard_at: datetime.datetime
    distrusted_until: datetime.datetime | None = None


class ReaderSelection:
    """Decides for one gateway whom it follows and whether it reads."""

    def __init__(
        self, *, host: str, zone: str, now: datetime.datetime
    ) -> None:
        self._settles_at = now + PEER_DISCOVERY_DURATION
        self._host = host
        self._zone = zone
        self._peers: dict[str, _Peer] = {}
        self._following = ''
        self._relayed_at: datetime.datetime | None = None
        self._failures = 0
        self._answered = False
        self._probed_at: datetime.datetime | None = None

    # -- events ----------------------------------------------------------

    def on_peer_update(
        self, host: str, zone: str, is_reader: bool, now: datetime.datetime
    ) -> None:
        """A peer told whether it reads the store itself."""
        known = self._peers.get(host)
        if known is None:
            self._peers[host] = _Peer(
                zone=zone, is_reader=is_reader, heard_at=now
            )
            return
        known.zone = zone
        known.is_reader = is_reader
        known.heard_at = now

    def on_relayed(self, host: str, now: datetime.datetime) -> None:
        """News, perhaps that there is none, came from ``host``."""
        self._following = host
        self._relayed_at = now

    def on_reader_stopped(self, host: str) -> None:
        """``host`` does not read any more, until it says so anew."""
        known = self._peers.get(host)
        if known is not None:
            known.is_reader = False
        self.stop_following(host)

    def on_relay_failed(self, host: str, now: datetime.datetime) -> None:
        """``host`` broke off, or gave its news late."""
        known = self._peers.get(host)
        if known is not None:
            known.distrusted_until = now + PEER_BACKOFF_DURATION
        self.stop_following(host)

    def stop_following(self, host: str) -> None:
        """``host`` is not followed any more."""
        if self._following == host:
            self._following = ''
            self._relayed_at = None

    def on_store_success(self) -> None:
        """The store answered a call of this gateway."""
        self._failures = 0
        self._answered = True

    def on_store_failure(self, now: datetime.datetime) -> None:
        """A call of this gateway failed."""
        self._failures += 1
        self._probed_at = now

    @property
    def relayed_at(self) -> datetime.datetime | None:
        """When the peer that is followed was heard of last."""
        return self._relayed_at

    # -- decisions -------------------------------------------------------

    @property
    def store_lost(self) -> bool:
        """Whether this gateway's last calls of the store failed."""
        return self._failures >= MAX_CONSECUTIVE_FAILURES

    def reader_to_follow(self, now: datetime.datetime) -> str:
        """Return the peer to follow, empty if there is none."""
        found = [
            (peer.zone != self._zone, host)
            for host, peer in self._peers.items()
            if self._may_follow(host, peer, now)
        ]
        return min(found)[1] if found else ''

    def read_mode(self, now: datetime.datetime) -> ReadMode:
        """Return how much to read from the store."""
        if not self._fresh(now):
            return ReadMode.FULL
        if not self.store_lost:
            return ReadMode.NONE
        last = self._probed_at
        if last is not None and now - last < PROBE_INTERVAL:
            return ReadMode.NONE
        return ReadMode.PROBE

    def max_retry_delay(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long a failed call waits at most for the next."""
        for host, peer in self._peers.items():
            heard = now - peer.heard_at <= PEER_TIMEOUT
            if heard and peer.zone == self._zone and host < self._host:
                return OTHER_HOST_MAX_RETRY_DELAY
        return FIRST_HOST_MAX_RETRY_DELAY

    def has_discovered_peers(self, now: datetime.datetime) -> bool:
        """Return whether peers have had time to be heard."""
        return now >= self._settles_at

    def is_passive(self, now: datetime.datetime) -> bool:
        """Return whether what one gateway a zone does is left to others.

        Also while the store does not answer: calls would only fail.
        """
        if self.store_lost or not self.has_discovered_peers(now):
            return True
        return self.read_mode(now) is ReadMode.NONE

    def is_reader(self, now: datetime.datetime) -> bool:
        """Return whether others may follow this gateway."""
        if self.store_lost or not self._answered:
            return False
        return self.read_mode(now) is ReadMode.FULL

    def _may_follow(
        self, host: str, peer: _Peer, now: datetime.datetime
    ) -> bool:
        if not peer.is_reader or now - peer.heard_at > PEER_TIMEOUT:
            return False
        until = peer.distrusted_until
        if until is not None and now < until:
            return False
        if self.store_lost:
            return True
        return peer.zone == self._zone and host < self._host

    def _fresh(self, now: datetime.datetime) -> bool:
        last = self._relayed_at
        return last is not None and now - last <= RELAY_TIMEOUT
