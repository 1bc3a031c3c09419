"""The rate limit of one endpoint, of which several gateways use a part."""

import dataclasses
import datetime

from aspenfold._internal.kernel import token_bucket

BURST = 2.0
"""Requests that one gateway may send to an idle endpoint at once."""

MIN_RATE_BURST = 1.0
"""The same for an endpoint with a limit below MIN_RATE."""

BASE_SHARE_FACTOR = 3.0
"""How much more than its equal part of a limit one gateway may use at once,
since callers are distributed unevenly."""

SHARE_DOUBLING_TIME = datetime.timedelta(seconds=1)
"""How fast the part grows of a gateway that uses all of it, while its peers
leave some: most callers may come to one gateway."""

MAX_SEND_INTERVAL = datetime.timedelta(seconds=1)
"""A part grows only while requests follow each other within this time."""

MAX_DEBT_DURATION_S = 4.0
"""Requests over the limit delay later ones by at most this, in seconds."""

MIN_RATE = 0.2
"""Requests a second that are sent to an endpoint with a lower limit, so that
the gateways learn when it ends."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """A limit that an endpoint stated, and when."""

    rate: float | None
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerCount:
    """What a peer's process has sent to an endpoint so far."""

    incarnation: str
    sent: int


class EndpointRateLimit:
    """The rate limit of one endpoint, as this gateway knows it.

    ``rate`` is None while the endpoint states no limit.  ``senders`` is the
    number of gateways that may use the endpoint, 0 if this one may not.
    ``sent`` counts this gateway's requests, ``own`` is what the endpoint
    last stated to it and ``newest`` what it last stated to any gateway.
    """

    def __init__(self, *, zone: str, now: datetime.datetime) -> None:
        """``zone`` is the endpoint's availability zone."""
        self.zone = zone
        self.senders = 0
        self.sent = 0
        self.changed_at = now
        self.own: Statement | None = None
        self.newest: Statement | None = None
        self._share = 0.0
        self._sent_at = now
        self._peer_counts: dict[str, PeerCount] = {}
        self._total = token_bucket.TokenBucket(
            rate=0.0, burst=BURST, now=now, tokens=0.0
        )
        self._own_part = token_bucket.TokenBucket(
            rate=0.0, burst=BURST, now=now, tokens=0.0
        )

    @property
    def rate(self) -> float | None:
        """The limit in requests a second."""
        return None if self.newest is None else self.newest.rate

    def set_senders(self, senders: int, now: datetime.datetime) -> None:
        """Set ``senders``, also after a new statement."""
        self.senders = senders
        if self.rate is None:
            return
        self._total.set_rate(max(self.rate, MIN_RATE), self._burst, now)
        self._set_share(self._base_share, now)

    @property
    def _burst(self) -> float:
        """The requests that may be sent to an idle endpoint at once."""
        is_low = self.rate is not None and self.rate < MIN_RATE
        return MIN_RATE_BURST if is_low else BURST

    @property
    def _base_share(self) -> float:
        """The part of the limit that each sender may use at once."""
        if not self.senders:
            return 0.0
        return min(1.0, BASE_SHARE_FACTOR / self.senders)

    def _set_share(self, share: float, now: datetime.datetime) -> None:
        if self.rate is None:
            return
        self._share = max(self._base_share, min(1.0, share))
        rate = max(self.rate, MIN_RATE) * self._share
        self._own_part.set_rate(rate, self._burst, now)

    def _grow_share(self, now: datetime.datetime) -> None:
        """Use more of the limit if all of the part was used lately."""
        interval = now - self._sent_at
        self._sent_at = now
        if interval > MAX_SEND_INTERVAL:
            self._set_share(self._base_share, now)
        elif self._own_part.wait(now) and not self._total.wait(now):
            growth = 2 ** (interval / SHARE_DOUBLING_TIME)
            self._set_share(self._share * growth, now)

    def may_send(self, now: datetime.datetime) -> bool:
        """Return whether this gateway may use the endpoint."""
        if self.rate is None:
            return True
        if not self.senders:
            return False
        return not self._total.wait(now) and not self._own_part.wait(now)

    def wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time until the endpoint takes another request."""
        if self.rate is None:
            return datetime.timedelta(0)
        return self._total.wait(now)

    def record_sent(self, now: datetime.datetime) -> None:
        """Count a request of this gateway."""
        if self.rate is None:
            return
        self.sent += 1
        self.changed_at = now
        self._own_part.take(now)
        self._debit(1, now)
        self._grow_share(now)

    def record_peer_count(
        self, peer: str, count: PeerCount, now: datetime.datetime
    ) -> None:
        """Count the requests that a peer sent since its last report."""
        known = self._peer_counts.get(peer)
        self._peer_counts[peer] = count
        before = 0
        if known is not None and known.incarnation == count.incarnation:
            before = known.sent
        used = max(0, count.sent - before)
        self._debit(used, now)
        if used and self.rate:
            # What peers use is not left over.
            self._set_share(self._share - used / self.rate, now)

    def _debit(self, count: int, now: datetime.datetime) -> None:
        if self.rate is None:
            return
        max_debt = max(BURST, self.rate * MAX_DEBT_DURATION_S)
        self._total.debit(count, now, max_debt=max_debt)
