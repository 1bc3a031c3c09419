"""Checks of a finished run's history; each returns what it found wrong."""

import datetime

from aspenfold._internal import exceptions
from tests.lib import simulated_cluster


HAND_OVER = datetime.timedelta(seconds=1)
"""Time for what an agent accepted before to reach its endpoint."""


def runs_of(
    world: simulated_cluster.SimulatedCluster,
    submission: simulated_cluster.Submission,
) -> list[simulated_cluster.Execution]:
    """Return the executions that this submission caused."""
    return [
        run
        for run in world.executions
        if run.call_id == submission.call.call_id
    ]


def at_most_once(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """P4: no key of a call that must not be repeated runs twice."""
    calls = {s.call.call_id: s.call for s in world.submissions}
    counts: dict[str, int] = {}
    for run in world.executions:
        call = calls[run.call_id]
        if not call.repeatable:
            counts[call.key] = counts.get(call.key, 0) + 1
    return [
        f'key {key[:12]} ran {count} times'
        for key, count in counts.items()
        if count > 1
    ]


def not_run_is_true(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """P3: what was answered as not run has no execution, ever.

    A later submission of the same key may run; one that was made before
    the refused one, or the refused one itself, may not.
    """
    problems = []
    for position, refused in enumerate(world.submissions):
        failure = refused.failure
        if failure is None:
            continue
        if failure.outcome is not exceptions.Outcome.NOT_RUN:
            continue
        if failure.code is exceptions.Code.KEY_REUSED:
            continue
        for other in world.submissions[: position + 1]:
            same = other is refused or (
                other.call.key and other.call.key == refused.call.key
            )
            if same and runs_of(world, other):
                problems.append(
                    f'{refused.call.call_id} was told {failure.code.name}'
                    f' but {other.call.call_id} ran'
                )
    return problems


def whole_answers(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """P2: an answer is right and whole, or ends in a coded error."""
    problems = []
    for submission in world.submissions:
        call = submission.call
        right = simulated_cluster.expected(call.body, call.streamed)
        got = submission.items
        if submission.whole and got != right:
            problems.append(f'{call.call_id} got {got!r}, not {right!r}')
        if got != right[: len(got)]:
            problems.append(f'{call.call_id} got a wrong start {got!r}')
        if submission.answers > 1:
            problems.append(f'{call.call_id} was answered twice')
    return problems


def all_answered(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """Every submission to a living entry has its final answer."""
    return [
        f'{s.call.call_id} at {s.entry} has no answer'
        for s in world.submissions
        if s.answers == 0
        and world.entries[s.entry].alive
        and not world.entries[s.entry].frozen
    ]


def leaving_gets_no_work(
    world: simulated_cluster.SimulatedCluster,
) -> list[str]:
    """P5: an agent that was told to leave starts nothing later."""
    problems = []
    for run in world.executions:
        left = world.left_at.get(run.incarnation)
        if left is not None and run.at > left + HAND_OVER:
            problems.append(f'{run.call_id} started at {run.endpoint}')
    return problems


def check(world: simulated_cluster.SimulatedCluster) -> list[str]:
    """Return everything that the history shows to be wrong."""
    return (
        at_most_once(world)
        + not_run_is_true(world)
        + whole_answers(world)
        + all_answered(world)
        + leaving_gets_no_work(world)
    )
