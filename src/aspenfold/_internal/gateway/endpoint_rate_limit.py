"""The rate limit of one endpoint, of which several gateways use a part."""

import dataclasses
import datetime

from aspenfold._internal.kernel import token_bucket

BURST = 2.0
"""Requests that one gateway may send to an idle endpoint at once."""

MIN_RATE_BURST = 1.0
"""The same for an endpoint with a limit below MIN_RATE."""

MAX_SHARE_FACTOR = 3.0
"""How much more than its equal part of a limit one gateway may use, since
callers are distributed unevenly."""

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
        rate = max(self.rate, MIN_RATE)
        burst = BURST if self.rate >= MIN_RATE else MIN_RATE_BURST
        part = min(1.0, MAX_SHARE_FACTOR / senders) if senders else 0.0
        self._total.set_rate(rate, burst, now)
        self._own_part.set_rate(rate * part, burst, now)

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

    def record_peer_count(
        self, peer: str, count: PeerCount, now: datetime.datetime
    ) -> None:
        """Count the requests that a peer sent since its last report."""
        known = self._peer_counts.get(peer)
        self._peer_counts[peer] = count
        before = 0
        if known is not None and known.incarnation == count.incarnation:
            before = known.sent
        self._debit(max(0, count.sent - before), now)

    def _debit(self, count: int, now: datetime.datetime) -> None:
        if self.rate is None:
            return
        max_debt = max(BURST, self.rate * MAX_DEBT_DURATION_S)
        self._total.debit(count, now, max_debt=max_debt)
