"""Who waits for a group that stands still, and for how long."""

import asyncio
import dataclasses
import datetime

from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import plan
from aspenfold._internal.kernel import clock

MS = datetime.timedelta(milliseconds=1)
SECOND = 1000 * MS
TIMEOUT = 8 * SECOND

ROUTE = plan.Route(
    name='stream',
    host='h',
    path_prefix='/',
    kind=plan.Kind.STREAMING,
    timeout=TIMEOUT,
    objective=400 * MS,
    pause_objective=120 * MS,
    priority=1,
    targets=(plan.Target(service='model', weight=1),),
    max_attempts=2,
    anonymous=False,
    resumable=True,
)

LONGEST = outage.MIN_FIRST_EVENT_TIMEOUT - outage.FIRST_EVENT_MARGIN


def standing(
    for_: datetime.timedelta,
) -> tuple[outage.Outage, datetime.datetime]:
    """Return a group that has refused for a while, and the time."""
    found = outage.Outage()
    assert found.record_refusal(clock.EPOCH)
    return found, clock.EPOCH + for_


def wait(
    found: outage.Outage,
    now: datetime.datetime,
    *,
    age: datetime.timedelta = 0 * MS,
    left: datetime.timedelta = TIMEOUT,
    route: plan.Route = ROUTE,
) -> datetime.timedelta:
    """Return how long a request waits."""
    return found.wait_limit(route, age=age, time_left=left, now=now)


def test_nobody_waits_for_a_group_that_runs() -> None:
    """Nor for one that is no group, or for an answer that is no stream."""
    assert not wait(outage.Outage(), clock.EPOCH)
    found, now = standing(4 * SECOND)
    plain = dataclasses.replace(ROUTE, kind=plan.Kind.SAFE)
    assert not wait(found, now, left=SECOND, route=plain)


def test_a_returned_caller_waits_only_if_the_end_may_be_near() -> None:
    """Otherwise it is told at once that its request has not run."""
    left = TIMEOUT / 2
    early, now = standing(SECOND)
    assert not wait(early, now, left=left)
    late, now = standing(outage.EXPECTED_OUTAGE_DURATION - SECOND)
    assert wait(late, now, left=left) == LONGEST
    overdue, now = standing(outage.EXPECTED_OUTAGE_DURATION * 2)
    assert wait(overdue, now, left=left) == LONGEST


def test_a_first_request_waits_no_longer_than_its_return_needs() -> None:
    """Refused at once where its return meets the opening anyway."""
    late, now = standing(2 * SECOND)
    assert not wait(late, now)
    fresh, now = standing(0 * SECOND)
    found = wait(fresh, now)
    assert 0 * MS < found < LONGEST
    # What returns after that wait may wait until the expected end.
    back = found + (TIMEOUT - found) / outage.RETRY_DELAY_DIVISOR
    reach = back + LONGEST
    assert (
        abs(
            reach
            - outage.EXPECTED_OUTAGE_DURATION
            - outage.EXPECTED_OUTAGE_MARGIN
        )
        < MS
    )


def test_no_wait_outlasts_a_callers_patience() -> None:
    """The time that the request has waited elsewhere counts."""
    late, now = standing(outage.EXPECTED_OUTAGE_DURATION)
    left = TIMEOUT / 2
    assert wait(late, now, left=left - SECOND, age=SECOND) == LONGEST - SECOND
    assert not wait(late, now, left=left - LONGEST, age=LONGEST)


def test_old_news_of_a_running_group_changes_nothing() -> None:
    """A peer may have seen it run before it refused here."""
    found, now = standing(SECOND)
    assert not found.record_peer_recovery(2 * SECOND, now)
    assert found.is_ongoing
    assert found.record_peer_recovery(100 * MS, now)
    assert not found.is_ongoing
    assert found.recent_recovery_age(now) == 0 * MS
    assert (
        found.recent_recovery_age(now + outage.RECOVERY_UPDATE_DURATION + MS)
        is None
    )


def test_those_who_wait_go_on_once_it_runs() -> None:
    """And at their limit otherwise."""

    async def run() -> None:
        found, now = standing(SECOND)
        assert not await found.wait_for_recovery(10 * MS)
        waiting = asyncio.ensure_future(found.wait_for_recovery(SECOND * 30))
        await asyncio.sleep(0)
        assert found.record_recovery(now)
        assert await waiting

    asyncio.run(run())
