"""What a gateway knows of endpoints, and which may get a request.

Knowledge comes from the platform's list, which lags, and from the
endpoints' own answers.  What was once learnt as leaving stays leaving
for that incarnation: an incarnation's name is never used again.
"""

from collections import abc
import dataclasses
import datetime

from aspenfold._internal.observability import events

UNREACHABLE_PAUSE = datetime.timedelta(milliseconds=800)
"""How long an endpoint that refused a connection is passed over: about
one reading of the list, which then tells whether it is gone."""

FAILURE_PAUSE = datetime.timedelta(milliseconds=500)
"""First pause of an endpoint whose last answers were failures."""

FAILURES_BEFORE_PAUSE = 2
"""Failures in a row that a sound endpoint hardly ever shows."""

MAX_FAILURE_PAUSE = datetime.timedelta(seconds=4)

STORE_RECOVERY_TIMEOUT = datetime.timedelta(seconds=2)
"""How long after the store's return endpoints whose entries lapsed
meanwhile have to register again; the platform says about 2 s."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """An endpoint as the platform's list has it."""

    name: str
    service: str
    host: str
    port: int
    zone: str
    capacity: int
    draining: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """An endpoint's own word on its load, of all callers."""

    running: int
    waiting: int
    capacity: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint, and what gateways sent it.

    ``in_flight`` is this gateway's own, ``elsewhere`` what its peers
    told of theirs, ``load`` the endpoint's word on all of it.  It takes
    ``pace`` times as long for its work as others do.  ``group`` is the
    group of ranks that it is in, empty while that is not known.
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

    @property
    def name(self) -> str:
        """The incarnation's name."""
        return self.listing.name

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self.listing.zone

    @property
    def pressure(self) -> float:
        """Work there over capacity, as far as this gateway can tell."""
        seen = self.in_flight + self.peer_in_flight
        if self.load is not None and not self.peer_in_flight:
            told = self.load.running + self.load.waiting
            seen = max(seen, told + self.in_flight - self.in_flight_at_load)
        return seen * self.slowdown / self.listing.capacity

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would start at once."""
        return self.pressure <= 1.0 - 1.0 / self.listing.capacity

    def update_load(self, load: Load) -> None:
        """Take the endpoint's word on its load."""
        self.load = load
        self.in_flight_at_load = self.in_flight


class Directory:
    """All endpoints by name; decides which may be sent to."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, name: str) -> Endpoint | None:
        """Return the endpoint if it is known and not gone."""
        return self._endpoints.get(name)

    def of_service(self, service: str) -> abc.Sequence[Endpoint]:
        """Return all known endpoints of a service."""
        return self._by_service.get(service, ())

    def in_flight(self) -> dict[str, int]:
        """Return what this gateway has in flight, by endpoint."""
        return {
            e.name: e.in_flight
            for e in self._endpoints.values()
            if e.in_flight
        }

    def set_slowdowns(self, paces: abc.Mapping[str, float]) -> None:
        """Take which endpoints are slow, and how much; others are not."""
        for endpoint in self._endpoints.values():
            endpoint.slowdown = paces.get(endpoint.name, 1.0)

    def names(self) -> list[str]:
        """Return the names of all known endpoints."""
        return list(self._endpoints)

    # -- from the platform's list ----------------------------------------

    def update_listing(self, listing: Listing) -> bool:
        """Take an entry of the list; return whether it changed much."""
        known = self._endpoints.get(listing.name)
        if known is None:
            known = Endpoint(listing=listing, leaving=listing.draining)
            self._endpoints[listing.name] = known
            self._index()
            return True
        known.missing_since = None
        changed = listing.draining and not known.leaving
        known.leaving = known.leaving or listing.draining
        known.listing = listing
        return changed

    def remove_listing(
        self, name: str, now: datetime.datetime, *, store_available: bool
    ) -> bool:
        """An entry has left the list; return whether that is news.

        While the store is not sound, entries of live endpoints lapse;
        such an endpoint stays in use until :meth:`settle`.
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
        self, now: datetime.datetime, returned: datetime.datetime
    ) -> list[str]:
        """Forget what is still missing after the store's return."""
        if now - returned < STORE_RECOVERY_TIMEOUT:
            return []
        lost = [
            e.name
            for e in self._endpoints.values()
            if e.missing_since is not None
        ]
        for name in lost:
            self._forget(name)
        return lost

    def _forget(self, name: str) -> None:
        if self._endpoints.pop(name, None) is not None:
            self._index()

    def _index(self) -> None:
        index: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            index.setdefault(endpoint.listing.service, []).append(endpoint)
        self._by_service = index

    # -- from endpoints themselves ---------------------------------------

    def record_replacement(self, endpoint: Endpoint) -> None:
        """Another incarnation answers at its address."""
        self._forget(endpoint.name)

    def record_unreachable(
        self, endpoint: Endpoint, now: datetime.datetime
    ) -> None:
        """It refused a connection or did not answer one."""
        self._pause(endpoint, now + UNREACHABLE_PAUSE, 'unreachable')

    def record_failure(
        self, endpoint: Endpoint, now: datetime.datetime
    ) -> None:
        """A request there was lost or answered with a failure."""
        endpoint.failures += 1
        over = endpoint.failures - FAILURES_BEFORE_PAUSE
        if over >= 0:
            wait = min(MAX_FAILURE_PAUSE, FAILURE_PAUSE * 2 ** min(over, 4))
            self._pause(endpoint, now + wait, 'failing')

    def record_success(self, endpoint: Endpoint) -> None:
        """It gave a whole answer."""
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

    # -- choice ----------------------------------------------------------

    def routable(
        self,
        service: str,
        now: datetime.datetime,
        avoid: abc.Container[str] = (),
    ) -> list[Endpoint]:
        """Return endpoints that may get a request, the better ones first.

        Those that are leaving never may.  Paused ones may only if no
        other is left: a pause is a guess.
        """
        usable = [
            e
            for e in self._by_service.get(service, ())
            if not e.leaving and e.name not in avoid
        ]
        sound = [
            e
            for e in usable
            if e.paused_until is None or e.paused_until <= now
        ]
        return sound or usable
