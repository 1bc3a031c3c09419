"""State of the endpoints and the choice of those that may get requests.

The state comes from the platform's list, which lags, and from responses
of the endpoints.  An endpoint that was seen as leaving stays so.  Its entry
may be removed and come back, so that what is known of it is kept.
"""

from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal.gateway import endpoint_backoff
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import endpoint_rate_limit
from aspenfold._internal.gateway import listing_checks
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
    ``backoff`` is the time in which it wants no requests.  Of the endpoints
    ``disputed_by`` name, which were listed before, any may have its address.
    """

    listing: endpoint_listing.Listing
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
    disputed_by: set[str] = dataclasses.field(default_factory=set)
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


class StartObserver(typing.Protocol):
    """Is told which starts of endpoints the list speaks against."""

    def on_later_start(
        self, endpoint: Endpoint, later: endpoint_listing.Listing
    ) -> None:
        """Handle an entry of a later start of ``endpoint``."""

    def on_address_conflict(
        self, endpoint: Endpoint, claimant: Endpoint
    ) -> None:
        """Handle an entry of ``claimant``, at the address of ``endpoint``.

        If that is listed, too, it disputes the claimant until
        :meth:`Directory.end_dispute`.
        """


class _NoObserver:
    def on_later_start(
        self, endpoint: Endpoint, later: endpoint_listing.Listing
    ) -> None:
        """Do nothing."""

    def on_address_conflict(
        self, endpoint: Endpoint, claimant: Endpoint
    ) -> None:
        """Do nothing."""


class Directory:
    """Holds all endpoints by name and selects those that may get requests.

    An entry may have been written by anyone, so that it doesn't show the end
    of another endpoint, or of an earlier start; ``observer`` finds that out.
    """

    def __init__(self) -> None:
        self.observer: StartObserver = _NoObserver()
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        # Names of listed and of removed endpoints.
        self._by_address: dict[tuple[str, int], set[str]] = {}
        self._removed: dict[str, Endpoint] = {}
        self._checks = listing_checks.ListingChecks()

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint, None if it is not known."""
        return self._endpoints.get(name)

    def of_service(self, service: str) -> abc.Sequence[Endpoint]:
        """Return the endpoints of a service, but for those in a dispute."""
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

    def update_listing(self, listing: endpoint_listing.Listing) -> bool:
        """Apply an entry of the list.

        Return whether the endpoint is new, was started anew or has started
        to drain.  Nothing is known of a new start.  An entry that contradicts
        the known one is ignored until it is repeated.
        """
        known = self._endpoints.get(listing.name)
        stated = None if known is None else known.listing
        if known is not None and stated == listing:
            # As nearly each entry: endpoints write theirs each second.
            self._checks.confirm(listing.name)
            known.missing_since = None
            return False
        if not self._checks.accept(listing, stated):
            self._log_contradiction(listing)
            return False
        if known is None or listing.is_later_start(known.listing):
            self._add(listing)
            return True
        known.missing_since = None
        changed = listing.draining and not known.leaving
        known.leaving = known.leaving or listing.draining
        has_moved = known.listing.address != listing.address
        self._relist(known, listing)
        if has_moved:
            self._report_conflicts(known)
        self._index()
        return changed

    def has_set_aside(self, name: str) -> bool:
        """Return whether the last entry of this name was ignored."""
        return self._checks.has_set_aside(name)

    def _log_contradiction(self, listing: endpoint_listing.Listing) -> None:
        events.emit(
            events.Event.ENTRY_SET_ASIDE,
            endpoint=listing.name,
            service=listing.service,
            address=f'{listing.host}:{listing.port}',
            started_ms=listing.started_ms,
            draining=listing.draining,
        )

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

    def _add(self, listing: endpoint_listing.Listing) -> None:
        """Add an endpoint, with what was known of it before its removal."""
        known = self._endpoints.get(listing.name)
        endpoint = known or self._removed.pop(listing.name, None)
        if endpoint is not None and listing.is_later_start(endpoint.listing):
            self._relist(endpoint, None)
            self.observer.on_later_start(endpoint, listing)
            endpoint = None
        if endpoint is None:
            endpoint = Endpoint(listing=listing)
        endpoint.leaving = endpoint.leaving or listing.draining
        endpoint.missing_since = None
        # Updates of peers were not applied meanwhile.
        endpoint.peer_in_flight = 0
        self._endpoints[listing.name] = endpoint
        self._relist(endpoint, listing)
        self._report_conflicts(endpoint)
        self._index()

    def _relist(
        self, endpoint: Endpoint, listing: endpoint_listing.Listing | None
    ) -> None:
        """Give an endpoint its new entry, or with None only forget the old."""
        names = self._by_address.get(endpoint.listing.address, set())
        names.discard(endpoint.name)
        if not names:
            self._by_address.pop(endpoint.listing.address, None)
        if listing is None:
            return
        endpoint.listing = listing
        self._by_address.setdefault(listing.address, set()).add(listing.name)

    def _report_conflicts(self, claimant: Endpoint) -> None:
        """Report the endpoints that had the address of a new one."""
        holders = self._by_address[claimant.listing.address] - {claimant.name}
        claimant.disputed_by = {
            name
            for name in holders
            if name in self._endpoints
            and not self._endpoints[name].disputed_by
        }
        for name in sorted(holders):
            holder = self._endpoints.get(name) or self._removed[name]
            self.observer.on_address_conflict(holder, claimant)

    def end_dispute(self, claimant: Endpoint, holder: str) -> None:
        """Let a claimant get requests, unless others dispute it."""
        if holder in claimant.disputed_by:
            claimant.disputed_by.discard(holder)
            self._index()

    def _forget(self, name: str) -> None:
        endpoint = self._endpoints.pop(name, None)
        if endpoint is None:
            return
        for claimant in self._by_address[endpoint.listing.address]:
            if claimant in self._endpoints:
                self._endpoints[claimant].disputed_by.discard(name)
        self._index()
        self._removed[name] = endpoint
        if len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._relist(oldest, None)

    def _index(self) -> None:
        index: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            if not endpoint.disputed_by:
                service = endpoint.listing.service
                index.setdefault(service, []).append(endpoint)
        self._by_service = index

    def record_replacement(self, endpoint: Endpoint) -> None:
        """Forget an endpoint whose address another incarnation uses.

        A later start of it, which may be elsewhere, stays.
        """
        if self._endpoints.get(endpoint.name) is endpoint:
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


def _failure_pause(previous: int) -> datetime.timedelta:
    """Return the pause of an endpoint that was paused ``previous`` times."""
    return min(MAX_FAILURE_PAUSE, FAILURE_PAUSE * 2 ** min(previous, 4))
