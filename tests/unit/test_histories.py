"""Checks of histories of random runs of the kernels with faults."""

import pytest
from tests.lib import chaos
from tests.lib import history_checks
from tests.lib import simulated_group

REGRESSION_SEEDS = (102, 145, 770, 2154, 2294)
"""Seeds of runs that once violated P3."""


@pytest.mark.explores
def test_calls_satisfy_their_guarantees(seeds: range) -> None:
    """P2, P3, P4, and a final answer for each call, under all faults."""
    for seed in [*seeds, *REGRESSION_SEEDS]:
        assert history_checks.check(chaos.ChaosRun(seed=seed).run()) == [], (
            seed
        )


def test_calls_without_faults_are_all_answered_completely() -> None:
    """Without faults every call is answered completely, not refused."""
    for seed in range(10):
        world = chaos.ChaosRun(seed=seed, faults=False).run()
        assert history_checks.check(world) == [], seed
        outcomes = {s.outcome for s in world.submissions}
        assert outcomes == {'whole'}, seed


@pytest.mark.explores
@pytest.mark.parametrize('checks_fencing', [True, False])
def test_groups_use_one_map_each_step(
    seeds: range, checks_fencing: bool
) -> None:
    """P1, and the group continues to step after the faults end."""
    regression_seeds = (123, 234, 379, 395, 1452, 21140)
    for seed in [*seeds, *regression_seeds]:
        run = simulated_group.GroupChaosRun(
            seed=seed, checks_fencing=checks_fencing
        )
        assert simulated_group.steps_with_mixed_maps(run.run()) == [], seed
        assert run.recovered, seed


def test_same_seed_gives_the_same_history() -> None:
    """A run depends only on its seed."""
    one = chaos.ChaosRun(seed=7).run()
    two = chaos.ChaosRun(seed=7).run()
    assert one.executions == two.executions
    assert [s.outcome for s in one.submissions] == [
        s.outcome for s in two.submissions
    ]
