"""Keeps endpoints' rate limits together with the other gateways.

An endpoint may state in its responses how many requests a second it takes
from all gateways together.  No gateway can tell from its own requests how much
of that is used, and each would find the endpoint idle.  Therefore:

* Only some gateways use a limited endpoint, those of its zone first.  All
  gateways choose the same ones, by rendezvous hashing.
* These tell each other how many requests they sent, in peer updates.  Each
  takes its own and the others' from a bucket that fills at the stated rate.
  Their number is bounded, so that few requests exceed the rate if several
  send before the updates arrive.
* None uses more than a multiple of its equal part, so that the total is
  bounded also while updates are lost.

Safety does not rest on one clock: statements carry their age.
"""

from collections import abc
import dataclasses
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.kernel import token_bucket
from aspenfold._internal.observability import events
from aspenfold._internal.routing import subset

MIN_SENDERS = 3
"""Gateways that may use an endpoint whatever its limit, so that one of them
has a request for it."""

BURST = 2.0
"""Requests that an idle endpoint may get at once."""

MAX_SHARE_FACTOR = 3.0
"""How much more than its equal part of a limit one gateway may use, since
callers are distributed unevenly."""

MAX_DEBT_DURATION_S = 4.0
"""Requests over the limit delay later ones by at most this, in seconds."""

MIN_RATE = 0.2
"""Requests a second that are sent to an endpoint with a lower limit, so that
the gateways learn when it ends."""

LIFTED_REPORT_DURATION = datetime.timedelta(seconds=5)
"""How long peers are told that an endpoint has no limit any more."""

MAX_REPORTS = 8
"""Endpoints in one peer update, to bound its size; the latest changes."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What one gateway tells its peers about a limited endpoint.

    ``rate`` is the limit that the endpoint stated to it ``age`` ago, None if
    it stated none; ``age`` is None if it got no response.  ``sent`` is how
    many requests it sent to the endpoint while that was limited.
    """

    rate: float | None
    age: datetime.timedelta | None
    sent: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """A limit that an endpoint stated, and when."""

    rate: float | None
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PeerCount:
    """What a peer's process has sent to an endpoint so far."""

    incarnation: str
    sent: int


class RateLimit:
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
        self._peer_counts: dict[str, _PeerCount] = {}
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
        part = min(1.0, MAX_SHARE_FACTOR / senders) if senders else 0.0
        self._total.set_rate(rate, BURST, now)
        self._own_part.set_rate(rate * part, BURST, now)

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
        self, peer: str, count: _PeerCount, now: datetime.datetime
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


class RateLimits:
    """Decides which limited endpoints this gateway may use, and when."""

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        endpoint_directory: directory.Directory,
    ) -> None:
        """``host`` and ``zone`` are this gateway's."""
        self._host = host
        self._zone = zone
        self._directory = endpoint_directory
        self._gateway_zones = {host: zone}
        self._limits: dict[str, RateLimit] = {}

    def rate(self, endpoint: str) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        known = self._limits.get(endpoint)
        return None if known is None else known.rate

    def count(self) -> int:
        """Return how many endpoints state a limit."""
        return sum(known.rate is not None for known in self._limits.values())

    def may_send(self, endpoint: str, now: datetime.datetime) -> bool:
        """Return whether this gateway may use an endpoint now."""
        known = self._limits.get(endpoint)
        return known is None or known.may_send(now)

    def wait(
        self, endpoint: str, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the time until an endpoint takes another request.

        Another gateway may be the one that may send it.
        """
        known = self._limits.get(endpoint)
        return datetime.timedelta(0) if known is None else known.wait(now)

    def record_sent(self, endpoint: str, now: datetime.datetime) -> None:
        """Count a request that is about to be sent."""
        known = self._limits.get(endpoint)
        if known is not None:
            known.record_sent(now)

    def record_statement(
        self,
        endpoint: directory.Endpoint,
        rate: float | None,
        *,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Record what a response to a request of this gateway states.

        ``rate`` is None if it states no limit; ``sent_at`` is when the
        request was sent.
        """
        known = self._limits.get(endpoint.name)
        if known is None:
            if rate is None:
                return
            known = self._add(endpoint, now)
        if rate is None and known.newest and sent_at <= known.newest.at:
            # The endpoint may have responded before it stated the limit.
            return
        known.own = Statement(rate=rate, at=now)
        self._apply(endpoint.name, known, known.own, now, source=self._host)

    def receive(
        self,
        peer: str,
        incarnation: str,
        reports: abc.Mapping[str, Report],
        now: datetime.datetime,
    ) -> None:
        """Apply the reports of a peer's process on known endpoints."""
        for name, report in reports.items():
            endpoint = self._directory.get(name)
            if endpoint is None:
                continue
            known = self._limits.get(name) or self._add(endpoint, now)
            if report.age is not None:
                statement = Statement(rate=report.rate, at=now - report.age)
                if known.newest is None or statement.at > known.newest.at:
                    self._apply(name, known, statement, now, source=peer)
            count = _PeerCount(incarnation=incarnation, sent=report.sent)
            known.record_peer_count(peer, count, now)

    def set_gateways(
        self, zones: abc.Mapping[str, str], now: datetime.datetime
    ) -> None:
        """Set the zones of the other gateways that are alive, by host."""
        gateway_zones = {**zones, self._host: self._zone}
        if gateway_zones == self._gateway_zones:
            return
        self._gateway_zones = gateway_zones
        for name, known in self._limits.items():
            known.set_senders(self._count_senders(name, known), now)

    def forget_removed(self) -> None:
        """Forget endpoints that are not in the directory any more."""
        for name in list(self._limits):
            if self._directory.get(name) is None:
                del self._limits[name]

    def reports(self, now: datetime.datetime) -> dict[str, Report]:
        """Return what to tell peers, by endpoint."""
        names = [
            name
            for name, known in self._limits.items()
            if known.rate is not None
            or now - known.changed_at < LIFTED_REPORT_DURATION
        ]
        names.sort(key=lambda name: self._limits[name].changed_at)
        return {
            name: self._report(self._limits[name], now)
            for name in sorted(names[-MAX_REPORTS:])
        }

    def _report(self, known: RateLimit, now: datetime.datetime) -> Report:
        if known.own is None:
            return Report(rate=None, age=None, sent=known.sent)
        age = now - known.own.at
        return Report(rate=known.own.rate, age=age, sent=known.sent)

    def _add(
        self, endpoint: directory.Endpoint, now: datetime.datetime
    ) -> RateLimit:
        known = RateLimit(zone=endpoint.zone, now=now)
        self._limits[endpoint.name] = known
        return known

    def _apply(
        self,
        name: str,
        known: RateLimit,
        statement: Statement,
        now: datetime.datetime,
        *,
        source: str,
    ) -> None:
        """Make a statement the newest; log it if the limit changes."""
        before = known.rate
        known.newest = statement
        if statement.rate == before:
            return
        known.changed_at = now
        known.set_senders(self._count_senders(name, known), now)
        events.emit(
            events.Event.ENDPOINT_LIMITED,
            endpoint=name,
            before=before,
            rate_limit=statement.rate,
            senders=known.senders,
            told_by=source,
        )

    def _count_senders(self, name: str, known: RateLimit) -> int:
        """Return how many gateways use an endpoint, 0 without this one."""
        if known.rate is None:
            return 0
        zones = self._gateway_zones

        def rank(host: str) -> tuple[bool, int]:
            return zones[host] != known.zone, -subset.score(name, host)

        senders = sorted(zones, key=rank)[: MIN_SENDERS + int(known.rate)]
        return len(senders) if self._host in senders else 0
