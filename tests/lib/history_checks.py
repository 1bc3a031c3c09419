"""Checks of the history of a simulated cluster.

Each check returns a description of each violation.
"""

import datetime

from aspenfold._internal import exceptions
from tests.lib import simulated_cluster

MAX_HANDOVER_DELAY = datetime.timedelta(seconds=1)
"""Longest time from an agent's start of an attempt to its execution."""


def executions_of(
    cluster: simulated_cluster.SimulatedCluster,
    submission: simulated_cluster.Submission,
) -> list[simulated_cluster.Execution]:
    """Return the executions of a submission."""
    return [
        execution
        for execution in cluster.executions
        if execution.call_id == submission.call.call_id
    ]


def check_at_most_once(
    cluster: simulated_cluster.SimulatedCluster,
) -> list[str]:
    """Check that no unrepeatable call runs more than once per key."""
    calls = {s.call.call_id: s.call for s in cluster.submissions}
    counts: dict[str, int] = {}
    for execution in cluster.executions:
        call = calls[execution.call_id]
        if not call.repeatable:
            counts[call.key] = counts.get(call.key, 0) + 1
    return [
        f'key {key[:12]} ran {count} times'
        for key, count in counts.items()
        if count > 1
    ]


def check_not_run(cluster: simulated_cluster.SimulatedCluster) -> list[str]:
    """Check that what is reported as not run never runs.

    This covers the refused submission and earlier submissions of its
    key; a later one may run.  Refusals with KEY_REUSED are not checked.
    """
    violations = []
    for position, refused in enumerate(cluster.submissions):
        failure = refused.failure
        if failure is None:
            continue
        if failure.outcome is not exceptions.Outcome.NOT_RUN:
            continue
        if failure.code is exceptions.Code.KEY_REUSED:
            continue
        for other in cluster.submissions[: position + 1]:
            is_covered = other is refused or (
                other.call.key and other.call.key == refused.call.key
            )
            if is_covered and executions_of(cluster, other):
                violations.append(
                    f'{refused.call.call_id} ended with {failure.code.name}'
                    f' but {other.call.call_id} ran'
                )
    return violations


def check_answers(cluster: simulated_cluster.SimulatedCluster) -> list[str]:
    """Check that each answer is correct and given only once.

    A call that did not complete may have received the first items.
    """
    violations = []
    for submission in cluster.submissions:
        call = submission.call
        expected = simulated_cluster.expected_items(call.body, call.streamed)
        received = submission.items
        if submission.complete and received != expected:
            violations.append(
                f'{call.call_id} got {received!r}, not {expected!r}'
            )
        if received != expected[: len(received)]:
            violations.append(f'{call.call_id} got wrong items {received!r}')
        if submission.answer_count > 1:
            violations.append(f'{call.call_id} was answered twice')
    return violations


def check_all_answered(
    cluster: simulated_cluster.SimulatedCluster,
) -> list[str]:
    """Check that every submission to a running entry was answered."""
    return [
        f'{s.call.call_id} at {s.entry} has no answer'
        for s in cluster.submissions
        if s.answer_count == 0
        and cluster.entries[s.entry].alive
        and not cluster.entries[s.entry].frozen
    ]


def check_no_work_after_sigterm(
    cluster: simulated_cluster.SimulatedCluster,
) -> list[str]:
    """Check that a draining agent starts no executions.

    Those that start up to ``MAX_HANDOVER_DELAY`` late are accepted.
    """
    violations = []
    for execution in cluster.executions:
        drain_started_at = cluster.drain_started_at.get(execution.incarnation)
        if (
            drain_started_at is not None
            and execution.started_at > drain_started_at + MAX_HANDOVER_DELAY
        ):
            violations.append(
                f'{execution.call_id} started at {execution.endpoint}'
            )
    return violations


def check_all(cluster: simulated_cluster.SimulatedCluster) -> list[str]:
    """Run all checks."""
    return (
        check_at_most_once(cluster)
        + check_not_run(cluster)
        + check_answers(cluster)
        + check_all_answered(cluster)
        + check_no_work_after_sigterm(cluster)
    )
