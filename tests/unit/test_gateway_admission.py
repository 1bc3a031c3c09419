"""Which streams are refused at a full group, without I/O."""

import datetime

import pytest

from aspenfold._internal.gateway import admission
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import plan

SECOND = datetime.timedelta(seconds=1)


def route(kind: plan.Kind = plan.Kind.STREAMING) -> plan.Route:
    """Return a route whose callers wait eight seconds."""
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
    """Return ranks with so many requests each."""
    return [
        directory.Endpoint(
            listing=directory.Listing(
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
    ('in_flight', 'since_s', 'left', 'refused'),
    [
        ((3, 3, 2), 1.0, 8.0, True),
        # What returns is served first.
        ((3, 3, 2), 1.0, 5.0, False),
        ((3, 2, 2), 1.0, 8.0, False),
        # The backlog is worked off, or there was none.
        ((3, 3, 2), 3.0, 8.0, False),
        ((3, 3, 2), None, 8.0, False),
    ],
)
def test_first_streams_leave_room_for_a_backlog(
    in_flight: tuple[int, ...],
    since_s: float | None,
    left: float,
    refused: bool,
) -> None:
    """While those come back that a standing group refused."""
    since = None if since_s is None else since_s * SECOND
    found = admission.should_refuse(
        route(), left * SECOND, ranks(*in_flight), since
    )
    assert found is refused


@pytest.mark.parametrize(
    ('in_flight', 'left', 'refused'),
    [
        ((4, 4, 4), 8.0, True),
        ((4, 3, 4), 8.0, False),
        ((9, 4, 5), 8.0, True),
        # It asked before, and asks no third time.
        ((9, 9, 9), 5.0, False),
        # No rank is known: told by its own code.
        ((), 8.0, False),
    ],
)
def test_a_first_stream_is_refused_where_no_place_is_free(
    in_flight: tuple[int, ...], left: float, refused: bool
) -> None:
    """One that came back is always sent on."""
    found = admission.should_refuse(route(), left * SECOND, ranks(*in_flight))
    assert found is refused


@pytest.mark.parametrize('kind', [plan.Kind.SAFE, plan.Kind.UNSAFE])
def test_calls_are_not_refused(kind: plan.Kind) -> None:
    """They are short, and plain services queue them by themselves."""
    assert not admission.should_refuse(route(kind), 8 * SECOND, ranks(9))


def test_work_of_other_gateways_counts() -> None:
    """As peers told of it."""
    found = ranks(1)
    assert not admission.is_full(found)
    found[0].peer_in_flight = 3
    assert admission.is_full(found)
