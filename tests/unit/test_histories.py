"""Random runs of clusters and groups satisfy the guarantees."""

import pytest
from tests.lib import chaos
from tests.lib import history_checks
from tests.lib import simulated_group

REGRESSION_SEEDS = (102, 145, 770, 2154, 2294)
"""Seeds of runs in which a call once ran after a refusal as not run."""


@pytest.mark.explores
def test_calls_satisfy_their_guarantees(seeds: range) -> None:
    """Faults must not cause second runs or wrong or missing answers."""
    for seed in [*seeds, *REGRESSION_SEEDS]:
        assert (
            history_checks.check_all(chaos.ChaosRun(seed=seed).run()) == []
        ), seed


def test_calls_without_faults_are_all_answered_completely() -> None:
    """Without faults every call is answered completely."""
    for seed in range(10):
        cluster = chaos.ChaosRun(seed=seed, faults=False).run()
        assert history_checks.check_all(cluster) == [], seed
        results = {s.result for s in cluster.submissions}
        assert results == {'COMPLETE'}, seed


@pytest.mark.explores
@pytest.mark.parametrize('checks_fencing', [True, False])
def test_groups_use_one_map_each_step_and_recover(
    seeds: range, checks_fencing: bool
) -> None:
    """Faults must neither mix maps in a step nor stop steps for good."""
    regression_seeds = (123, 234, 379, 395, 1452, 21140)
    for seed in [*seeds, *regression_seeds]:
        run = simulated_group.GroupChaosRun(
            seed=seed, checks_fencing=checks_fencing
        )
        assert simulated_group.steps_with_mixed_maps(run.run()) == [], seed
        assert run.recovered, seed


def test_same_seed_gives_the_same_history() -> None:
    """The seed determines a run."""
    one = chaos.ChaosRun(seed=7).run()
    two = chaos.ChaosRun(seed=7).run()
    assert one.executions == two.executions
    assert [s.result for s in one.submissions] == [
        s.result for s in two.submissions
    ]
