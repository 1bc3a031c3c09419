"""Endpoints that refuse under load, replayed on a driven clock."""

import pytest

from bench import backoff as variants
from tests.lib import retry_after_rule
from tests.lib import simulated_backoff as simulated


def run(
    load: simulated.Load, variant: type[simulated.Backoff] = simulated.Backoff
) -> simulated.Simulation:
    """Return the simulation of a load after its end."""
    simulation = simulated.Simulation(load, 1, variant)
    simulation.run(variants.DURATION)
    return simulation


@pytest.mark.parametrize('gateways', [3, 30])
def test_refusing_endpoints_get_no_early_requests(gateways: int) -> None:
    """Not those of a surge, nor when many gateways return at one instant."""
    for load in variants.loads(gateways).values():
        early = run(load).most_early_arrivals()
        assert early <= retry_after_rule.MAX_REQUESTS


def test_callers_are_served_while_some_endpoints_refuse() -> None:
    """Idle endpoints that refuse must not draw the requests of the others."""
    load = simulated.Load(gateways=8)
    kept, ignored = run(load), run(load, variants.Ignored)
    assert kept.served / kept.asked > 0.9
    assert ignored.asked - ignored.served > 2 * (kept.asked - kept.served)
    assert ignored.most_early_arrivals() > retry_after_rule.MAX_REQUESTS


def test_a_surge_is_served_worse_if_gateways_tell_each_other() -> None:
    """What one gateway was asked for is no reason for others to hold back."""
    told = simulated.Load(gateways=8, use=1.15, refusing=0, is_shared=True)
    alone = simulated.Load(gateways=8, use=1.15, refusing=0)
    assert run(told).served < 0.8 * run(alone).served
