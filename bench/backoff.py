"""How gateways return to endpoints that asked for no requests for a while."""

import dataclasses
import datetime

from aspenfold._internal.gateway import endpoint_backoff
from bench import report
from tests.lib import simulated_backoff as simulated

DURATION = 20 * simulated.SECOND

GATEWAYS = (3, 8, 30, 60)

POLL = 0.05 * simulated.SECOND
"""Time after which a request may find that a trial has ended."""


class Ignored(simulated.Backoff):
    """Sends to the endpoint as if it had asked for nothing."""

    def wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return no wait."""
        return endpoint_backoff.NO_WAIT


class OneTrial(simulated.Backoff):
    """Sends one request at first, and others once that is accepted."""

    may_send = True
    is_proven = True

    def record_refusal(
        self, retry_after: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Require a trial after the refusal."""
        self.is_proven, self.may_send = False, True
        return super().record_refusal(retry_after, now)

    def wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time until the backoff or the trial may have ended."""
        if self.is_proven or self.may_send:
            return super().wait(now)
        return max(POLL, super().wait(now))

    def record_sent(self) -> None:
        """Begin the trial."""
        self.may_send = False

    def record_accepted(self) -> None:
        """End the trial."""
        self.is_proven = True


class Spread(simulated.Backoff):
    """Returns within a quarter more of the time than was asked for."""

    def record_refusal(
        self, retry_after: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Extend the time by a random part."""
        factor = self.rng.uniform(1.0, 1.25)
        return super().record_refusal(retry_after * factor, now)


VARIANTS = {
    'as it is': simulated.Backoff,
    'ignored': Ignored,
    'one trial': OneTrial,
    'spread': Spread,
}


def loads(gateways: int) -> dict[str, simulated.Load]:
    """Return the loads that many gateways are measured with."""
    endpoints = max(8, gateways // 2)
    few = simulated.Load(
        gateways=gateways, endpoints=endpoints, refusing=endpoints // 4
    )
    return {
        'some refuse for 4 s': few,
        'the same, 0.85 of slots': dataclasses.replace(few, use=0.85),
        'surge of 1.15': dataclasses.replace(few, use=1.15, refusing=0),
        'all asked at once': dataclasses.replace(
            few,
            use=0.7,
            run_time=0.1 * simulated.SECOND,
            refuse_until=few.refuse_from,
            all_asked_at=4 * simulated.SECOND,
        ),
    }


@report.benchmark('backoff')
def backoff_of_endpoints(seed: int) -> list[report.Row]:
    """Share served, and requests that came although none were wanted."""
    rows = []
    for gateways in GATEWAYS:
        for name, load in loads(gateways).items():
            case = f'{gateways} gateways, {name}'
            for variant, backoff in VARIANTS.items():
                rows += _measure(load, seed, backoff, case, variant)
            told = dataclasses.replace(load, is_shared=True)
            rows += _measure(
                told, seed, simulated.Backoff, case, 'told to all'
            )
    return rows


def _measure(
    load: simulated.Load,
    seed: int,
    backoff: type[simulated.Backoff],
    case: str,
    variant: str,
) -> list[report.Row]:
    simulation = simulated.Simulation(load, seed, backoff)
    simulation.run(DURATION)
    refused = sum(one.refused for one in simulation.arrivals)
    values = {
        'served': simulation.served / simulation.asked,
        'refusals a request': refused / simulation.asked,
        'most early requests': float(simulation.most_early_arrivals()),
    }
    return [
        report.Row(figure=f'{figure}, {case}', variant=variant, value=value)
        for figure, value in values.items()
    ]
