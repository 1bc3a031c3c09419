"""What endpoints state, and what becomes of it at one gateway."""

import dataclasses
import datetime
from unittest import mock

from aspenfold_standins import platform_worker
import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.gateway import send_permission
from aspenfold._internal.gateway import statement_recorder
from aspenfold._internal.kernel import clock
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics
from aspenfold.platform import endpoint_records
from aspenfold.platform import endpoint_statements
from tests.lib import foreign_entries
from tests.lib import listings

SECOND = datetime.timedelta(seconds=1)
BACKOFF = send_permission.Obstacle.BACKOFF
ATTEMPT = 'a-1'


def decode(
    headers: dict[bytes, bytes],
) -> endpoint_statement.EndpointStatement:
    """Return what these headers state."""
    return endpoint_statements.decode(list(headers.items()))


class Gateway:
    """What one gateway knows of the endpoint ``w-1``, at a driven time."""

    def __init__(self) -> None:
        self.now = clock.EPOCH
        self.directory = directory.Directory()
        self.directory.update_listing(listings.make_listing('w-1'))
        self.metrics = metrics.Metrics()
        self.recorder = statement_recorder.StatementRecorder(
            endpoint_directory=self.directory,
            limits=rate_limits.RateLimits(
                host='g', zone='z', endpoint_directory=self.directory
            ),
            counters=self.metrics,
        )

    @property
    def endpoint(self) -> directory.Endpoint:
        """The endpoint as it is known now."""
        endpoint = self.directory.get('w-1')
        assert endpoint is not None
        return endpoint

    def record(
        self,
        headers: dict[bytes, bytes],
        *,
        status: int = 503,
        endpoint: directory.Endpoint | None = None,
    ) -> None:
        """Record a response with these headers."""
        self.recorder.record(
            endpoint or self.endpoint,
            decode(headers),
            status=status,
            attempt_id=ATTEMPT,
            sent_at=self.now,
            now=self.now,
        )

    def wait(self) -> datetime.timedelta | None:
        """Return the time until a request may be sent, None for never."""
        permission = self.endpoint.permission(self.now)
        if permission.obstacle is None:
            return datetime.timedelta(0)
        return (
            None if permission.until is None else permission.until - self.now
        )


def refusal(retry_after: str) -> dict[bytes, bytes]:
    """Return the headers of a refusal that asks for this many seconds."""
    return {
        b'x-aspenfold-not-executed': b'1',
        b'retry-after': retry_after.encode(),
    }


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [('3', 3.0), ('0.25', 0.25), ('0', 0.0), ('1e9', 300.0), ('86400', 300.0)],
)
def test_a_refusal_keeps_requests_away(value: str, seconds: float) -> None:
    """Absurd times are cut, so that the endpoint is tried again one day."""
    gateway = Gateway()
    gateway.record(refusal(value))
    assert gateway.wait() == seconds * SECOND


@pytest.mark.parametrize(
    'value',
    ['-1', 'soon', 'nan', 'inf', '1 2', 'Wed, 21 Oct 2026 07:28:00 GMT'],
)
def test_an_invalid_time_is_logged_and_counted(value: str) -> None:
    """It keeps nothing away, and is not passed over in silence."""
    gateway = Gateway()
    with mock.patch.object(events, 'emit', autospec=True) as emit:
        gateway.record(refusal(value))
    assert gateway.wait() == 0 * SECOND
    assert [call.args for call in emit.call_args_list] == [
        (events.Event.HEADER_INVALID,)
    ]
    assert b'invalid_headers_total{label="retry-after"} 1.0' in (
        gateway.metrics.text()
    )


def test_a_shorter_time_does_not_end_a_longer_one() -> None:
    """Each refusal asks for itself."""
    gateway = Gateway()
    gateway.record(refusal('5'))
    gateway.now += SECOND
    gateway.record(refusal('2'))
    assert gateway.wait() == 4 * SECOND
    gateway.record(refusal('6'))
    assert gateway.wait() == 6 * SECOND
    gateway.record({b'x-aspenfold-not-executed': b'1'})
    assert gateway.wait() == 6 * SECOND


@pytest.mark.parametrize(
    ('status', 'seconds'),
    [(503, 3), (429, 3), (200, 0), (301, 0), (421, 0), (500, 0)],
)
def test_only_a_refusal_speaks_of_the_endpoint(
    status: int, seconds: int
) -> None:
    """Others are for the caller, or of another endpoint at the address."""
    gateway = Gateway()
    gateway.record({b'retry-after': b'3'}, status=status)
    assert gateway.wait() == seconds * SECOND


def test_what_an_endpoint_states_outlasts_its_entry() -> None:
    """An entry that expires comes back without what was stated."""
    gateway = Gateway()
    endpoint = gateway.endpoint
    gateway.record(refusal('3'))
    gateway.directory.remove_listing('w-1', gateway.now, store_available=True)
    gateway.record({b'server-leaving': b'1'}, status=200, endpoint=endpoint)
    gateway.record({b'server-limit': b'1'}, status=200, endpoint=endpoint)
    assert gateway.directory.update_listing(listings.make_listing('w-1'))
    assert gateway.wait() is None
    gateway.endpoint.leaving = False
    assert gateway.wait() == 3 * SECOND
    assert gateway.endpoint.rate_limit is None


@pytest.mark.parametrize('is_removed', [False, True])
def test_a_new_start_of_an_endpoint_has_stated_nothing(
    is_removed: bool,
) -> None:
    """Nor do responses and entries of the start before it speak for it."""
    gateway = Gateway()
    known = gateway.directory
    known.update_listing(listings.make_listing('w-1', started_ms=1000))
    earlier = gateway.endpoint
    gateway.record({b'server-leaving': b'1', b'server-limit': b'1'})
    gateway.record(refusal('9'))
    known.record_unreachable(earlier, gateway.now)
    if is_removed:
        known.remove_listing('w-1', gateway.now, store_available=True)
    new = listings.make_listing('w-1', started_ms=1001)
    assert known.update_listing(new)
    assert gateway.wait() == 0 * SECOND
    gateway.record({b'server-leaving': b'1'}, status=200, endpoint=earlier)
    gateway.record({b'server-limit': b'0'}, status=200, endpoint=earlier)
    old = listings.make_listing('w-1', started_ms=1000, draining=True)
    assert not known.update_listing(old)
    assert gateway.wait() == 0 * SECOND
    assert gateway.endpoint.listing == new


def test_an_entry_without_its_start_is_of_the_same_start() -> None:
    """Other versions of endpoints may leave it out."""
    gateway = Gateway()
    gateway.record({b'server-leaving': b'1'}, status=200)
    gateway.directory.update_listing(
        listings.make_listing('w-1', started_ms=1000)
    )
    assert gateway.wait() is None


def test_the_start_of_an_endpoint_is_a_whole_number() -> None:
    """An entry in which it is not names no endpoint to use."""
    entry = platform_worker.Worker('w').store_record('s') | {
        'address': '1.2.3.4:5',
        'born': 1234,
    }
    listing = endpoint_records.decode('w', orjson.dumps(entry))
    assert listing.started_ms == 1234
    for value in ('1234', 1.5, True, [1]):
        data = orjson.dumps({**entry, 'born': value})
        with pytest.raises(ValueError, match='born'):
            endpoint_records.decode('w', data)


def test_an_entry_that_the_platform_does_not_name_is_no_endpoint() -> None:
    """Read partly it was one that leaves, and the end of others (LOST)."""
    worker = platform_worker.Worker('w')
    worker.started_ms = 1234
    record = worker.store_record('s') | {'address': '1.2.3.4:5'}
    for state in ('ready', 'draining'):
        data = foreign_entries.encode({**record, 'state': state})
        listing = endpoint_records.decode('w', data)
        assert listing.draining is (state == 'draining')
    for data in foreign_entries.malformed(record):
        with pytest.raises(ValueError):
            endpoint_records.decode('w', data)


def test_few_removed_endpoints_are_remembered() -> None:
    """Their number must not grow with each release."""
    known = directory.Directory()
    for number in range(directory.MAX_REMOVED + 5):
        name = f'w-{number}'
        known.update_listing(listings.make_listing(name, draining=True))
        known.remove_listing(name, clock.EPOCH, store_available=True)
    for number, stays in ((0, False), (5, True)):
        known.update_listing(listings.make_listing(f'w-{number}'))
        endpoint = known.get(f'w-{number}')
        assert endpoint is not None
        assert endpoint.leaving is stays


@pytest.mark.parametrize(
    ('status', 'leaves'),
    [(200, True), (404, True), (500, True), (503, True), (421, False)],
)
def test_an_endpoint_may_state_its_leaving_in_any_response(
    status: int, leaves: bool
) -> None:
    """A 421 may come from another endpoint that uses the address now."""
    gateway = Gateway()
    gateway.record({b'server-leaving': b'1'}, status=status)
    assert gateway.endpoint.leaving is leaves
    gateway.record({}, status=200)
    gateway.record({b'server-leaving': b'0'}, status=200)
    assert gateway.endpoint.leaving is leaves


@pytest.mark.parametrize(
    ('responder', 'leaves'), [(b'w-1', True), (b'w-2', False), (b'', False)]
)
def test_a_421_states_the_leaving_of_whom_it_names(
    responder: bytes, leaves: bool
) -> None:
    """The endpoint itself refuses requests for weights that it lacks."""
    gateway = Gateway()
    headers = {b'server-leaving': b'1', b'x-aspenfold-instance-id': responder}
    gateway.record(headers, status=421)
    assert gateway.endpoint.leaving is leaves


@pytest.mark.parametrize('value', ['yes', '2', 'true', '-1'])
def test_an_invalid_leaving_is_logged_and_counted(value: str) -> None:
    """Only 1 takes an endpoint out of use."""
    gateway = Gateway()
    with mock.patch.object(events, 'emit', autospec=True) as emit:
        gateway.record({b'server-leaving': value.encode()}, status=200)
    assert not gateway.endpoint.leaving
    assert [call.kwargs['name'] for call in emit.call_args_list] == [
        'server-leaving'
    ]


@hypothesis.given(
    refusals=st.lists(
        st.tuples(st.integers(0, 5000), st.integers(0, 9000)), max_size=12
    )
)
def test_no_refusal_is_forgotten(refusals: list[tuple[int, int]]) -> None:
    """Requests stay away as long as any refusal asked for."""
    gateway = Gateway()
    ends = [gateway.now]
    for pause_ms, asked_ms in refusals:
        gateway.now += pause_ms * clock.MILLISECOND
        gateway.record(refusal(str(asked_ms / 1000)))
        ends.append(gateway.now + asked_ms * clock.MILLISECOND)
        assert gateway.wait() == max(max(ends) - gateway.now, 0 * SECOND)


@pytest.mark.parametrize('retry_after', [None, '0', 'soon'])
def test_an_idle_endpoint_that_refuses_is_paused(
    retry_after: str | None,
) -> None:
    """As it runs nothing, the next request would go there first."""
    gateway = Gateway()
    headers = {
        b'x-aspenfold-not-executed': b'1',
        b'x-aspenfold-instance-load': b'0,0,4',
    }
    if retry_after is not None:
        headers[b'retry-after'] = retry_after.encode()
    gateway.record({**headers, b'at-server': b'w-2'})
    assert gateway.wait() == 0 * SECOND
    gateway.record({**headers, b'x-aspenfold-instance-load': b'4,0,4'})
    assert gateway.wait() == 0 * SECOND
    pauses = []
    for _ in range(5):
        gateway.record(headers)
        pauses.append(gateway.wait())
    assert pauses == [
        0.5 * SECOND,
        1 * SECOND,
        2 * SECOND,
        4 * SECOND,
        4 * SECOND,
    ]


def test_a_backed_off_endpoint_is_no_last_resort() -> None:
    """Other than a paused one, of which that is only a guess."""
    gateway = Gateway()
    gateway.directory.record_unreachable(gateway.endpoint, gateway.now)
    assert gateway.directory.routable('s', gateway.now)
    gateway.record(refusal('2'))
    assert not gateway.directory.routable('s', gateway.now)
    permission = gateway.directory.next_permission('s', gateway.now)
    assert permission == send_permission.Permission(
        obstacle=BACKOFF, until=gateway.now + 2 * SECOND
    )


@pytest.mark.parametrize('host', ['host-of-w-1', 'other'])
def test_an_entry_that_moves_its_endpoint_moves_its_requests(
    host: str,
) -> None:
    """It is repeated, as another service's endpoint or at another address."""
    known = directory.Directory()
    before = listings.make_listing('w-1')
    moved = dataclasses.replace(before, service='t', host=host)
    for listing in (before, moved, moved):
        known.update_listing(listing)
    assert not known.of_service('s')
    (endpoint,) = known.of_service('t')
    assert endpoint.listing == moved
    known.update_listing(dataclasses.replace(moved, name='w-2'))
    assert known.of_service('t') == [endpoint]
