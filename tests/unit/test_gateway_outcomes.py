"""What follows from an attempt's end: every case, without I/O."""

import datetime
import itertools

import pytest

from aspenfold._internal.gateway import outcome
from aspenfold._internal.gateway import plan

End = outcome.AttemptResult
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
    """Return a history of one attempt on a route of this kind."""
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


def cases() -> list[tuple[outcome.History, End, bool]]:
    """Return every history that can be, with every end."""
    result = []
    for (kind, resumable), end, sent, head, budget in itertools.product(
        KINDS, End, (0, 1, 2), (False, True), (False, True)
    ):
        ran = end not in outcome.NOT_RUN or head
        if head and kind is not plan.Kind.STREAMING:
            continue
        if ran and sent == 0:
            continue
        found = history(
            kind,
            resumable,
            attempts_sent=sent,
            unreachable=int(end is End.NOT_SENT),
            may_have_run=ran,
            head_delivered=head,
        )
        result.append((found, end, budget))
    return result


def test_what_may_have_run_is_repeated_only_if_it_may_be() -> None:
    """Never an unsafe request or a stream that cannot be resumed."""
    for found, end, budget in cases():
        step = outcome.next_step(found, end, has_budget=budget)
        if step is Step.RETRY and found.may_have_run:
            assert found.route.repeatable


def test_only_what_has_not_run_is_refused() -> None:
    """A refusal promises that the request has not run."""
    for found, end, budget in cases():
        step = outcome.next_step(found, end, has_budget=budget)
        if step is Step.REFUSE:
            assert not found.may_have_run
            assert end in outcome.NOT_RUN


def test_attempts_and_budget_bound_repetition() -> None:
    """Whatever the end."""
    for found, end, budget in cases():
        step = outcome.next_step(found, end, has_budget=budget)
        if step is Step.RETRY:
            assert budget
            assert found.attempts_sent < found.route.max_attempts


def test_a_stream_that_began_is_resumed_or_looks_broken() -> None:
    """It gets no second head."""
    for found, end, budget in cases():
        if not found.head_delivered or end is End.ANSWERED:
            continue
        step = outcome.next_step(found, end, has_budget=budget)
        assert step in (Step.RETRY, Step.ABORT)


def test_an_answer_is_always_delivered() -> None:
    """Also one that came late or with a failure of the caller's."""
    for found, end, budget in cases():
        if end is End.ANSWERED:
            assert (
                outcome.next_step(found, end, has_budget=budget)
                is Step.DELIVER
            )


@pytest.mark.parametrize('end', [End.TIMED_OUT, End.GROUP_UNAVAILABLE])
def test_some_ends_are_the_last(end: End) -> None:
    """No time is left, or no endpoint would do better."""
    found = history(plan.Kind.SAFE, False, attempts_sent=1)
    step = outcome.next_step(found, end, has_budget=True)
    assert step is not Step.RETRY


def test_connections_are_not_tried_for_ever() -> None:
    """A bound stands where attempts are not counted."""
    found = history(
        plan.Kind.UNSAFE, False, unreachable=outcome.MAX_UNREACHABLE
    )
    step = outcome.next_step(found, End.NOT_SENT, has_budget=True)
    assert step is Step.REFUSE
