"""Endpoints that ask for no requests for a while, and gateways that use them.

Runs the real directory, routing policy, retry budget and backoff of each
gateway, or a backoff to compare it with, on a driven clock.
"""

import collections
from collections import abc
import dataclasses
import datetime
import heapq
import itertools
import random

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_backoff
from aspenfold._internal.gateway import peers
from aspenfold._internal.kernel import clock
from aspenfold._internal.retries import shared_budget
from aspenfold._internal.routing import two_choices
from tests.lib import listings
from tests.lib import retry_after_rule

SECOND = datetime.timedelta(seconds=1)
NETWORK_DELAY = clock.MILLISECOND
MAX_ATTEMPTS = 2
SERVICE = 's'


class Backoff(endpoint_backoff.EndpointBackoff):
    """The gateways' backoff, which variants change."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng

    def record_sent(self) -> None:
        """Note that a request is sent to the endpoint."""

    def record_accepted(self) -> None:
        """Note that the endpoint has accepted a request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What callers and endpoints of a simulation do.

    Callers keep ``use`` of all slots busy.  An endpoint runs ``slots``
    requests, each for about ``run_time``, queues ``queue`` more and refuses
    the rest.  It also refuses all while it is one of the ``refusing`` first
    ones, from ``refuse_from`` to ``refuse_until``.  Each refusal asks for
    ``retry_after``.  What one gateway is asked for is told to the others if
    ``is_shared``.  All gateways are asked the same of the refusing endpoints
    at ``all_asked_at``.
    """

    gateways: int
    endpoints: int = 8
    slots: int = 6
    queue: int = 3
    run_time: datetime.timedelta = SECOND
    use: float = 0.6
    refusing: int = 2
    refuse_from: datetime.timedelta = 3 * SECOND
    refuse_until: datetime.timedelta = 7 * SECOND
    retry_after: datetime.timedelta = 3 * SECOND
    is_shared: bool = False
    all_asked_at: datetime.timedelta | None = None

    @property
    def requests_per_s(self) -> float:
        """How many requests callers send in a second."""
        slots = self.use * self.endpoints * self.slots
        return slots / (self.run_time / SECOND)

    @property
    def update_interval(self) -> datetime.timedelta:
        """Minimum time between two updates of one gateway."""
        return peers.MIN_INTERVAL + peers.INTERVAL_PER_PEER * self.gateways


@dataclasses.dataclass(kw_only=True)
class _Server:
    """An endpoint; ``freed_at`` are the times at which slots are free."""

    freed_at: list[datetime.datetime] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class _Gateway:
    backoffs: list[Backoff]
    known: directory.Directory
    policy: two_choices.TwoChoices
    budget: shared_budget.SharedBudget


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached an endpoint, and whether that refused it."""

    at: datetime.datetime
    gateway: int
    endpoint: int
    refused: bool


class Simulation:
    """Gateways that serve callers; ``served`` and ``asked`` count requests.

    ``arrivals`` are the requests that reached endpoints.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        variant: type[Backoff] = Backoff,
    ) -> None:
        self.now = clock.EPOCH
        self.asked = 0
        self.served = 0
        self.arrivals: list[Arrival] = []
        self._load = load
        self._rng = random.Random(seed)
        self._servers = [_Server() for _ in range(load.endpoints)]
        self._events: list[
            tuple[datetime.datetime, int, abc.Callable[[], None]]
        ] = []
        self._numbers = itertools.count()
        self._gateways = [self._create(variant) for _ in range(load.gateways)]

    def _create(self, variant: type[Backoff]) -> _Gateway:
        known = directory.Directory()
        backoffs = [
            variant(rng=self._rng) for _ in range(self._load.endpoints)
        ]
        for number in range(self._load.endpoints):
            name = str(number)
            listing = listings.make_listing(name, zone='zone')
            known.update_listing(
                dataclasses.replace(listing, capacity=self._load.slots)
            )
            endpoint = known.get(name)
            assert endpoint is not None
            endpoint.backoff = backoffs[number]
        return _Gateway(
            backoffs=backoffs,
            known=known,
            policy=two_choices.TwoChoices(zone='zone', rng=self._rng),
            budget=shared_budget.SharedBudget(
                ratio=0.2, slack=90.0, gateways=self._load.gateways
            ),
        )

    def run(self, duration: datetime.timedelta) -> None:
        """Advance by ``duration``."""
        end = self.now + duration
        self._later(datetime.timedelta(0), self._call)
        self._later(self._load.update_interval, self._update_peers)
        if self._load.all_asked_at is not None:
            self._later(self._load.all_asked_at, self._ask_all)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def most_early_arrivals(self) -> int:
        """Return the most requests that came too early after one refusal.

        Counted are those of the refused gateway.
        """
        times = collections.defaultdict(list)
        for one in self.arrivals:
            times[one.gateway, one.endpoint].append(one.at)
        learning = retry_after_rule.LEARNING_S * SECOND
        return max(
            (
                sum(
                    refusal.at + learning
                    < at
                    < refusal.at + self._load.retry_after
                    for at in times[refusal.gateway, refusal.endpoint]
                )
                for refusal in self.arrivals
                if refusal.refused
            ),
            default=0,
        )

    def _later(
        self, delay: datetime.timedelta, action: abc.Callable[[], None]
    ) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now + delay, number, action))

    def _call(self) -> None:
        pause = self._rng.expovariate(self._load.requests_per_s)
        self._later(pause * SECOND, self._call)
        self.asked += 1
        gateway = self._rng.randrange(self._load.gateways)
        self._gateways[gateway].budget.record_request()
        self._attempt(gateway, set())

    def _attempt(self, number: int, tried: set[str]) -> None:
        gateway = self._gateways[number]
        candidates = gateway.known.routable(SERVICE, self.now, tried)
        if not candidates:
            return
        if tried and not gateway.budget.take():
            return
        endpoint = gateway.policy.choose(candidates, '', True)
        endpoint.in_flight += 1
        gateway.backoffs[int(endpoint.name)].record_sent()
        tried = {*tried, endpoint.name}
        self._later(
            NETWORK_DELAY, lambda: self._arrive(number, endpoint, tried)
        )

    def _arrive(
        self, number: int, endpoint: directory.Endpoint, tried: set[str]
    ) -> None:
        server = int(endpoint.name)
        freed_at = self._servers[server].freed_at
        while freed_at and freed_at[0] <= self.now:
            heapq.heappop(freed_at)
        refused = self._refuses(server)
        self.arrivals.append(
            Arrival(
                at=self.now, gateway=number, endpoint=server, refused=refused
            )
        )
        running = min(len(freed_at), self._load.slots)
        load = directory.Load(
            running=running,
            waiting=len(freed_at) - running,
            capacity=self._load.slots,
        )
        if refused:
            self._later(
                NETWORK_DELAY,
                lambda: self._on_refusal(number, endpoint, load, tried),
            )
            return
        start = self.now
        if len(freed_at) >= self._load.slots:
            start = sorted(freed_at)[-self._load.slots]
        run_time = self._rng.uniform(0.5, 1.5) * self._load.run_time
        heapq.heappush(freed_at, start + run_time)
        first = start - self.now + 0.1 * run_time
        backoff = self._gateways[number].backoffs[server]
        self._later(first, backoff.record_accepted)
        self._later(first, lambda: endpoint.update_load(load))
        self._later(start + run_time - self.now, lambda: self._end(endpoint))

    def _refuses(self, server: int) -> bool:
        age = self.now - clock.EPOCH
        load = self._load
        is_refusing = load.refuse_from <= age < load.refuse_until
        if server < load.refusing and is_refusing:
            return True
        in_use = len(self._servers[server].freed_at)
        return in_use >= load.slots + load.queue

    def _on_refusal(
        self,
        number: int,
        endpoint: directory.Endpoint,
        load: directory.Load,
        tried: set[str],
    ) -> None:
        endpoint.in_flight -= 1
        endpoint.update_load(load)
        self._gateways[number].known.record_backoff(
            endpoint, self._load.retry_after, self.now
        )
        if self._load.is_shared:
            self._later(
                self._load.update_interval,
                lambda: self._tell(
                    endpoint.name,
                    self._load.retry_after - self._load.update_interval,
                ),
            )
        if len(tried) < MAX_ATTEMPTS:
            self._attempt(number, tried)

    def _tell(self, name: str, retry_after: datetime.timedelta) -> None:
        """Apply what one gateway was asked for at all of them."""
        for gateway in self._gateways:
            endpoint = gateway.known.get(name)
            assert endpoint is not None
            gateway.known.record_backoff(endpoint, retry_after, self.now)

    def _ask_all(self) -> None:
        for number in range(self._load.refusing):
            self._tell(str(number), self._load.retry_after)

    def _end(self, endpoint: directory.Endpoint) -> None:
        self.served += 1
        endpoint.in_flight -= 1

    def _update_peers(self) -> None:
        """Let all gateways know what the others have in flight."""
        self._later(self._load.update_interval, self._update_peers)
        for name in map(str, range(self._load.endpoints)):
            known = [g.known.get(name) for g in self._gateways]
            total = sum(e.in_flight for e in known if e is not None)
            for endpoint in known:
                if endpoint is not None:
                    endpoint.peer_in_flight = total - endpoint.in_flight
