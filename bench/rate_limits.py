"""How gateways keep an endpoint's rate limit, beside simpler policies."""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.kernel import clock
from aspenfold._internal.kernel import token_bucket
from bench import report
from tests.lib import rate_limit_rule
from tests.lib import simulated_rate_limits as simulated

DURATION = 20 * simulated.SECOND

LEARNING_DURATION = 4 * simulated.SECOND
"""Requests before this are not counted."""

CASES = (
    (8, 1.0, 2.0),
    (8, 1.0, 0.3),
    (8, 10.0, 10.0),
    (31, 1.0, 2.0),
    (31, 10.0, 10.0),
    (410, 1.0, 0.1),
    (410, 10.0, 0.5),
)
"""Gateways, limit of the endpoint, and what each gateway would send."""


class PartOfLimit:
    """Takes a fixed part of the limit, whatever the others send."""

    def __init__(self, *, part: float) -> None:
        self._part = part
        self._rate: float | None = None
        self._bucket = token_bucket.TokenBucket(
            rate=0.0, burst=1.0, now=clock.EPOCH
        )

    def may_send(self, endpoint: str, now: datetime.datetime) -> bool:
        """Return whether the part allows another request."""
        return self._rate is None or not self._bucket.wait(now)

    def record_sent(self, endpoint: str, now: datetime.datetime) -> None:
        """Take a request from the part."""
        self._bucket.take(now)

    def record_statement(
        self,
        endpoint: directory.Endpoint,
        rate: float | None,
        *,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Store the limit."""
        self._rate = rate
        self._bucket.set_rate((rate or 0.0) * self._part, 1.0, now)

    def receive(
        self,
        peer: str,
        incarnation: str,
        reports: abc.Mapping[str, rate_limits.Report],
        now: datetime.datetime,
    ) -> None:
        """Ignore what peers tell."""

    def set_gateways(
        self, zones: abc.Mapping[str, str], now: datetime.datetime
    ) -> None:
        """Ignore which gateways are alive."""

    def rate(self, endpoint: str) -> float | None:
        """Return the limit."""
        return self._rate

    def reports(self, now: datetime.datetime) -> dict[str, rate_limits.Report]:
        """Tell peers nothing."""
        return {}


@report.benchmark('rate-limits')
def rate_limits_of_endpoints(seed: int) -> list[report.Row]:
    """Requests of all gateways to an endpoint that states a limit."""
    rows = []
    for gateways, rate, per_s in CASES:
        factories: dict[str, simulated.PolicyFactory] = {
            'shared': simulated.shared_limits,
            'each for itself': lambda *_: PartOfLimit(part=1.0),
            'equal parts': lambda *_, n=gateways: PartOfLimit(part=1 / n),
        }
        load = simulated.Load(gateways=gateways, rate=rate, per_s=per_s)
        case = f'{gateways} gateways, limit {rate:g}, {per_s:g} wanted'
        for variant, factory in factories.items():
            simulation = simulated.Simulation(load, seed, factory)
            simulation.run(DURATION)
            rows += _rows(simulation, rate, case, variant)
    return rows


def _rows(
    simulation: simulated.Simulation, rate: float, case: str, variant: str
) -> list[report.Row]:
    since = clock.EPOCH + LEARNING_DURATION
    counted = [at for at, _ in simulation.sent if at >= since]
    seconds = (DURATION - LEARNING_DURATION) / simulated.SECOND
    busiest = simulation.busiest_window(since)
    return [
        report.Row(
            figure=f'busiest 4 s over allowed, {case}',
            variant=variant,
            value=busiest / rate_limit_rule.max_requests(rate),
        ),
        report.Row(
            figure=f'used of the limit, {case}',
            variant=variant,
            value=len(counted) / seconds / rate,
        ),
    ]
