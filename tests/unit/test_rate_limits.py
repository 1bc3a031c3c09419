"""Several gateways and an endpoint that states a rate limit."""

import dataclasses
import datetime
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.kernel import clock

SECOND = datetime.timedelta(seconds=1)
TICK = 25 * clock.MILLISECOND
ENDPOINT = 'w'
WINDOW = 4 * SECOND


def listing_of(name: str) -> directory.Listing:
    """Return the entry of an endpoint in zone 0."""
    return directory.Listing(
        name=name,
        service='s',
        host='h',
        port=1,
        zone='zone-0',
        capacity=6,
        draining=False,
    )


@dataclasses.dataclass(kw_only=True)
class Load:
    """What the callers and the network of a simulation do.

    Each gateway would send ``per_s`` requests a second to the endpoint.
    Updates take up to ``delay`` and are lost with probability ``loss``.
    Responses take up to ``response_time``.
    """

    gateways: int
    rate: float
    per_s: float
    delay: datetime.timedelta = 250 * clock.MILLISECOND
    loss: float = 0.1
    response_time: datetime.timedelta = 2 * SECOND
    zones: int = 3


class Simulation:
    """Gateways that exchange reports, and what the endpoint got."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self._rng = random.Random(seed)
        self.now = clock.EPOCH
        self._zones = {
            f'g-{i}': f'zone-{i % load.zones}' for i in range(load.gateways)
        }
        self._directory = directory.Directory()
        self._directory.update_listing(listing_of(ENDPOINT))
        self.gateways = {
            host: self._start_gateway(host) for host in self._zones
        }
        self._incarnations = dict.fromkeys(self._zones, 0)
        self._last_reports: dict[str, object] = {}
        self._events: list[tuple[datetime.datetime, int, object]] = []
        self._sequence = 0
        self.sent: list[tuple[datetime.datetime, str]] = []
        self.stated_rate: float | None = load.rate

    def _start_gateway(self, host: str) -> rate_limits.RateLimits:
        started = rate_limits.RateLimits(
            host=host,
            zone=self._zones[host],
            endpoint_directory=self._directory,
        )
        started.set_gateways(self._zones, self.now)
        return started

    def restart(self, host: str) -> None:
        """Replace a gateway by a new process that knows nothing."""
        self._incarnations[host] += 1
        self.gateways[host] = self._start_gateway(host)
        self._last_reports.pop(host, None)

    def run(self, duration: datetime.timedelta) -> None:
        """Advance by ``duration``."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            self._deliver_due()
            hosts = list(self.gateways)
            self._rng.shuffle(hosts)
            for host in hosts:
                if self._rng.random() < self.load.per_s * (TICK / SECOND):
                    self._send_if_allowed(host)
                self._report(host)

    def _later(self, most: datetime.timedelta, action: object) -> None:
        self._sequence += 1
        at = self.now + self._rng.random() * most
        self._events.append((at, self._sequence, action))

    def _deliver_due(self) -> None:
        due = sorted(e for e in self._events if e[0] <= self.now)
        self._events = [e for e in self._events if e[0] > self.now]
        for _, _, action in due:
            action()  # type: ignore[operator]

    def _send_if_allowed(self, host: str) -> None:
        gateway = self.gateways[host]
        if not gateway.may_send(ENDPOINT, self.now):
            return
        gateway.record_sent(ENDPOINT, self.now)
        self.sent.append((self.now, host))
        sent_at = self.now
        endpoint = self._directory.get(ENDPOINT)
        assert endpoint is not None

        def respond() -> None:
            gateway.record_statement(
                endpoint, self.stated_rate, sent_at=sent_at, now=self.now
            )

        self._later(self.load.response_time, respond)

    def _report(self, host: str) -> None:
        reports = self.gateways[host].reports(self.now)
        news = [(k, r.rate, r.sent) for k, r in reports.items()]
        if news == self._last_reports.get(host):
            return
        self._last_reports[host] = news
        sender = (host, str(self._incarnations[host]))
        for other, gateway in self.gateways.items():
            if other == host or self._rng.random() < self.load.loss:
                continue

            def receive(
                gateway: rate_limits.RateLimits = gateway,
                composed_at: datetime.datetime = self.now,
            ) -> None:
                gateway.receive(*sender, reports, self.now)

            self._later(self.load.delay, receive)

    def busiest_window(self, since: datetime.datetime) -> int:
        """Return the most requests in a window that starts after ``since``."""
        times = [at for at, _ in self.sent if at >= since]
        return max(
            (sum(t <= u < t + WINDOW for u in times) for t in times), default=0
        )


def max_requests(rate: float) -> float:
    """Return the most requests that an endpoint may get in a window."""
    return 1.5 * rate * (WINDOW / SECOND) + 5


@hypothesis.given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 2, 3, 8, 12, 30]),
    rate=st.sampled_from([0.0, 0.3, 1.0, 2.0, 4.5, 10.0, 30.0]),
    per_s=st.sampled_from([0.5, 3.0, 20.0]),
    loss=st.sampled_from([0.0, 0.2]),
)
@hypothesis.settings(max_examples=25)
def test_gateways_keep_a_rate_limit_together(
    seed: int, gateways: int, rate: float, per_s: float, loss: float
) -> None:
    """Whatever their number, their callers' load and lost updates."""
    load = Load(gateways=gateways, rate=rate, per_s=per_s, loss=loss)
    simulation = Simulation(load, seed)
    simulation.run(20 * SECOND)
    busiest = simulation.busiest_window(clock.EPOCH + 3 * SECOND)
    assert busiest <= max_requests(rate)


@pytest.mark.parametrize('seed', range(5))
def test_the_load_of_incident_inc1(seed: int) -> None:
    """Eight gateways, three of the zone prefer the endpoint to others."""
    simulation = Simulation(Load(gateways=8, rate=1.0, per_s=1.1), seed)
    simulation.run(30 * SECOND)
    busiest = simulation.busiest_window(clock.EPOCH + 3 * SECOND)
    assert busiest <= max_requests(1.0)
    late = [at for at, _ in simulation.sent if at > clock.EPOCH + 10 * SECOND]
    # The endpoint takes 20 in this time, and is not left idle.
    assert 12 <= len(late) <= 24


@pytest.mark.parametrize('seed', range(5))
def test_a_limit_holds_while_gateways_restart(seed: int) -> None:
    """Requests of a process that was not told yet come on top."""
    simulation = Simulation(Load(gateways=8, rate=2.0, per_s=5.0), seed)
    for host in list(simulation.gateways) * 2:
        simulation.run(1.5 * SECOND)
        simulation.restart(host)
    simulation.run(6 * SECOND)
    since = simulation.now - 5 * SECOND
    assert simulation.busiest_window(since) <= max_requests(2.0)


def test_an_endpoint_without_its_limit_is_used_by_all_again() -> None:
    """The limit holds only while responses state it."""
    simulation = Simulation(Load(gateways=8, rate=1.0, per_s=5.0), 1)
    simulation.run(10 * SECOND)
    assert {host for _, host in simulation.sent[-5:]} != set()
    simulation.stated_rate = None
    simulation.run(10 * SECOND)
    last = [h for at, h in simulation.sent if at > simulation.now - SECOND]
    assert set(last) == set(simulation.gateways)
    for gateway in simulation.gateways.values():
        assert gateway.rate(ENDPOINT) is None
        assert gateway.reports(simulation.now) == {}


def test_an_older_response_does_not_lift_a_limit() -> None:
    """A request sent before the statement may be answered after it."""
    known = directory.Directory()
    known.update_listing(listing_of(ENDPOINT))
    endpoint = known.get(ENDPOINT)
    assert endpoint is not None
    limits = rate_limits.RateLimits(
        host='g-0', zone='zone-0', endpoint_directory=known
    )
    start = clock.EPOCH
    limits.record_statement(
        endpoint, 2.0, sent_at=start, now=start + 2 * SECOND
    )
    limits.record_statement(
        endpoint, None, sent_at=start + SECOND, now=start + 3 * SECOND
    )
    assert limits.rate(ENDPOINT) == 2.0
    limits.record_statement(
        endpoint, None, sent_at=start + 3 * SECOND, now=start + 4 * SECOND
    )
    assert limits.rate(ENDPOINT) is None


def test_limits_of_removed_endpoints_are_forgotten() -> None:
    """Names of endpoints are never used again."""
    known = directory.Directory()
    known.update_listing(listing_of(ENDPOINT))
    endpoint = known.get(ENDPOINT)
    assert endpoint is not None
    limits = rate_limits.RateLimits(
        host='g-0', zone='zone-0', endpoint_directory=known
    )
    limits.record_statement(
        endpoint, 2.0, sent_at=clock.EPOCH, now=clock.EPOCH
    )
    assert limits.count() == 1
    known.remove_listing(ENDPOINT, clock.EPOCH, store_available=True)
    limits.forget_removed()
    assert limits.count() == 0
    report = rate_limits.Report(rate=1.0, age=SECOND, sent=3)
    limits.receive('g-1', 'i', {ENDPOINT: report}, clock.EPOCH)
    assert limits.count() == 0


def test_reports_are_bounded_and_have_the_latest_changes() -> None:
    """A peer update must fit into a datagram."""
    known = directory.Directory()
    limits = rate_limits.RateLimits(
        host='g-0', zone='zone-0', endpoint_directory=known
    )
    now = clock.EPOCH
    for number in range(100):
        known.update_listing(listing_of(f'w-{number:02}'))
        endpoint = known.get(f'w-{number:02}')
        assert endpoint is not None
        now += SECOND
        limits.record_statement(endpoint, 1.0, sent_at=now, now=now)
    names = list(limits.reports(now))
    assert len(names) == rate_limits.MAX_REPORTS
    assert names[-1] == 'w-99'
