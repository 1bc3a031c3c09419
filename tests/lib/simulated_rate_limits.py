"""A simulated endpoint with a rate limit, and the gateways that use it.

Runs the real RateLimits, or a policy to compare it with, on a simulated
network and a driven clock.
"""

from collections import abc
import dataclasses
import datetime
import random
import typing

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import peers
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.kernel import clock
from tests.lib import listings
from tests.lib import rate_limit_rule

SECOND = datetime.timedelta(seconds=1)
TICK = 25 * clock.MILLISECOND
ENDPOINT = 'w'

WINDOW = rate_limit_rule.WINDOW_S * SECOND


class Policy(typing.Protocol):
    """The part of RateLimits that a simulation uses."""

    def may_send(self, endpoint: str, now: datetime.datetime) -> bool: ...

    def record_sent(self, endpoint: str, now: datetime.datetime) -> None: ...

    def record_statement(
        self,
        endpoint: directory.Endpoint,
        rate: float | None,
        *,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None: ...

    def receive(
        self,
        peer: str,
        incarnation: str,
        reports: abc.Mapping[str, rate_limits.Report],
        now: datetime.datetime,
    ) -> None: ...

    def set_gateways(
        self, zones: abc.Mapping[str, str], now: datetime.datetime
    ) -> None: ...

    def rate(self, endpoint: str) -> float | None: ...

    def reports(
        self, now: datetime.datetime
    ) -> dict[str, rate_limits.Report]: ...


PolicyFactory = abc.Callable[[str, str, directory.Directory], Policy]
"""Creates the policy of a host in a zone."""


def shared_limits(
    host: str, zone: str, endpoint_directory: directory.Directory
) -> Policy:
    """Return what gateways really use."""
    return rate_limits.RateLimits(
        host=host, zone=zone, endpoint_directory=endpoint_directory
    )


@dataclasses.dataclass(kw_only=True)
class Load:
    """What the callers and the network of a simulation do.

    Each gateway would send ``per_s`` requests a second to the endpoint,
    which states a limit of ``rate``; unless it is None, the first gateway gets
    ``first_part`` of them all.  Updates take up to ``delay`` and are
    lost with probability ``loss``.  Responses take up to ``response_time``.
    """

    gateways: int
    rate: float
    per_s: float
    delay: datetime.timedelta = 100 * clock.MILLISECOND
    loss: float = 0.1
    response_time: datetime.timedelta = 2 * SECOND
    zones: int = 3
    first_part: float | None = None

    def rate_at(self, number: int) -> float:
        """Return the requests a second at a gateway."""
        if self.first_part is None:
            return self.per_s
        total = self.per_s * self.gateways
        if not number:
            return total * self.first_part
        return total * (1 - self.first_part) / (self.gateways - 1)

    @property
    def update_interval(self) -> datetime.timedelta:
        """Minimum time between two updates of one gateway."""
        return peers.MIN_INTERVAL + peers.INTERVAL_PER_PEER * self.gateways


@dataclasses.dataclass(kw_only=True)
class _Gateway:
    """A gateway's process and what it last told its peers."""

    policy: Policy
    incarnation: str
    endpoint_directory: directory.Directory
    told: object = None
    told_at: datetime.datetime = clock.EPOCH


class Simulation:
    """Gateways that exchange reports, and what the endpoint got.

    ``sent`` has the time and the gateway of each request, ``wanted`` the times
    of those that callers sent;
    ``stated_rate`` is what the endpoint states at present.
    """

    def __init__(
        self, load: Load, seed: int, factory: PolicyFactory = shared_limits
    ) -> None:
        self.now = clock.EPOCH
        self.sent: list[tuple[datetime.datetime, str]] = []
        self.wanted: list[datetime.datetime] = []
        self.stated_rate: float | None = load.rate
        self._load = load
        self._factory = factory
        self._rng = random.Random(seed)
        self._zones = {
            f'g-{i}': f'zone-{i % load.zones}' for i in range(load.gateways)
        }
        self._pending: list[
            tuple[datetime.datetime, abc.Callable[[], None]]
        ] = []
        self._starts = 0
        self._gateways: dict[str, _Gateway] = {}
        for host in self._zones:
            self.restart(host)

    @property
    def hosts(self) -> list[str]:
        """The hosts of the gateways."""
        return list(self._zones)

    def policy(self, host: str) -> Policy:
        """Return the policy of a gateway's current process."""
        return self._gateways[host].policy

    def restart(self, host: str) -> None:
        """Replace a gateway's process by one that knows nothing."""
        self._starts += 1
        known = directory.Directory()
        known.update_listing(listings.make_listing(ENDPOINT, zone='zone-0'))
        policy = self._factory(host, self._zones[host], known)
        policy.set_gateways(self._zones, self.now)
        self._gateways[host] = _Gateway(
            policy=policy,
            incarnation=str(self._starts),
            endpoint_directory=known,
        )

    def run(self, duration: datetime.timedelta) -> None:
        """Advance by ``duration``."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            self._deliver_due()
            hosts = self.hosts
            self._rng.shuffle(hosts)
            for host in hosts:
                rate = self._load.rate_at(self.hosts.index(host))
                if self._rng.random() < rate * (TICK / SECOND):
                    self.wanted.append(self.now)
                    self._send_if_allowed(self._gateways[host], host)
                self._tell_peers(host)

    def busiest_window(self, since: datetime.datetime) -> int:
        """Return the most requests in a window that starts after ``since``."""
        times = [at for at, _ in self.sent if at >= since]
        return rate_limit_rule.busiest_window(times, WINDOW)

    def _later(
        self, limit: datetime.timedelta, action: abc.Callable[[], None]
    ) -> None:
        at = self.now + self._rng.random() * limit
        self._pending.append((at, action))

    def _deliver_due(self) -> None:
        due = [one for one in self._pending if one[0] <= self.now]
        self._pending = [one for one in self._pending if one[0] > self.now]
        for _, action in sorted(due, key=lambda one: one[0]):
            action()

    def _send_if_allowed(self, gateway: _Gateway, host: str) -> None:
        policy = gateway.policy
        if not policy.may_send(ENDPOINT, self.now):
            return
        policy.record_sent(ENDPOINT, self.now)
        self.sent.append((self.now, host))
        sent_at = self.now
        endpoint = gateway.endpoint_directory.get(ENDPOINT)
        assert endpoint is not None

        def respond() -> None:
            policy.record_statement(
                endpoint, self.stated_rate, sent_at=sent_at, now=self.now
            )

        self._later(self._load.response_time, respond)

    def _tell_peers(self, host: str) -> None:
        gateway = self._gateways[host]
        reports = gateway.policy.reports(self.now)
        news = [(k, r.rate, r.sent) for k, r in reports.items()]
        if news == gateway.told:
            return
        if self.now - gateway.told_at < self._load.update_interval:
            return
        gateway.told, gateway.told_at = news, self.now
        for other, peer in self._gateways.items():
            if other != host and self._rng.random() >= self._load.loss:
                self._send_update(host, gateway.incarnation, reports, peer)

    def _send_update(
        self,
        host: str,
        incarnation: str,
        reports: dict[str, rate_limits.Report],
        peer: _Gateway,
    ) -> None:
        def receive() -> None:
            peer.policy.receive(host, incarnation, reports, self.now)

        self._later(self._load.delay, receive)
