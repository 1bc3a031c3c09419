"""The checks of histories fail when a guard is removed."""

from collections import abc

import pytest
from tests.lib import chaos
from tests.lib import history_checks
from tests.lib import mutations
from tests.lib import scripted_runs
from tests.lib import simulated_cluster
from tests.lib import simulated_group

SEED_COUNT = 25
FALLBACK_SEED_COUNT = 400
Check = abc.Callable[[simulated_cluster.SimulatedCluster], list[str]]
Run = abc.Callable[[int], simulated_cluster.SimulatedCluster]


def random_calls(seed: int) -> simulated_cluster.SimulatedCluster:
    """Return a cluster after random calls under random faults."""
    return chaos.ChaosRun(seed=seed).run()


def check_delivery(cluster: simulated_cluster.SimulatedCluster) -> list[str]:
    """Check that answers are correct and that none is missing."""
    return history_checks.check_answers(
        cluster
    ) + history_checks.check_all_answered(cluster)


def check_calls_complete(
    cluster: simulated_cluster.SimulatedCluster,
) -> list[str]:
    """Check that all calls but pings were answered completely."""
    return [
        f'{s.call.call_id} got {s.result}'
        for s in cluster.submissions
        if s.call.operation != 'ping' and not s.complete
    ]


def seeds_to_try(first_seed: int) -> list[int]:
    """Return the seeds from ``first_seed`` on, then further ones from 0.

    Which seed reaches a rare case changes with the policies.
    """
    return [
        *range(first_seed, first_seed + SEED_COUNT),
        *range(FALLBACK_SEED_COUNT),
    ]


# Mutation, the check that must fail, the run, and the first seed to try.
CASES: list[tuple[mutations.Mutation, Check, Run, int]] = [
    (mutations.ignore_item_order, check_delivery, random_calls, 0),
    (mutations.skip_end_check, check_delivery, random_calls, 11),
    (mutations.resume_from_start, check_delivery, random_calls, 17),
    (mutations.drop_failures, check_delivery, random_calls, 0),
    (
        mutations.run_sealed_attempts,
        history_checks.check_at_most_once,
        scripted_runs.query_before_request,
        0,
    ),
    (
        mutations.assume_lost_attempts_never_ran,
        history_checks.check_not_run,
        random_calls,
        6,
    ),
    (
        mutations.report_not_run_without_proof,
        history_checks.check_not_run,
        random_calls,
        2,
    ),
    (
        mutations.trust_other_attempts,
        history_checks.check_not_run,
        random_calls,
        84,
    ),
    (
        mutations.ignore_settled_position,
        history_checks.check_not_run,
        scripted_runs.late_request,
        0,
    ),
    (
        mutations.last_claim_wins,
        history_checks.check_at_most_once,
        scripted_runs.competing_claims,
        17,
    ),
    (
        mutations.skip_claims,
        history_checks.check_at_most_once,
        random_calls,
        48,
    ),
    (
        mutations.retry_every_call,
        history_checks.check_at_most_once,
        random_calls,
        1,
    ),
    (
        mutations.forget_attempts,
        history_checks.check_at_most_once,
        random_calls,
        0,
    ),
    (
        mutations.ignore_draining,
        history_checks.check_no_work_after_sigterm,
        scripted_runs.terminated_agent,
        0,
    ),
    (
        mutations.exit_immediately,
        check_calls_complete,
        scripted_runs.terminated_agent,
        0,
    ),
    (
        mutations.exit_immediately,
        check_calls_complete,
        scripted_runs.terminated_entry,
        0,
    ),
    (
        mutations.accept_any_incarnation,
        history_checks.check_at_most_once,
        scripted_runs.restarted_agents,
        0,
    ),
]


@pytest.mark.parametrize(
    ('mutation', 'check', 'run', 'first_seed'),
    CASES,
    ids=[f'{case[0].__name__}-{case[2].__name__}' for case in CASES],
)
def test_check_fails_without_call_guard(
    mutation: mutations.Mutation,
    check: Check,
    run: Run,
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the guard at least one run fails the check."""
    mutation(monkeypatch)
    for seed in seeds_to_try(first_seed):
        if check(run(seed)):
            return
    pytest.fail('no run failed the check without the guard')


@pytest.mark.parametrize(
    'run',
    [
        scripted_runs.competing_claims,
        scripted_runs.late_request,
        scripted_runs.query_before_request,
        scripted_runs.restarted_agents,
        scripted_runs.terminated_agent,
        scripted_runs.terminated_entry,
    ],
)
def test_scripted_runs_pass_all_checks(run: Run) -> None:
    """Scripted runs pass all checks with all guards in place."""
    for seed in range(SEED_COUNT):
        assert history_checks.check_all(run(seed)) == [], seed


@pytest.mark.parametrize(
    'run', [scripted_runs.terminated_agent, scripted_runs.terminated_entry]
)
def test_shutdown_completes_calls_in_flight(run: Run) -> None:
    """SIGTERM must not truncate or drop the answers of calls in flight."""
    for seed in range(SEED_COUNT):
        assert check_calls_complete(run(seed)) == [], seed


def random_group(seed: int) -> simulated_group.SimulatedGroup:
    """Return a group after a run under random faults."""
    return simulated_group.GroupChaosRun(seed=seed, checks_fencing=False).run()


GROUP_CASES = [
    (mutations.reuse_granted_steps, scripted_runs.lost_grant, 0),
    (mutations.require_most_promises, scripted_runs.partitioned_leaders, 0),
    (mutations.grant_newest_prepared, random_group, 0),
]


@pytest.mark.parametrize(
    ('mutation', 'run', 'first_seed'),
    GROUP_CASES,
    ids=[case[0].__name__ for case in GROUP_CASES],
)
def test_check_fails_without_group_guard(
    mutation: mutations.Mutation,
    run: abc.Callable[[int], simulated_group.SimulatedGroup],
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the guard at least one run mixes maps in a step."""
    mutation(monkeypatch)
    for seed in seeds_to_try(first_seed):
        if simulated_group.steps_with_mixed_maps(run(seed)):
            return
    pytest.fail('no run failed the check without the guard')


@pytest.mark.parametrize(
    'run', [scripted_runs.lost_grant, scripted_runs.partitioned_leaders]
)
def test_scripted_group_runs_use_one_map_each_step(
    run: abc.Callable[[int], simulated_group.SimulatedGroup],
) -> None:
    """Scripted runs of groups mix no maps and complete steps."""
    for seed in range(SEED_COUNT):
        group = run(seed)
        assert simulated_group.steps_with_mixed_maps(group) == [], seed
        assert group.completed_steps > 0, seed


def test_group_without_ballot_check_does_not_recover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the ballot check a group does not recover from faults."""
    mutations.skip_ballot_check(monkeypatch)
    run = simulated_group.GroupChaosRun(seed=0, checks_fencing=False)
    run.run()
    assert not run.recovered
