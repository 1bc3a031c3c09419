"""Tests of waits for the recovery of an unavailable group."""

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

MAX_WAIT = outage.MIN_FIRST_EVENT_TIMEOUT - outage.FIRST_EVENT_MARGIN


def ongoing_outage(
    duration: datetime.timedelta,
) -> tuple[outage.Outage, datetime.datetime]:
    """Return an outage that started ``duration`` ago, and the time."""
    group_outage = outage.Outage()
    assert group_outage.record_refusal(clock.EPOCH)
    return group_outage, clock.EPOCH + duration


def wait(
    group_outage: outage.Outage,
    now: datetime.datetime,
    *,
    age: datetime.timedelta = 0 * MS,
    remaining: datetime.timedelta = TIMEOUT,
    route: plan.Route = ROUTE,
) -> datetime.timedelta:
    """Return how long a request may wait."""
    return group_outage.wait_limit(
        route, age=age, remaining=remaining, now=now
    )


def test_only_streams_wait_and_only_during_an_outage() -> None:
    """Other requests must not be delayed."""
    assert not wait(outage.Outage(), clock.EPOCH)
    group_outage, now = ongoing_outage(4 * SECOND)
    plain = dataclasses.replace(ROUTE, kind=plan.Kind.SAFE)
    assert not wait(group_outage, now, remaining=SECOND, route=plain)


def test_a_retry_waits_only_if_the_recovery_may_be_near() -> None:
    """Otherwise the retry must be refused immediately."""
    remaining = TIMEOUT / 2
    early, now = ongoing_outage(SECOND)
    assert not wait(early, now, remaining=remaining)
    late, now = ongoing_outage(outage.EXPECTED_OUTAGE_DURATION - SECOND)
    assert wait(late, now, remaining=remaining) == MAX_WAIT
    overdue, now = ongoing_outage(outage.EXPECTED_OUTAGE_DURATION * 2)
    assert wait(overdue, now, remaining=remaining) == MAX_WAIT


def test_a_first_request_waits_only_as_long_as_its_retry_needs() -> None:
    """It is refused immediately if the retry meets the recovery anyway."""
    late, now = ongoing_outage(2 * SECOND)
    assert not wait(late, now)
    fresh, now = ongoing_outage(0 * SECOND)
    wait_time = wait(fresh, now)
    assert 0 * MS < wait_time < MAX_WAIT
    # A retry after that wait can wait until the expected recovery.
    retry_at = wait_time + (TIMEOUT - wait_time) / outage.RETRY_DELAY_DIVISOR
    latest = retry_at + MAX_WAIT
    assert (
        abs(
            latest
            - outage.EXPECTED_OUTAGE_DURATION
            - outage.EXPECTED_OUTAGE_MARGIN
        )
        < MS
    )


def test_no_wait_exceeds_the_first_event_timeout() -> None:
    """The time that the request has already waited must count."""
    late, now = ongoing_outage(outage.EXPECTED_OUTAGE_DURATION)
    remaining = TIMEOUT / 2
    assert (
        wait(late, now, remaining=remaining - SECOND, age=SECOND)
        == MAX_WAIT - SECOND
    )
    assert not wait(late, now, remaining=remaining - MAX_WAIT, age=MAX_WAIT)


def test_a_recovery_before_the_outage_is_ignored() -> None:
    """A late peer update must not end a newer outage."""
    group_outage, now = ongoing_outage(SECOND)
    assert not group_outage.record_peer_recovery(2 * SECOND, now)
    assert group_outage.is_ongoing
    assert group_outage.record_peer_recovery(100 * MS, now)
    assert not group_outage.is_ongoing
    assert group_outage.recent_recovery_age(now) == 0 * MS
    assert (
        group_outage.recent_recovery_age(
            now + outage.RECOVERY_UPDATE_DURATION + MS
        )
        is None
    )


def test_waiting_requests_continue_after_the_recovery() -> None:
    """They must not wait beyond the recovery or their limit."""

    async def run() -> None:
        group_outage, now = ongoing_outage(SECOND)
        assert not await group_outage.wait_for_recovery(10 * MS)
        waiting = asyncio.ensure_future(
            group_outage.wait_for_recovery(SECOND * 30)
        )
        await asyncio.sleep(0)
        assert group_outage.record_recovery(now)
        assert await waiting

    asyncio.run(run())
