"""Decides whether a gateway reads the store or follows a reader.

Store calls cost money, and all gateways read the same records.  So one
gateway per availability zone reads and the others follow it.  There is no
election: a reader says so in its peer updates, and stops reading once it
follows a reader of its zone whose host name sorts before its own.  A
follower that loses its reader reads the store at once.

A gateway that cannot reach the store follows any reader, in any zone.

This module does no I/O and reads no clock.
"""

import dataclasses
import datetime
import enum

PEER_TIMEOUT = datetime.timedelta(seconds=2)
"""A peer without an update for this long is not followed: twice the interval
of its updates when idle."""

RELAY_TIMEOUT = datetime.timedelta(milliseconds=1_300)
"""A follower that receives nothing for this long reads the store itself.  A
reader polls every 0.9 s.  Requests must stop within 2 s after an endpoint
left, so 0.7 s remain for that read."""

PEER_BACKOFF_DURATION = datetime.timedelta(seconds=4)
"""How long a reader is not followed after its relay failed or was late."""

PROBE_INTERVAL = datetime.timedelta(seconds=2)
"""How often a follower that lost the store tries to reach it again."""

MAX_CONSECUTIVE_FAILURES = 2
"""Consecutive failed calls after which the store counts as lost.  With one,
a single lost answer would make all followers read."""

FIRST_HOST_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=900)
"""Maximum delay between calls to a failing store, for the gateway whose host
name sorts first in its zone: one poll interval."""

OTHER_HOST_MAX_RETRY_DELAY = datetime.timedelta(seconds=3)
"""The same for the other gateways, which can follow the first one once the
store is back."""

PEER_DISCOVERY_DURATION = datetime.timedelta(milliseconds=700)
"""How long a new process waits for peer updates before it does work that one
gateway per zone is enough for."""


class ReadMode(enum.Enum):
    """How much a gateway reads from the store now."""

    FULL = 'full'
    PROBE = 'probe'
    """Only test whether the store answers again."""

    NONE = 'none'


@dataclasses.dataclass(kw_only=True, slots=True)
class _Peer:
    zone: str
    is_reader: bool
    updated_at: datetime.datetime
    backoff_until: datetime.datetime | None = None


class ReaderSelection:
    """Decides for one gateway which reader it follows, or that it reads."""

    def __init__(
        self, *, host: str, zone: str, now: datetime.datetime
    ) -> None:
        self._discovery_ends_at = now + PEER_DISCOVERY_DURATION
        self._host = host
        self._zone = zone
        self._peers: dict[str, _Peer] = {}
        self._following = ''
        self._relayed_at: datetime.datetime | None = None
        self._failures = 0
        self._has_answered = False
        self._probed_at: datetime.datetime | None = None

    def on_peer_update(
        self, host: str, zone: str, is_reader: bool, now: datetime.datetime
    ) -> None:
        """Record from a peer update whether ``host`` is a reader."""
        peer = self._peers.get(host)
        if peer is None:
            self._peers[host] = _Peer(
                zone=zone, is_reader=is_reader, updated_at=now
            )
            return
        peer.zone = zone
        peer.is_reader = is_reader
        peer.updated_at = now

    def on_relayed(self, host: str, now: datetime.datetime) -> None:
        """Record that relayed records, or a keepalive, came from ``host``."""
        self._following = host
        self._relayed_at = now

    def on_reader_stopped(self, host: str) -> None:
        """Stop following ``host`` until its updates say that it reads."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.is_reader = False
        self.stop_following(host)

    def on_relay_failed(self, host: str, now: datetime.datetime) -> None:
        """Stop following ``host`` for a while after its relay failed."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.backoff_until = now + PEER_BACKOFF_DURATION
        self.stop_following(host)

    def stop_following(self, host: str) -> None:
        """Record that ``host`` is no longer followed."""
        if self._following == host:
            self._following = ''
            self._relayed_at = None

    def on_store_success(self) -> None:
        """Record that the store answered a call of this gateway."""
        self._failures = 0
        self._has_answered = True

    def on_store_failure(self, now: datetime.datetime) -> None:
        """Record that a store call of this gateway failed."""
        self._failures += 1
        self._probed_at = now

    @property
    def relayed_at(self) -> datetime.datetime | None:
        """When the followed reader last sent something, None without one."""
        return self._relayed_at

    @property
    def store_lost(self) -> bool:
        """Whether the last MAX_CONSECUTIVE_FAILURES store calls failed."""
        return self._failures >= MAX_CONSECUTIVE_FAILURES

    def reader_to_follow(self, now: datetime.datetime) -> str:
        """Return the host of the reader to follow, empty for none."""
        found = [
            (peer.zone != self._zone, host)
            for host, peer in self._peers.items()
            if self._may_follow(host, peer, now)
        ]
        return min(found)[1] if found else ''

    def read_mode(self, now: datetime.datetime) -> ReadMode:
        """Return how much to read from the store."""
        if not self._is_relay_current(now):
            return ReadMode.FULL
        if not self.store_lost:
            return ReadMode.NONE
        last = self._probed_at
        if last is not None and now - last < PROBE_INTERVAL:
            return ReadMode.NONE
        return ReadMode.PROBE

    def max_retry_delay(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the maximum delay before a failed call is repeated."""
        for host, peer in self._peers.items():
            is_alive = now - peer.updated_at <= PEER_TIMEOUT
            if is_alive and peer.zone == self._zone and host < self._host:
                return OTHER_HOST_MAX_RETRY_DELAY
        return FIRST_HOST_MAX_RETRY_DELAY

    def has_discovered_peers(self, now: datetime.datetime) -> bool:
        """Return whether peers have had time to send an update."""
        return now >= self._discovery_ends_at

    def is_passive(self, now: datetime.datetime) -> bool:
        """Return whether to leave work of one gateway per zone to others.

        This holds for followers, during peer discovery, and while the
        store is lost.
        """
        if self.store_lost or not self.has_discovered_peers(now):
            return True
        return self.read_mode(now) is ReadMode.NONE

    def is_reader(self, now: datetime.datetime) -> bool:
        """Return whether others may follow this gateway."""
        if self.store_lost or not self._has_answered:
            return False
        return self.read_mode(now) is ReadMode.FULL

    def _may_follow(
        self, host: str, peer: _Peer, now: datetime.datetime
    ) -> bool:
        if not peer.is_reader or now - peer.updated_at > PEER_TIMEOUT:
            return False
        until = peer.backoff_until
        if until is not None and now < until:
            return False
        if self.store_lost:
            return True
        return peer.zone == self._zone and host < self._host

    def _is_relay_current(self, now: datetime.datetime) -> bool:
        last = self._relayed_at
        return last is not None and now - last <= RELAY_TIMEOUT
