"""Tests of the smaller parts of the gateway."""

import ast
import datetime
import json
import pathlib
import random
import threading

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import event_stream
from aspenfold._internal.gateway import peers
from aspenfold._internal.gateway import plan_index
from aspenfold._internal.gateway import refusal
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock
from aspenfold._internal.leases import election
from aspenfold._internal.models import fleet
from aspenfold._internal.observability import output
from aspenfold._internal.retries import shared_budget
from aspenfold._internal.routing import zone_first
from aspenfold.platform import config
from aspenfold.platform import endpoint_records
from aspenfold.platform import settings as platform_settings
from tests.lib import listings

SECOND = datetime.timedelta(seconds=1)
SOURCES = pathlib.Path(__file__).resolve().parents[2] / 'src' / 'aspenfold'


@hypothesis.given(st.data())
def test_events_are_forwarded_complete_for_any_split_of_the_bytes(
    data: st.DataObject,
) -> None:
    """Bytes must not be lost, repeated or forwarded as a partial event."""
    count = data.draw(st.integers(1, 20))
    text = b''.join(
        f'id: {n}\ndata: {"x" * (n % 5)}\n\n'.encode() for n in range(count)
    )
    stream = event_stream.EventStream()
    forwarded = b''
    rest = text
    while rest:
        size = data.draw(st.integers(1, len(rest)))
        part = stream.feed(rest[:size])
        assert not part or part.endswith(b'\n\n')
        forwarded += part
        rest = rest[size:]
    assert forwarded == text
    assert stream.events == count


@hypothesis.given(st.integers(0, 9), st.integers(0, 9))
def test_a_resumed_stream_repeats_no_event(cut: int, back: int) -> None:
    """The next endpoint may start at an earlier event."""
    events = [f'id: {n}\ndata: {n}\n\n'.encode() for n in range(1, 11)]
    stream = event_stream.EventStream()
    forwarded = stream.feed(b''.join(events[:cut]) + events[cut][:6])
    stream.begin_attempt()
    forwarded += stream.feed(b''.join(events[max(0, cut - back) :]))
    assert forwarded == b''.join(events)


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_an_id_is_found_behind_any_line(line_end: bytes) -> None:
    """Behind a CR it was not, so that a resumed stream repeated the event."""
    lines = [b': kept alive', b'data: text', b'id: 7', b'', b'']
    event = line_end.join(lines)
    stream = event_stream.EventStream()
    assert stream.feed(event) == event
    assert stream.last_id == b'7'
    stream.begin_attempt()
    assert not stream.feed(event)


@hypothesis.given(
    st.integers(0, 10**6), st.integers(0, 10**6), st.integers(0, 5_000)
)
def test_ids_of_any_length_are_compared_as_numbers(
    last: int, following: int, zeros: int
) -> None:
    """An id of more digits than int() takes ended the stream."""
    long = b'0' * zeros + b'%d' % following + b'0' * 5_000
    events = [b'id: %d\n\n' % last, b'id: %d\n\n' % following]
    events.append(b'id: ' + long + b'\n\n')
    stream = event_stream.EventStream()
    expected = events[0] + events[1] * (following > last)
    expected += events[2] * (following > 0)
    assert stream.feed(b''.join(events)) == expected


def plan_of(routes: list[dict[str, object]]) -> bytes:
    """Return a configuration in the platform's encoding."""
    base = {
        'kind': 'safe',
        'timeout_ms': 100,
        'target_latency_ms': 100,
        'service': 's',
    }
    return json.dumps(
        {
            'version': 3,
            'routes': [{**base, **route} for route in routes],
            'tenants': [{'name': 'one', 'api_keys': ['k-1', 'k-2']}],
        }
    ).encode()


def test_the_longest_matching_prefix_is_used() -> None:
    """Prefixes end at a slash; the case of hosts is ignored."""
    routes: list[dict[str, object]] = [
        {'name': 'a', 'host': 'H.example', 'path_prefix': '/a/'},
        {'name': 'ab', 'host': 'h.example', 'path_prefix': '/a/b/'},
        {'name': 'other', 'host': 'o.example', 'path_prefix': '/a/b/c/'},
    ]
    index = plan_index.PlanIndex(plan=config.decode(plan_of(routes)))

    def name(host: str, path: str) -> str | None:
        route = index.find_route(host, path)
        return route.name if route else None

    assert name('h.example', '/a/b/c/d') == 'ab'
    assert name('H.EXAMPLE', '/a/bc') == 'a'
    assert name('h.example', '/a') is None
    assert name('h.example', 'a/b/') is None
    assert name('x.example', '/a/') is None


def test_an_organisation_is_found_by_each_of_its_keys() -> None:
    """Parts of keys or keys in another case must not match."""
    index = plan_index.PlanIndex(plan=config.decode(plan_of([])))
    for key in (b'k-1', b'k-2'):
        organisation = index.find_organisation(key)
        assert organisation is not None
        assert organisation.name == 'one'
    for key in (b'', b'k-', b'k-11', b'K-1'):
        assert index.find_organisation(key) is None


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('kind', 'maybe'),
        ('timeout_ms', 0),
        ('timeout_ms', 'soon'),
        ('host', None),
        ('max_attempts', 'x'),
    ],
)
def test_the_error_of_an_invalid_plan_names_the_field(
    field: str, value: object
) -> None:
    """The error must name the route and the field."""
    route = {'host': 'h', 'path_prefix': '/', field: value}
    with pytest.raises(ValueError, match=rf'routes\.0\.{field}'):
        config.decode(plan_of([route]))


@pytest.mark.parametrize(
    'text', [b'', b'{}', b'[]', b'{"service": "s", "address": "x"}']
)
def test_an_invalid_endpoint_record_is_an_error(text: bytes) -> None:
    """It must not become an endpoint."""
    with pytest.raises(ValueError):
        endpoint_records.decode('w', text)


def test_the_error_of_invalid_settings_names_the_field(
    tmp_path: pathlib.Path,
) -> None:
    """Missing fields and malformed addresses are reported."""
    path = tmp_path / 'settings.json'
    base = {'node': 'n', 'ip': '1.2.3.4', 'zone': 'z'}
    path.write_text(json.dumps(base))
    with pytest.raises(Exception, match='platform'):
        platform_settings.load_gateway(str(path))
    base['platform'] = {'address': 'nowhere'}  # type: ignore[assignment]
    path.write_text(json.dumps(base))
    with pytest.raises(Exception, match=r'platform\.address'):
        platform_settings.load_gateway(str(path))


@pytest.mark.parametrize('partial', ['', '{"node": "n", "ip'])
def test_a_settings_file_may_be_read_while_it_is_written(
    tmp_path: pathlib.Path, partial: str
) -> None:
    """Soak seed 828: a gateway that started in that moment ended."""
    path = tmp_path / 'settings.json'
    whole = {
        'node': 'n',
        'ip': '1.2.3.4',
        'zone': 'z',
        'platform': {'address': '1.2.3.5:80'},
    }
    path.write_text(partial)
    write = threading.Timer(0.1, path.write_text, [json.dumps(whole)])
    write.start()
    assert platform_settings.load_gateway(str(path)).name == 'n'
    write.join()


def test_only_command_line_modules_import_the_platform() -> None:
    """Other modules must not depend on the platform."""
    importers = set()
    for path in SOURCES.rglob('*.py'):
        if path.parent.name == 'platform':
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            module = getattr(node, 'module', None) or ''
            if module.startswith('aspenfold.platform'):
                importers.add(path.relative_to(SOURCES).as_posix())
    allowed = {'cli/gateway.py', 'cli/plan.py', 'cli/rank_agent.py'}
    assert importers == allowed


def test_wire_names_appear_only_in_the_platform_package() -> None:
    """Header names and paths of the platform belong there."""
    names = ('x-aspenfold-', '/api/', 'fencing_token', 'path_prefix"')
    modules_with_names = [
        path.relative_to(SOURCES).as_posix()
        for path in SOURCES.rglob('*.py')
        if path.parent.name != 'platform'
        and any(name in path.read_text().lower() for name in names)
    ]
    assert modules_with_names == []


@hypothesis.given(
    st.lists(st.sampled_from(['request', 'retry']), max_size=400),
    st.integers(1, 90),
)
def test_retries_of_all_entries_stay_within_the_shared_budget(
    steps: list[str], entries: int
) -> None:
    """The limit holds after every step, for any number of entries."""
    slack = 90.0
    budgets = [
        shared_budget.SharedBudget(ratio=0.2, slack=slack, gateways=entries)
        for _ in range(entries)
    ]
    requests = 0
    retries = 0
    for number, step in enumerate(steps):
        budget = budgets[number % entries]
        if step == 'request':
            budget.record_request()
            requests += 1
        elif budget.take():
            retries += 1
        assert retries <= 0.2 * requests + slack


@pytest.mark.parametrize('entries', [1, 8, 40, 43, 60, 90])
def test_saved_retries_of_all_entries_are_within_the_fixed_part(
    entries: int,
) -> None:
    """They may all be made in a window that has no requests."""
    slack = 90.0
    retries = 0
    for _ in range(entries):
        budget = shared_budget.SharedBudget(
            ratio=0.2, slack=slack, gateways=entries
        )
        for _ in range(100):
            budget.record_request()
        while budget.take():
            retries += 1
    assert retries <= slack


def test_retry_after_is_at_most_a_third_of_the_remaining_time() -> None:
    """Callers ignore a longer delay."""
    for delay in refusal.RETRY_AFTER.values():
        wait = refusal.retry_after(delay, 3 * SECOND)
        assert wait is not None
        assert datetime.timedelta(0) < wait <= SECOND


def test_only_503_promises_that_a_request_has_not_run() -> None:
    """A request that may have run must not get a 503."""
    for code, status in refusal.HTTP_STATUS.items():
        if status == 503:
            assert code < 2000
        if code >= 2000:
            assert status in (502, 504)


def run_election(seed: int) -> None:
    """Let three processes compete for a lease over a lossy store."""
    rng = random.Random(seed)
    now = clock.EPOCH
    log: list[election.LeaseRecord] = []
    candidates = [
        election.LeaseElection(name=f'p{i}', host=f'h{i}', rng=rng)
        for i in range(3)
    ]
    tokens: dict[int, str] = {}
    for _ in range(2000):
        now += 0.05 * SECOND
        candidate = rng.choice(candidates)
        if rng.random() < 0.5:
            candidate.on_read(log[-1] if log else None, len(log), now)
        request = candidate.next_append(now)
        if request is None or rng.random() < 0.2:
            continue
        if request.expected_offset != len(log):
            candidate.on_append_conflict(len(log))
            continue
        record = election.LeaseRecord(
            holder=request.holder,
            host=request.host,
            token=request.token,
            offset=len(log),
        )
        log.append(record)
        # Each token has one holder, and later tokens are higher.
        assert tokens.setdefault(record.token, record.holder) == record.holder
        assert record.token >= max(tokens)
        if rng.random() < 0.8:
            candidate.on_read(record, len(log), now)
    assert len(log) > 5


def test_fencing_tokens_increase_and_have_one_holder() -> None:
    """Also if responses of the store are lost."""
    for seed in range(30):
        run_election(seed)


def test_a_restarted_process_acquires_its_hosts_lease_immediately() -> None:
    """It must not wait for the lease to expire."""
    rng = random.Random(1)
    candidate = election.LeaseElection(name='h/2', host='h', rng=rng)
    other = election.LeaseElection(name='x/1', host='x', rng=rng)
    record = election.LeaseRecord(holder='h/1', host='h', token=4, offset=9)
    for one in (candidate, other):
        one.on_read(record, 10, clock.EPOCH)
    soon = clock.EPOCH + election.MAX_ACQUIRE_DELAY
    assert other.next_append(soon) is None
    request = candidate.next_append(soon)
    assert request is not None
    assert request.token == 11


def gateways() -> tuple[peers.Peers, peers.Peers, directory.Directory]:
    """Return two peers that know each other, and the second's directory."""
    addresses = {
        name: settings.TcpAddress(host=f'10.0.0.{i}', port=7)
        for i, name in enumerate(('g-1', 'g-2'))
    }
    made = []
    for name in ('g-1', 'g-2'):
        known = directory.Directory()
        known.update_listing(listings.make_listing('w'))
        one = peers.Peers(
            host=name,
            zone='z',
            incarnation='i',
            port=7,
            endpoint_directory=known,
            now=clock.EPOCH,
        )
        one.set_addresses(addresses)
        made.append((one, known))
    return made[0][0], made[1][0], made[1][1]


def due_update(one: peers.Peers, now: datetime.datetime) -> bytes:
    """Return the update that is due from one gateway to its only peer."""
    due = one.next_update(now)
    assert due is not None
    assert len(due.addresses) == 1
    return due.data


def test_load_updates_are_less_frequent_to_other_zones() -> None:
    """Constant load changes must not cause heavy traffic between zones.

    Updates that all gateways need are sent to all zones immediately.
    """
    known = directory.Directory()
    known.update_listing(listings.make_listing('w'))
    one = peers.Peers(
        host='g-0',
        zone='z',
        incarnation='i',
        port=7,
        endpoint_directory=known,
        now=clock.EPOCH,
    )
    addresses = {
        f'g-{i}': settings.TcpAddress(host=f'10.0.0.{i}', port=7)
        for i in range(31)
    }
    one.set_addresses(addresses)
    for i in range(1, 31):
        zone = 'z' if i <= 10 else 'y'
        fields = [f'g-{i}', 'i', 1, {}, 5, 0, {}, zone, False, {}]
        one.receive(orjson.dumps(fields), f'10.0.0.{i}', clock.EPOCH)
    sent = {'near': 0, 'far': 0}
    endpoint = known.get('w')
    assert endpoint is not None
    for tick in range(400):
        endpoint.in_flight = tick % 5
        due = one.next_update(clock.EPOCH + tick * SECOND / 40)
        for address in due.addresses if due else ():
            number = int(address.host.rpartition('.')[2])
            sent['near' if number <= 10 else 'far'] += 1
    assert 10 * 10 * 10 <= sent['near'] <= 10 * 10 * 16
    assert 10 * 20 <= sent['far'] <= 10 * 20 * 1.2
    one.plan_offset = 9
    due = one.next_update(clock.EPOCH + 10.2 * SECOND)
    assert due is not None
    assert len(due.addresses) == 30


def test_requests_in_flight_at_peers_are_counted() -> None:
    """Late and duplicate updates must be ignored."""
    one, two, known = gateways()
    sender = one._directory.get('w')
    endpoint = known.get('w')
    assert sender is not None
    assert endpoint is not None
    now = clock.EPOCH
    sender.in_flight = 3
    first = due_update(one, now)
    sender.in_flight = 1
    second = due_update(one, now + SECOND)
    two.receive(first, '10.0.0.0', now)
    assert endpoint.peer_in_flight == 3
    two.receive(second, '10.0.0.0', now)
    two.receive(first, '10.0.0.0', now)
    assert endpoint.peer_in_flight == 1
    two.expire_silent(now + 3 * SECOND)
    assert endpoint.peer_in_flight == 0


def test_updates_of_other_versions_are_accepted() -> None:
    """During a rolling upgrade, updates have fewer or more fields."""
    one, two, known = gateways()
    endpoint = known.get('w')
    assert endpoint is not None
    fields = ['g-1', 'i', 1, {'w': 2}, 5, 0, {}, 'z', False]
    for number, more in enumerate([[], [{'s': 40}], [{'s': 40}, 'new']], 1):
        fields[2] = number
        data = orjson.dumps([*fields, *more])
        update = two.receive(data, '10.0.0.0', clock.EPOCH)
        assert update is not None
        assert endpoint.peer_in_flight == 2
        assert len(update.recovery_ages) == (1 if more else 0)
    assert one.rejected == two.rejected == 0


def endpoint_of(zone: str, in_flight: int) -> directory.Endpoint:
    """Return an endpoint with a capacity of four."""
    listing = listings.make_listing(f'{zone}-{in_flight}', zone=zone)
    return directory.Endpoint(listing=listing, in_flight=in_flight)


def test_requests_stay_in_their_zone_unless_it_is_full() -> None:
    """Ranks run in step, so an idle one in another zone gains little."""
    policy = zone_first.ZoneFirst(zone='z', rng=random.Random(1))
    far = [endpoint_of('y', 0), endpoint_of('y', 2)]

    def chosen(*own: int) -> str:
        near = [endpoint_of('z', count) for count in own]
        return policy.choose([*far, *near], '', True).name

    assert chosen(2, 1) == 'z-1'
    # One idle endpoint in another zone is not enough.
    assert chosen(2, 2) == 'z-2'
    assert chosen(3, 3) == 'z-3'
    assert chosen(4, 4) == 'y-0'
    assert chosen() == 'y-0'
    far[1].in_flight = 0
    assert chosen(3, 3) == 'y-0'


def test_the_slowdown_of_a_rank_is_sent_to_all_gateways() -> None:
    """It raises the rank's pressure until the leader withdraws it."""
    one, two, known = gateways()
    endpoint = known.get('w')
    assert endpoint is not None
    endpoint.in_flight = 2
    one.token = 7
    for number, (slowdowns, pressure) in enumerate(
        [({'w': 3.0}, 1.5), ({}, 0.5)]
    ):
        one.slowdowns = slowdowns
        data = due_update(one, clock.EPOCH + number * SECOND)
        two.receive(data, '10.0.0.0', clock.EPOCH)
        assert endpoint.pressure == pressure


def test_a_slow_rank_gets_fewer_experts() -> None:
    """Its load is weighted by its slowdown."""
    shape = planner.MapShape(
        ranks=8, experts=24, slots_per_rank=4, max_new_experts=2
    )
    load = [1.0] * 24
    current = [[e for e in range(24) if e % 8 == r] for r in range(8)]
    slowdowns = [3.0] + [1.0] * 7
    draft = list(descent.iter_drafts(shape, load, current, PRICE, slowdowns))
    assert draft[-1].skew() < 2.0
    assert planner.rank_loads(draft[-1].placement, load)[0] < 2.0


def test_a_leader_is_alive_until_its_updates_time_out() -> None:
    """Gateways must not read the store while the leader sends updates."""
    one, two, _ = gateways()
    one.token = 7
    data = due_update(one, clock.EPOCH)
    two.receive(data, '10.0.0.0', clock.EPOCH)
    last = clock.EPOCH + peers.LEADER_TIMEOUT
    assert two.is_leader_alive(last)
    assert not two.is_leader_lost(last)
    assert not two.is_leader_alive(last + SECOND / 1000)
    assert two.is_leader_lost(last + SECOND / 1000)
    assert not one.is_leader_lost(last + SECOND)


def test_a_new_gateway_without_leader_updates_finds_no_leader() -> None:
    """It must not wait for a lease to expire after all gateways ended."""
    one, two, _ = gateways()
    early = clock.EPOCH + peers.LEADER_DISCOVERY_DURATION - SECOND / 1000
    late = clock.EPOCH + peers.LEADER_DISCOVERY_DURATION
    assert one.is_discovering_leader(early)
    assert not one.is_leader_lost(early)
    assert not one.is_discovering_leader(late)
    assert one.is_leader_lost(late)
    two.token = 7
    data = due_update(two, early)
    one.receive(data, '10.0.0.1', early)
    assert not one.is_leader_lost(late)


def test_a_leader_sends_updates_within_its_timeout() -> None:
    """Two lost datagrams must not make it count as lost."""
    one, _, _ = gateways()
    one.token = 7
    assert due_update(one, clock.EPOCH)
    later = clock.EPOCH + peers.LEADER_INTERVAL
    assert due_update(one, later)
    assert 3 * peers.LEADER_INTERVAL < peers.LEADER_TIMEOUT


def test_the_lease_of_a_silent_holder_is_taken_over() -> None:
    """Its group is unavailable until then, so expiry would take too long."""
    rng = random.Random(5)
    candidate = election.LeaseElection(name='h/2', host='h', rng=rng)
    record = election.LeaseRecord(holder='x/1', host='x', token=4, offset=3)
    candidate.on_read(record, 4, clock.EPOCH)
    soon = clock.EPOCH + election.MAX_ACQUIRE_DELAY
    assert candidate.next_append(soon) is None
    request = candidate.next_append(soon, holder_lost=True)
    assert request is not None
    assert request.token > record.token


@pytest.mark.parametrize(
    ('data', 'sender'),
    [
        (b'', '10.0.0.0'),
        (b'[]', '10.0.0.0'),
        (b'["g-1","i",1,{"w":"x"},0,0,{}]', '10.0.0.0'),
        (b'["g-1","i",1,7,0,0,{}]', '10.0.0.0'),
        (b'["g-9","i",1,{"w":1},0,0,{}]', '10.0.0.0'),
        (b'["g-1","i",1,{"w":1},0,0,{}]', '10.9.9.9'),
    ],
)
def test_invalid_datagrams_are_rejected(data: bytes, sender: str) -> None:
    """Also those from hosts that are not gateways."""
    _, two, known = gateways()
    two.receive(data, sender, clock.EPOCH)
    endpoint = known.get('w')
    assert endpoint is not None
    assert endpoint.peer_in_flight == 0
    assert two.rejected == 1


PRICE = fleet.MapPrice(skew=1.0, moved_weights=1.0, skew_bound=1.05)


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 3))
def test_plans_keep_all_experts_and_all_limits(seed: int, spare: int) -> None:
    """For any demand; the skew must not grow."""
    rng = random.Random(seed)
    shape = planner.MapShape(
        ranks=8, experts=24, slots_per_rank=4, max_new_experts=spare
    )
    load = [rng.paretovariate(1.0) for _ in range(24)]
    current = [[e for e in range(24) if e % 8 == r] for r in range(8)]
    plan = descent.DescentPlanner().plan(shape, load, current, PRICE)
    assert {e for experts in plan for e in experts} == set(range(24))
    for before, after in zip(current, plan, strict=True):
        assert len(after) <= 4
        assert len(set(after)) == len(after)
        assert len(set(after) - set(before)) <= spare
    assert planner.skew(plan, load) <= planner.skew(current, load) + 1e-9


def test_one_change_reduces_the_skew_of_the_first_map() -> None:
    """One change must suffice for several demands."""
    shape = planner.MapShape(
        ranks=16, experts=64, slots_per_rank=5, max_new_experts=2
    )
    current = [[e for e in range(64) if e % 16 == r] for r in range(16)]
    for seed in range(20):
        load = [1 / (i + 1) ** 1.1 for i in range(64)]
        random.Random(seed).shuffle(load)
        plan = descent.DescentPlanner().plan(shape, load, current, PRICE)
        assert planner.skew(plan, load) < 1.25


def test_log_lines_are_limited_and_omissions_reported() -> None:
    """A flood of one message type must not suppress another."""
    written: list[bytes] = []
    now = [0.0]

    def write(data: bytes) -> int:
        written.append(data)
        return len(data)

    destination = output.LogDestination(write=write, monotonic=lambda: now[0])
    for _ in range(1000):
        destination({'message_type': 'flood'})
    destination({'message_type': 'rare'})
    assert len(written) == int(output.BURST_LINES) + 1
    now[0] = 10.0
    destination({'message_type': 'rare'})
    assert json.loads(written[-1])['left_out'] == {'flood': 700}


def test_unread_log_output_never_blocks() -> None:
    """Pending lines are limited in size."""

    def write(data: bytes) -> int:
        raise BlockingIOError

    destination = output.LogDestination(write=write)
    for number in range(5000):
        destination({'message_type': str(number), 'text': 'x' * 100})
    assert len(destination._pending) <= output.MAX_PENDING_BYTES
    assert destination.dropped_lines > 0
