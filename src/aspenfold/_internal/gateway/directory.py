"""State of the endpoints and the choice of those that may get requests.

The state comes from the platform's list, which lags, and from responses
of the endpoints.  An endpoint that was seen as leaving stays so.  Its entry
may be removed and come back, so that what is known of it is kept.
"""

from collections import abc
import dataclasses
import datetime

from aspenfold._internal.gateway import endpoint_backoff
from aspenfold._internal.gateway import endpoint_rate_limit
from aspenfold._internal.gateway import send_permission
from aspenfold._internal.kernel import clock
from aspenfold._internal.observability import events

UNREACHABLE_PAUSE = datetime.timedelta(milliseconds=800)
"""Pause of an endpoint after a failed connection, about one poll of the
list, which shows whether the endpoint has gone."""

FAILURE_PAUSE = datetime.timedelta(milliseconds=500)
"""First pause of an endpoint after failed requests; doubled each time."""

FAILURES_BEFORE_PAUSE = 2
"""Consecutive failures after which an endpoint is paused."""

MAX_FAILURE_PAUSE = datetime.timedelta(seconds=4)

STORE_RECOVERY_TIMEOUT = datetime.timedelta(seconds=2)
"""Time after the last failed store call in which endpoints whose entries
expired register again; the platform names about 2 s."""

MAX_REMOVED = 1024
"""Removed endpoints that are remembered, the latest ones."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """An endpoint's entry in the platform's list.

    ``started_ms`` tells the starts of one endpoint apart: it is the Unix
    time of this one in milliseconds by the endpoint's clock, None if that is
    not known.  ``unknown_fields`` of the entry were not read.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    capacity: int
    draining: bool
    started_ms: int | None = None
    unknown_fields: tuple[str, ...] = ()

    @property
    def incarnation(self) -> str:
        """The name of this start, if starts can be told apart."""
        if self.started_ms is None:
            return self.name
        return f'{self.name}@{self.started_ms}'

    @property
    def address(self) -> tuple[str, int]:
        """The IP address and the port."""
        return self.host, self.port

    def replaces(self, other: 'Listing') -> bool:
        """Return whether ``other`` has ended, as this one has its place."""
        if self.name == other.name:
            return self.is_later_start(other)
        return self.address == other.address

    def is_later_start(self, other: 'Listing') -> bool:
        """Return whether the endpoint was started anew since ``other``."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms > other.started_ms


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """The load that an endpoint reports: its requests from all gateways."""

    running: int
    waiting: int
    capacity: int

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would start immediately."""
        return self.running + self.waiting < self.capacity


@dataclasses.dataclass(kw_only=True, slots=True)
class Endpoint:
    """One start of an endpoint, and what is known of it.

    ``in_flight`` counts this gateway's requests, ``peer_in_flight`` those
    reported by other gateways; ``load`` is what the endpoint reports, and
    ``in_flight_at_load`` the value of ``in_flight`` at that time.  It
    takes ``slowdown`` times as long for its work as normal.  ``group`` is
    its group of ranks, empty while that is not known.  Since
    ``missing_since`` it has no entry in the list.  ``rate_limit`` is kept by
    :class:`rate_limits.RateLimits`, None if the endpoint never stated one.
    ``backoff`` is the time in which it wants no requests.
    """

    listing: Listing
    leaving: bool = False
    missing_since: datetime.datetime | None = None
    paused_until: datetime.datetime | None = None
    failures: int = 0
    in_flight: int = 0
    load: Load | None = None
    in_flight_at_load: int = 0
    peer_in_flight: int = 0
    slowdown: float = 1.0
    group: str = ''
    rate_limit: endpoint_rate_limit.EndpointRateLimit | None = None
    backoff: endpoint_backoff.EndpointBackoff = dataclasses.field(
        default_factory=endpoint_backoff.EndpointBackoff
    )

    @property
    def name(self) -> str:
        """The name of the incarnation."""
        return self.listing.name

    @property
    def zone(self) -> str:
        """The availability zone."""
        return self.listing.zone

    @property
    def pressure(self) -> float:
        """Estimated requests, weighted by the slowdown, over the capacity."""
        requests = self.in_flight + self.peer_in_flight
        if self.load is not None and not self.peer_in_flight:
            reported = self.load.running + self.load.waiting
            requests = max(
                requests, reported + self.in_flight - self.in_flight_at_load
            )
        return requests * self.slowdown / self.listing.capacity

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would start immediately."""
        return self.pressure <= 1.0 - 1.0 / self.listing.capacity

    def permission(self, now: datetime.datetime) -> send_permission.Permission:
        """Return whether this gateway may send to the endpoint now."""
        if self.leaving:
            return send_permission.Permission(
                obstacle=send_permission.Obstacle.LEAVING
            )
        limit, backoff = self.rate_limit, self.backoff.wait(now)
        if backoff:
            return send_permission.Permission(
                obstacle=send_permission.Obstacle.BACKOFF, until=now + backoff
            )
        if limit is not None and not limit.may_send(now):
            return send_permission.Permission(
                obstacle=send_permission.Obstacle.RATE_LIMIT,
                until=now + limit.wait(now),
            )
        if self.paused_until is not None and self.paused_until > now:
            return send_permission.Permission(
                obstacle=send_permission.Obstacle.PAUSE,
                until=self.paused_until,
            )
        return send_permission.GRANTED

    def is_withdrawn(self, now: datetime.datetime) -> bool:
        """Return whether it asked for no requests, be it for a while."""
        return self.leaving or bool(self.backoff.wait(now))

    def update_load(self, load: Load) -> None:
        """Store the load that the endpoint reported."""
        self.load = load
        self.in_flight_at_load = self.in_flight


class Directory:
    """Holds all endpoints by name and selects those that may get requests.

    ``on_start_ended`` is called with an endpoint once the list shows that
    another start has taken its place, and with the listing of that.
    """

    def __init__(self) -> None:
        self.on_start_ended: abc.Callable[[Endpoint, Listing], None] = _ignore
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._by_address: dict[tuple[str, int], Endpoint] = {}
        self._removed: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint, None if it is not known."""
        return self._endpoints.get(name)

    def of_service(self, service: str) -> abc.Sequence[Endpoint]:
        """Return all known endpoints of a service."""
        return self._by_service.get(service, ())

    def in_flight(self) -> dict[str, int]:
        """Return the numbers of this gateway's requests in flight by endpoint.

        Endpoints without any are omitted.
        """
        return {
            e.name: e.in_flight
            for e in self._endpoints.values()
            if e.in_flight
        }

    def set_slowdowns(self, slowdowns: abc.Mapping[str, float]) -> None:
        """Set the slowdowns of slow endpoints by name; reset all others."""
        for endpoint in self._endpoints.values():
            endpoint.slowdown = slowdowns.get(endpoint.name, 1.0)

    def count_backed_off(self, now: datetime.datetime) -> int:
        """Return how many endpoints want no requests for a while."""
        return sum(bool(e.backoff.wait(now)) for e in self._endpoints.values())

    def count_leaving(self) -> int:
        """Return how many endpoints will stop soon."""
        return sum(e.leaving for e in self._endpoints.values())

    def names(self) -> list[str]:
        """Return the names of all known endpoints."""
        return list(self._endpoints)

    def update_listing(self, listing: Listing) -> bool:
        """Apply an entry of the list.

        Return whether the endpoint is new, was started anew or has started
        to drain.  Nothing is known of a new start, and entries of an earlier
        one are ignored.
        """
        known = self._endpoints.get(listing.name)
        if known is None or listing.is_later_start(known.listing):
            self._add(listing)
            return True
        if known.listing.is_later_start(listing):
            return False
        known.missing_since = None
        changed = listing.draining and not known.leaving
        known.leaving = known.leaving or listing.draining
        known.listing = listing
        return changed

    def remove_listing(
        self, name: str, now: datetime.datetime, *, store_available: bool
    ) -> bool:
        """Apply the removal of an entry; return whether it was forgotten.

        While the store is not available, entries of live endpoints
        expire; such an endpoint stays in use until :meth:`remove_missing`.
        """
        known = self._endpoints.get(name)
        if known is None:
            return False
        if not store_available and not known.leaving:
            if known.missing_since is None:
                known.missing_since = now
            return False
        self._forget(name)
        return True

    def remove_missing(
        self, now: datetime.datetime, failed_at: datetime.datetime
    ) -> list[str]:
        """Forget endpoints that did not register again after a store outage.

        ``failed_at`` is the time of the last failed store call.  Return the
        names of the endpoints.
        """
        if now - failed_at < STORE_RECOVERY_TIMEOUT:
            return []
        missing = [
            e.name
            for e in self._endpoints.values()
            if e.missing_since is not None
        ]
        for name in missing:
            self._forget(name)
        return missing

    def _add(self, listing: Listing) -> None:
        """Add an endpoint, with what was known of it before its removal."""
        endpoint = self._removed.pop(listing.name, None)
        self._report_replaced(listing, endpoint)
        if endpoint is None or listing.is_later_start(endpoint.listing):
            endpoint = Endpoint(listing=listing)
        endpoint.listing = listing
        endpoint.leaving = endpoint.leaving or listing.draining
        endpoint.missing_since = None
        # Updates of peers were not applied meanwhile.
        endpoint.peer_in_flight = 0
        self._endpoints[listing.name] = endpoint
        self._by_address[listing.address] = endpoint
        self._index()

    def _report_replaced(
        self, listing: Listing, removed: Endpoint | None
    ) -> None:
        """Report the starts whose name or address a new one has."""
        known = self._endpoints.get(listing.name, removed)
        holder = self._by_address.get(listing.address)
        for endpoint in (known, holder):
            if endpoint is not None and listing.replaces(endpoint.listing):
                self.on_start_ended(endpoint, listing)

    def _forget(self, name: str) -> None:
        endpoint = self._endpoints.pop(name, None)
        if endpoint is None:
            return
        self._index()
        self._removed[name] = endpoint
        if len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            if self._by_address.get(oldest.listing.address) is oldest:
                del self._by_address[oldest.listing.address]

    def _index(self) -> None:
        index: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            index.setdefault(endpoint.listing.service, []).append(endpoint)
        self._by_service = index

    def record_replacement(self, endpoint: Endpoint) -> None:
        """Forget an endpoint whose address another incarnation uses."""
        self._forget(endpoint.name)

    def record_unreachable(
        self, endpoint: Endpoint, now: datetime.datetime
    ) -> None:
        """Pause an endpoint after a connection to it failed."""
        self._pause(endpoint, now + UNREACHABLE_PAUSE, 'unreachable')

    def record_failure(
        self, endpoint: Endpoint, now: datetime.datetime
    ) -> None:
        """Count a failed request; pause the endpoint after several."""
        endpoint.failures += 1
        excess = endpoint.failures - FAILURES_BEFORE_PAUSE
        if excess >= 0:
            self._pause(endpoint, now + _failure_pause(excess), 'failing')

    def record_refusal(
        self, endpoint: Endpoint, load: Load | None, now: datetime.datetime
    ) -> None:
        """Pause an endpoint that refused a request although it is idle.

        As it runs nothing, it would be the first choice for the next one.
        ``load`` is what it reported with the refusal.
        """
        if load is None or not load.has_free_slot:
            return
        endpoint.failures += 1
        pause = _failure_pause(endpoint.failures - 1)
        self._pause(endpoint, now + pause, 'refusing')

    def record_backoff(
        self,
        endpoint: Endpoint,
        retry_after: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Send an endpoint that refused no requests for ``retry_after``."""
        if endpoint.backoff.record_refusal(retry_after, now):
            events.emit(
                events.Event.ENDPOINT_BACKOFF,
                endpoint=endpoint.name,
                retry_after_ms=clock.to_ms(retry_after),
            )

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Send no more requests to an endpoint that will stop soon."""
        if endpoint.leaving:
            return
        endpoint.leaving = True
        events.emit(events.Event.ENDPOINT_LEAVING, endpoint=endpoint.name)

    def record_success(self, endpoint: Endpoint) -> None:
        """Reset the count of failures after a complete response."""
        endpoint.failures = 0

    def _pause(
        self, endpoint: Endpoint, until: datetime.datetime, reason: str
    ) -> None:
        known = endpoint.paused_until
        if known is not None and known >= until:
            return
        endpoint.paused_until = until
        events.emit(
            events.Event.ENDPOINT_DOUBTED,
            endpoint=endpoint.name,
            reason=reason,
            failures=endpoint.failures,
        )

    def routable(
        self,
        service: str,
        now: datetime.datetime,
        avoid: abc.Container[str] = (),
    ) -> list[Endpoint]:
        """Return the endpoints of a service that may get a request.

        Endpoints in ``avoid`` are excluded.  Paused ones are returned only
        if there are no others.
        """
        granted: list[Endpoint] = []
        paused: list[Endpoint] = []
        for endpoint in self._by_service.get(service, ()):
            if endpoint.name in avoid:
                continue
            obstacle = endpoint.permission(now).obstacle
            if obstacle is None:
                granted.append(endpoint)
            elif obstacle is send_permission.Obstacle.PAUSE:
                paused.append(endpoint)
        return granted or paused

    def next_permission(
        self, service: str, now: datetime.datetime
    ) -> send_permission.Permission | None:
        """Return the permission of the endpoint that may be used first.

        Return None if none will be used again or there are none.
        """
        if self.routable(service, now):
            return send_permission.GRANTED
        permissions = [
            e.permission(now) for e in self._by_service.get(service, ())
        ]
        return min(
            (p for p in permissions if p.until is not None),
            key=lambda p: p.until or now,
            default=None,
        )


def _ignore(endpoint: Endpoint, successor: Listing) -> None:
    pass


def _failure_pause(previous: int) -> datetime.timedelta:
    """Return the pause of an endpoint that was paused ``previous`` times."""
    return min(MAX_FAILURE_PAUSE, FAILURE_PAUSE * 2 ** min(previous, 4))
