"""The history checks detect the removal of each guard."""

from collections import abc

import pytest
from tests.lib import chaos
from tests.lib import group_world
from tests.lib import history
from tests.lib import mutations as m
from tests.lib import plays
from tests.lib import world as world_module

MAX_SEEDS = 25
MORE_SEEDS = 400
Check = abc.Callable[[world_module.World], list[str]]
Run = abc.Callable[[int], world_module.World]


def random_calls(seed: int) -> world_module.World:
    """Run random calls under random faults."""
    return chaos.Chaos(seed=seed).run()


def broken_answers(world: world_module.World) -> list[str]:
    """Check P2, and that every call is answered."""
    return history.whole_answers(world) + history.all_answered(world)


def incomplete_answers(world: world_module.World) -> list[str]:
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
    (m.no_seal, history.at_most_once, plays.overtaken, 0),
    (m.ask_nobody, history.not_run_is_true, random_calls, 6),
    (m.any_not_run, history.not_run_is_true, random_calls, 2),
    (m.trust_followed, history.not_run_is_true, random_calls, 84),
    (m.no_settled_position, history.not_run_is_true, plays.late_request, 0),
    (m.claim_by_last_writer, history.at_most_once, plays.rival_claims, 17),
    (m.no_claim, history.at_most_once, random_calls, 48),
    (m.repeat_anything, history.at_most_once, random_calls, 1),
    (m.forget_attempts, history.at_most_once, random_calls, 0),
    (
        m.ignore_leaving,
        history.leaving_gets_no_work,
        plays.terminated_agent,
        0,
    ),
    (m.exit_at_once, incomplete_answers, plays.terminated_agent, 0),
    (m.exit_at_once, incomplete_answers, plays.terminated_entry, 0),
    (m.any_incarnation, history.at_most_once, plays.forgetful, 0),
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
        plays.rival_claims,
        plays.late_request,
        plays.overtaken,
        plays.forgetful,
        plays.terminated_agent,
        plays.terminated_entry,
    ],
)
def test_scripted_runs_pass_with_their_guards(run: Run) -> None:
    """With all guards the scripted runs pass every check."""
    for seed in range(MAX_SEEDS):
        assert history.check(run(seed)) == [], seed


@pytest.mark.parametrize(
    'run', [plays.terminated_agent, plays.terminated_entry]
)
def test_shutdown_completes_calls_in_flight(run: Run) -> None:
    """P6 holds when the agent or the entry terminates."""
    for seed in range(MAX_SEEDS):
        assert incomplete_answers(run(seed)) == [], seed


def random_group(seed: int) -> group_world.GroupWorld:
    """Run a group under random faults."""
    return group_world.GroupChaos(seed=seed, checks_fencing=False).run()


GROUP_CASES = [
    (m.begin_at_last, plays.lost_rank, 0),
    (m.promise_of_some, plays.split_group, 0),
    (m.grant_at_once, random_group, 0),
]


@pytest.mark.parametrize(
    ('mutation', 'run', 'first'),
    GROUP_CASES,
    ids=[case[0].__name__ for case in GROUP_CASES],
)
def test_group_guard(
    mutation: m.Mutation,
    run: abc.Callable[[int], group_world.GroupWorld],
    first: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the guard some run uses two maps in one step."""
    mutation(monkeypatch)
    for seed in seeds_from(first):
        if group_world.one_map_each_step(run(seed)):
            return
    pytest.fail('no run failed the check without the guard')


@pytest.mark.parametrize('run', [plays.lost_rank, plays.split_group])
def test_scripted_group_runs_pass_with_their_guards(
    run: abc.Callable[[int], group_world.GroupWorld],
) -> None:
    """The scripted group runs use one map in each step, and progress."""
    for seed in range(MAX_SEEDS):
        world = run(seed)
        assert group_world.one_map_each_step(world) == [], seed
        assert world.steps_done > 0, seed


def test_group_without_ballot_check_does_not_recover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the ballot check the group does not recover."""
    m.no_ballot_check(monkeypatch)
    run = group_world.GroupChaos(seed=0, checks_fencing=False)
    run.run()
    assert not run.recovered
