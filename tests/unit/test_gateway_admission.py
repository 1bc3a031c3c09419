"""Tests of the refusal of streams at groups without free slots."""

import datetime

import pytest

from aspenfold._internal.gateway import admission
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import plan

SECOND = datetime.timedelta(seconds=1)


def route(kind: plan.Kind = plan.Kind.STREAMING) -> plan.Route:
    """Return a route with a timeout of eight seconds."""
    return plan.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=kind,
        timeout=8 * SECOND,
        objective=SECOND / 2,
        pause_objective=SECOND / 8,
        priority=1,
        targets=(),
        max_attempts=2,
        anonymous=False,
        resumable=True,
    )


def ranks(*in_flight: int, capacity: int = 4) -> list[directory.Endpoint]:
    """Return one rank for each number of requests in flight."""
    return [
        directory.Endpoint(
            listing=endpoint_listing.Listing(
                name=f'e-{i}',
                service='s',
                host='h',
                port=1,
                zone='z',
                capacity=capacity,
                draining=False,
            ),
            in_flight=count,
        )
        for i, count in enumerate(in_flight)
    ]


@pytest.mark.parametrize(
    ('in_flight', 'since_s', 'remaining_s', 'refused'),
    [
        ((3, 3, 2), 1.0, 8.0, True),
        # Retries are accepted.
        ((3, 3, 2), 1.0, 5.0, False),
        ((3, 2, 2), 1.0, 8.0, False),
        # The backlog is gone, or there was none.
        ((3, 3, 2), 3.0, 8.0, False),
        ((3, 3, 2), None, 8.0, False),
    ],
)
def test_first_streams_are_refused_while_a_backlog_remains(
    in_flight: tuple[int, ...],
    since_s: float | None,
    remaining_s: float,
    refused: bool,
) -> None:
    """New streams must not take the slots of retries after an outage."""
    since = None if since_s is None else since_s * SECOND
    result = admission.should_refuse(
        route(), remaining_s * SECOND, ranks(*in_flight), since
    )
    assert result is refused


@pytest.mark.parametrize(
    ('in_flight', 'remaining_s', 'refused'),
    [
        ((4, 4, 4), 8.0, True),
        ((4, 3, 4), 8.0, False),
        ((9, 4, 5), 8.0, True),
        # A retry is not refused: its caller does not retry again.
        ((9, 9, 9), 5.0, False),
        # Without any rank the request fails with another code.
        ((), 8.0, False),
    ],
)
def test_a_first_stream_is_refused_if_no_slot_is_free(
    in_flight: tuple[int, ...], remaining_s: float, refused: bool
) -> None:
    """Streams must not queue at a full group; retries are always sent."""
    result = admission.should_refuse(
        route(), remaining_s * SECOND, ranks(*in_flight)
    )
    assert result is refused


@pytest.mark.parametrize('kind', [plan.Kind.SAFE, plan.Kind.UNSAFE])
def test_requests_without_a_stream_are_not_refused(kind: plan.Kind) -> None:
    """Full groups must refuse only streams."""
    assert not admission.should_refuse(route(kind), 8 * SECOND, ranks(9))


def test_requests_of_other_gateways_use_slots() -> None:
    """A group filled by other gateways must count as full."""
    endpoints = ranks(1)
    assert not admission.is_full(endpoints)
    endpoints[0].peer_in_flight = 3
    assert admission.is_full(endpoints)
