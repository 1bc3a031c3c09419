"""Tests of the step after an attempt, over all possible cases."""

import datetime
import itertools

import pytest

from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan

Result = outcome.AttemptResult
Step = outcome.NextStep

KINDS = [
    (plan.Kind.SAFE, False),
    (plan.Kind.UNSAFE, False),
    (plan.Kind.STREAMING, False),
    (plan.Kind.STREAMING, True),
]


def history(
    kind: plan.Kind, resumable: bool, **more: object
) -> outcome.History:
    """Return a request's history on a route of this kind."""
    route = plan.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=kind,
        timeout=datetime.timedelta(seconds=1),
        objective=datetime.timedelta(seconds=1),
        pause_objective=datetime.timedelta(seconds=1),
        priority=1,
        targets=(),
        max_attempts=2,
        anonymous=False,
        resumable=resumable,
    )
    return outcome.History(route=route, **more)  # type: ignore[arg-type]


def cases() -> list[tuple[outcome.History, Result, bool]]:
    """Return all possible histories with every result and budget."""
    all_cases = []
    for (kind, resumable), result, sent, head, budget in itertools.product(
        KINDS, Result, (0, 1, 2), (False, True), (False, True)
    ):
        ran = result not in outcome.NOT_RUN or head
        if head and kind is not plan.Kind.STREAMING:
            continue
        if ran and sent == 0:
            continue
        request_history = history(
            kind,
            resumable,
            attempts_sent=sent,
            unreachable=int(result is Result.NOT_SENT),
            may_have_run=ran,
            head_delivered=head,
        )
        all_cases.append((request_history, result, budget))
    return all_cases


def test_a_request_that_may_have_run_is_retried_only_if_repeatable() -> None:
    """Unsafe requests must not run twice."""
    for request_history, result, budget in cases():
        step = outcome.next_step(request_history, result, has_budget=budget)
        if step is Step.RETRY and request_history.may_have_run:
            assert request_history.route.repeatable


def test_only_requests_that_have_not_run_are_refused() -> None:
    """A refusal must not hide that a request may have run."""
    for request_history, result, budget in cases():
        step = outcome.next_step(request_history, result, has_budget=budget)
        if step is Step.REFUSE:
            assert not request_history.may_have_run
            assert result in outcome.NOT_RUN


def test_attempts_and_retry_budget_limit_retries() -> None:
    """No result may cause unlimited retries."""
    for request_history, result, budget in cases():
        step = outcome.next_step(request_history, result, has_budget=budget)
        if step is Step.RETRY:
            assert budget
            assert (
                request_history.attempts_sent
                < request_history.route.max_attempts
            )


def test_a_started_stream_is_resumed_or_aborted() -> None:
    """The caller must not get a second response head."""
    for request_history, result, budget in cases():
        if not request_history.head_delivered or result is Result.ANSWERED:
            continue
        step = outcome.next_step(request_history, result, has_budget=budget)
        assert step in (Step.RETRY, Step.ABORT)


def test_a_complete_response_is_always_delivered() -> None:
    """A complete response must not be dropped."""
    for request_history, result, budget in cases():
        if result is Result.ANSWERED:
            assert (
                outcome.next_step(request_history, result, has_budget=budget)
                is Step.DELIVER
            )


@pytest.mark.parametrize(
    'result', [Result.TIMED_OUT, Result.GROUP_UNAVAILABLE]
)
def test_some_results_are_not_retried(result: Result) -> None:
    """A retry could not succeed after them."""
    request_history = history(plan.Kind.SAFE, False, attempts_sent=1)
    step = outcome.next_step(request_history, result, has_budget=True)
    assert step is not Step.RETRY


def test_failed_connections_are_limited() -> None:
    """Failed connections do not count as attempts, so they need a limit."""
    request_history = history(
        plan.Kind.UNSAFE, False, unreachable=outcome.MAX_UNREACHABLE
    )
    step = outcome.next_step(request_history, Result.NOT_SENT, has_budget=True)
    assert step is Step.REFUSE
