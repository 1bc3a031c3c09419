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
from aspenfold._internal.gateway import endpoint_rate_limit
from aspenfold._internal.observability import events
from aspenfold._internal.routing import subset

MIN_SENDERS = 3
"""Gateways that may use an endpoint whatever its limit, so that one of them
has a request for it."""

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
        self._limited: dict[str, directory.Endpoint] = {}

    def rate(self, endpoint: str) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        known = self._get(endpoint)
        return None if known is None else known.rate

    def count(self) -> int:
        """Return how many endpoints state a limit."""
        return sum(known.rate is not None for _, known in self._known())

    def may_send(self, endpoint: str, now: datetime.datetime) -> bool:
        """Return whether this gateway may use an endpoint now."""
        known = self._get(endpoint)
        return known is None or known.may_send(now)

    def record_sent(self, endpoint: str, now: datetime.datetime) -> None:
        """Count a request that is about to be sent."""
        known = self._get(endpoint)
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
        if self._directory.get(endpoint.name) is not endpoint:
            # The endpoint is gone or was started anew since.
            return
        known = endpoint.rate_limit
        if known is None:
            if rate is None:
                return
            known = self._add(endpoint, now)
        if rate is None and known.newest and sent_at <= known.newest.at:
            # The endpoint may have responded before it stated the limit.
            return
        known.own = endpoint_rate_limit.Statement(rate=rate, at=now)
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
            known = endpoint.rate_limit or self._add(endpoint, now)
            if report.age is not None:
                statement = endpoint_rate_limit.Statement(
                    rate=report.rate, at=now - report.age
                )
                if known.newest is None or statement.at > known.newest.at:
                    self._apply(name, known, statement, now, source=peer)
            count = endpoint_rate_limit.PeerCount(
                incarnation=incarnation, sent=report.sent
            )
            known.record_peer_count(peer, count, now)

    def set_gateways(
        self, zones: abc.Mapping[str, str], now: datetime.datetime
    ) -> None:
        """Set the zones of the other gateways that are alive, by host."""
        gateway_zones = {**zones, self._host: self._zone}
        if gateway_zones == self._gateway_zones:
            return
        self._gateway_zones = gateway_zones
        for name, known in self._known():
            known.set_senders(self._count_senders(name, known), now)

    def forget_removed(self) -> None:
        """Forget the limits of endpoints that are not in the directory.

        The directory remembers these endpoints, but peers are not told of
        their limits meanwhile.
        """
        for name, endpoint in list(self._limited.items()):
            if self._directory.get(name) is not endpoint:
                endpoint.rate_limit = None
                del self._limited[name]

    def reports(self, now: datetime.datetime) -> dict[str, Report]:
        """Return what to tell peers, by endpoint."""
        recent = [
            (name, known)
            for name, known in self._known()
            if known.rate is not None
            or now - known.changed_at < LIFTED_REPORT_DURATION
        ]
        recent.sort(key=lambda one: one[1].changed_at)
        return {
            name: self._report(known, now)
            for name, known in sorted(recent[-MAX_REPORTS:])
        }

    def _get(
        self, endpoint: str
    ) -> endpoint_rate_limit.EndpointRateLimit | None:
        known = self._directory.get(endpoint)
        return None if known is None else known.rate_limit

    def _known(
        self,
    ) -> abc.Iterator[tuple[str, endpoint_rate_limit.EndpointRateLimit]]:
        """Yield the names and limits of endpoints that stated one."""
        for name, endpoint in self._limited.items():
            if endpoint.rate_limit is not None:
                yield name, endpoint.rate_limit

    def _report(
        self,
        known: endpoint_rate_limit.EndpointRateLimit,
        now: datetime.datetime,
    ) -> Report:
        if known.own is None:
            return Report(rate=None, age=None, sent=known.sent)
        age = now - known.own.at
        return Report(rate=known.own.rate, age=age, sent=known.sent)

    def _add(
        self, endpoint: directory.Endpoint, now: datetime.datetime
    ) -> endpoint_rate_limit.EndpointRateLimit:
        known = endpoint_rate_limit.EndpointRateLimit(
            zone=endpoint.zone, now=now
        )
        endpoint.rate_limit = known
        self._limited[endpoint.name] = endpoint
        return known

    def _apply(
        self,
        name: str,
        known: endpoint_rate_limit.EndpointRateLimit,
        statement: endpoint_rate_limit.Statement,
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

    def _count_senders(
        self, name: str, known: endpoint_rate_limit.EndpointRateLimit
    ) -> int:
        """Return how many gateways use an endpoint, 0 without this one."""
        if known.rate is None:
            return 0
        zones = self._gateway_zones

        def rank(host: str) -> tuple[bool, int]:
            return zones[host] != known.zone, -subset.score(name, host)

        senders = sorted(zones, key=rank)[: MIN_SENDERS + int(known.rate)]
        return len(senders) if self._host in senders else 0
