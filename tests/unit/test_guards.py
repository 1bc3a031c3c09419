"""The history checks detect the removal of each guard."""

from collections import abc

import pytest
from tests.lib import chaos
from tests.lib import history_checks
from tests.lib import mutations as m
from tests.lib import scripted_runs
from tests.lib import simulated_cluster
from tests.lib import simulated_group

MAX_SEEDS = 25
MORE_SEEDS = 400
Check = abc.Callable[[simulated_cluster.SimulatedCluster], list[str]]
Run = abc.Callable[[int], simulated_cluster.SimulatedCluster]


def random_calls(seed: int) -> simulated_cluster.SimulatedCluster:
    """Run random calls under random faults."""
    return chaos.ChaosRun(seed=seed).run()


def broken_answers(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """Check P2, and that every call is answered."""
    return history_checks.whole_answers(world) + history_checks.all_answered(
        world
    )


def incomplete_answers(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """Check P6: calls in flight at SIGTERM are answered completely."""
    return [
        f'{s.call.call_id} got {s.outcome}'
        for s in world.submissions
        if s.call.operation != 'ping' and not s.whole
    ]


def seeds_from(first: int) -> list[int]:
    """Return the seeds to try: the likely ones, then all others.

    The seed that shows a rare case changes with the policies.
    """
    return [*range(first, first + MAX_SEEDS), *range(MORE_SEEDS)]


# Mutation, the check that must fail, the runs, and the first seed to try.
CASES: list[tuple[m.Mutation, Check, Run, int]] = [
    (m.no_order, broken_answers, random_calls, 0),
    (m.no_end_check, broken_answers, random_calls, 11),
    (m.resume_from_start, broken_answers, random_calls, 17),
    (m.silent_end, broken_answers, random_calls, 0),
    (m.no_seal, history_checks.at_most_once, scripted_runs.overtaken, 0),
    (m.ask_nobody, history_checks.not_run_is_true, random_calls, 6),
    (m.any_not_run, history_checks.not_run_is_true, random_calls, 2),
    (m.trust_followed, history_checks.not_run_is_true, random_calls, 84),
    (
        m.no_settled_position,
        history_checks.not_run_is_true,
        scripted_runs.late_request,
        0,
    ),
    (
        m.claim_by_last_writer,
        history_checks.at_most_once,
        scripted_runs.rival_claims,
        17,
    ),
    (m.no_claim, history_checks.at_most_once, random_calls, 48),
    (m.repeat_anything, history_checks.at_most_once, random_calls, 1),
    (m.forget_attempts, history_checks.at_most_once, random_calls, 0),
    (
        m.ignore_leaving,
        history_checks.leaving_gets_no_work,
        scripted_runs.terminated_agent,
        0,
    ),
    (m.exit_at_once, incomplete_answers, scripted_runs.terminated_agent, 0),
    (m.exit_at_once, incomplete_answers, scripted_runs.terminated_entry, 0),
    (
        m.any_incarnation,
        history_checks.at_most_once,
        scripted_runs.forgetful,
        0,
    ),
]


@pytest.mark.parametrize(
    ('mutation', 'check', 'run', 'first'),
    CASES,
    ids=[f'{case[0].__name__}-{case[2].__name__}' for case in CASES],
)
def test_call_guard(
    mutation: m.Mutation,
    check: Check,
    run: Run,
    first: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the guard some run fails the check."""
    mutation(monkeypatch)
    for seed in seeds_from(first):
        if check(run(seed)):
            return
    pytest.fail('no run failed the check without the guard')


@pytest.mark.parametrize(
    'run',
    [
        scripted_runs.rival_claims,
        scripted_runs.late_request,
        scripted_runs.overtaken,
        scripted_runs.forgetful,
        scripted_runs.terminated_agent,
        scripted_runs.terminated_entry,
    ],
)
def test_scripted_runs_pass_with_their_guards(run: Run) -> None:
    """With all guards the scripted runs pass every check."""
    for seed in range(MAX_SEEDS):
        assert history_checks.check(run(seed)) == [], seed


@pytest.mark.parametrize(
    'run', [scripted_runs.terminated_agent, scripted_runs.terminated_entry]
)
def test_shutdown_completes_calls_in_flight(run: Run) -> None:
    """P6 holds when the agent or the entry terminates."""
    for seed in range(MAX_SEEDS):
        assert incomplete_answers(run(seed)) == [], seed


def random_group(seed: int) -> simulated_group.SimulatedGroup:
    """Run a group under random faults."""
    return simulated_group.GroupChaosRun(seed=seed, checks_fencing=False).run()


GROUP_CASES = [
    (m.begin_at_last, scripted_runs.lost_rank, 0),
    (m.promise_of_some, scripted_runs.split_group, 0),
    (m.grant_at_once, random_group, 0),
]


@pytest.mark.parametrize(
    ('mutation', 'run', 'first'),
    GROUP_CASES,
    ids=[case[0].__name__ for case in GROUP_CASES],
)
def test_group_guard(
    mutation: m.Mutation,
    run: abc.Callable[[int], simulated_group.SimulatedGroup],
    first: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the guard some run uses two maps in one step."""
    mutation(monkeypatch)
    for seed in seeds_from(first):
        if simulated_group.steps_with_mixed_maps(run(seed)):
            return
    pytest.fail('no run failed the check without the guard')


@pytest.mark.parametrize(
    'run', [scripted_runs.lost_rank, scripted_runs.split_group]
)
def test_scripted_group_runs_pass_with_their_guards(
    run: abc.Callable[[int], simulated_group.SimulatedGroup],
) -> None:
    """The scripted group runs use one map in each step, and progress."""
    for seed in range(MAX_SEEDS):
        world = run(seed)
        assert simulated_group.steps_with_mixed_maps(world) == [], seed
        assert world.completed_steps > 0, seed


def test_group_without_ballot_check_does_not_recover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the ballot check the group does not recover."""
    m.no_ballot_check(monkeypatch)
    run = simulated_group.GroupChaosRun(seed=0, checks_fencing=False)
    run.run()
    assert not run.recovered
