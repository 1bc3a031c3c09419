"""Which responses reach a caller as complete, by how they ended."""

import asyncio
from collections import abc
import itertools

from aspenfold_standins import http11
from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.observability import events
from aspenfold.platform import endpoint_records
from tests.lib import gateway_rig as rigs
from tests.lib import time_limits

EVENTS = [workers.event_bytes(n) for n in range(1, 11)]
STREAM = b''.join(EVENTS)

INSIDE_LAST = len(STREAM) - 5
"""Size of a stream that ends inside its last event."""

INSIDE_EVENT_SIZES = {
    'first event': 3,
    'its id line': len(EVENTS[0]) + 6,
    'last newline': len(STREAM) - 1,
    'last event': INSIDE_LAST,
}

FRAMINGS = list(workers.Framing)


def run_scenario(
    scenario: abc.Callable[[rigs.Rig], abc.Awaitable[None]],
) -> None:
    """Run a scenario with a rig of its own."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            await scenario(rig)

    asyncio.run(run())


def broken_off(
    framing: workers.Framing = workers.Framing.CLOSE,
    *,
    size: int = INSIDE_LAST,
    step: int = 65_536,
    content: bytes = STREAM,
) -> workers.BrokenStream:
    """Return the script of a stream that ends after ``size`` bytes."""
    return workers.BrokenStream(
        framing=framing, size=size, step=step, content=content
    )


@pytest.mark.parametrize('framing', FRAMINGS)
def test_the_end_of_a_response_is_logged_and_counted(
    framing: workers.Framing,
) -> None:
    """An operator finds from it which endpoint broke a response off."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', broken_off(framing))
        await rig.wait_until_ready()
        await rig.request('/song/', body='x')
        count = b'aspenfold_response_ends_total{label="inside-event"} 1.0'
        assert count in await rigs.metrics(rig)

    with rigs.recorded_events() as lines:
        run_scenario(scenario)
    ended = (events.Event.CALL_FINISHED, events.Event.CALL_FAILED)
    (line,) = [x for x in lines if x['event'] in ended]
    assert line['endpoint'] == 'w-1'
    assert line['body_end'] == framing.value
    assert line['events'] == 9
    assert line['unfinished_bytes'] == len(EVENTS[-1]) - 5


def test_a_stream_that_breaks_off_behind_comments_stops_no_other() -> None:
    """The gateway looked for the end of the event, and at nothing else."""
    content = b': reading the prompt\r\n' * 40 + b'id: 1\r\ndata: pi'

    async def scenario(rig: rigs.Rig) -> None:
        script = broken_off(content=content, size=len(content))
        await rig.add_worker('w-1', script)
        await rig.wait_until_ready()
        assert (await rig.request('/song/', body='x')).status == 502
        rig.workers[0].script = workers.complete
        assert (await rig.request('/safe/')).status == 200

    with time_limits.cpu_limit(rigs.TIMEOUT_S):
        run_scenario(scenario)


def find_cases(
    check: abc.Callable[..., abc.Awaitable[bool]],
    cases: list[tuple[object, ...]],
) -> list[tuple[object, ...]]:
    """Return the cases for which ``check`` is true; each has its own rig."""

    async def run() -> list[bool]:
        return await asyncio.gather(*(check(*case) for case in cases))

    results = asyncio.run(run())
    return [case for case, found in zip(cases, results, strict=True) if found]


async def add_pair(
    rig: rigs.Rig, first: workers.Script, second: workers.Script
) -> None:
    """Start two endpoints."""
    await rig.add_worker('w-1', first)
    await rig.add_worker('w-2', second)
    await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
    await rig.wait_until_ready()


async def respond_by(rig: rigs.Rig, name: str, path: str) -> rigs.Response:
    """Return the first response to which the endpoint ``name`` contributed.

    Either endpoint may be chosen first.
    """
    (worker,) = [w for w in rig.workers if w.name == name]
    for _ in range(64):
        response = await rig.request(path, body='x')
        if worker.requests:
            return response
    raise AssertionError(f'{name} was never chosen')


def test_a_stream_that_ends_inside_an_event_is_not_complete() -> None:
    """Incident inc1 (ORDER): the half event was delivered with an end."""
    cases = list(itertools.product(FRAMINGS, INSIDE_EVENT_SIZES, (1, 65_536)))

    async def ends_wrongly(
        framing: workers.Framing, where: str, step: int
    ) -> bool:
        size = INSIDE_EVENT_SIZES[where]
        async with rigs.running_rig() as rig:
            await rig.add_worker(
                'w-1', broken_off(framing, size=size, step=step)
            )
            await rig.wait_until_ready()
            response = await rig.request('/song/', body='x')
            delivered = STREAM[: STREAM.rfind(b'\n\n', 0, size) + 2]
            if where == 'first event':
                return response.status != 502
            return response.complete or response.body != delivered

    assert not find_cases(ends_wrongly, cases)


def test_a_stream_that_ends_inside_an_event_is_resumed_behind_it() -> None:
    """The caller gets each event once, whatever the framing and the cut."""

    async def is_wrong(framing: workers.Framing, where: str) -> bool:
        size = INSIDE_EVENT_SIZES[where]
        async with rigs.running_rig() as rig:
            await add_pair(
                rig, broken_off(framing, size=size), workers.stream_events
            )
            response = await respond_by(rig, 'w-1', '/stream/')
            if not response.complete or response.body != STREAM:
                return True
            resumed = rig.workers[1].requests[-1].headers
            last_id = STREAM[:size].count(b'\n\n')
            return resumed.get('last-event-id', '0') != str(last_id)

    cases = list(itertools.product(FRAMINGS, INSIDE_EVENT_SIZES))
    assert not find_cases(is_wrong, cases)


def test_a_buffered_event_stream_that_ends_inside_an_event_is_lost() -> None:
    """Its content type tells, whatever the kind of its route."""

    async def scenario(rig: rigs.Rig) -> None:
        await add_pair(rig, broken_off(), workers.complete)
        response = await respond_by(rig, 'w-1', '/safe/')
        assert response.body == b'answer of w-2'

    run_scenario(scenario)


def test_a_response_without_any_event_of_a_stream_is_lost() -> None:
    """Its connection ended after the head: nothing says that it is whole."""

    async def scenario(rig: rigs.Rig) -> None:
        await add_pair(rig, broken_off(size=0), workers.stream_events)
        response = await respond_by(rig, 'w-1', '/stream/')
        assert response.complete
        assert response.body == STREAM

    run_scenario(scenario)


@pytest.mark.parametrize('content', [b'', b': waiting\n\n'])
def test_a_caller_may_go_on_behind_the_last_event(content: bytes) -> None:
    """A response without any event is then a whole one."""

    async def scenario(rig: rigs.Rig) -> None:
        script = broken_off(size=len(content), content=content)
        await rig.add_worker('w-1', script)
        await rig.wait_until_ready()
        response = await rig.request('/stream/', body='x', Last_Event_Id='10')
        assert (response.status, response.body) == (200, content)
        assert response.complete

    run_scenario(scenario)


@pytest.mark.parametrize('content', [b'', b''.join(EVENTS[5:8])])
def test_a_resumed_stream_without_any_event_is_broken_off(
    content: bytes,
) -> None:
    """More was due, as the attempt before was broken off."""

    async def scenario(rig: rigs.Rig) -> None:
        second = broken_off(size=len(content), content=content)
        await add_pair(rig, broken_off(), second)
        response = await respond_by(rig, 'w-1', '/stream/')
        assert response.body == b''.join(EVENTS[:-1])
        assert not response.complete

    run_scenario(scenario)


async def request_by_http_1_0(rig: rigs.Rig, path: str) -> rigs.Response:
    """Send a request of HTTP/1.0 and return the response."""
    _, head = rig.request_head(path, body='x')
    return await rig.send(head.replace(b'HTTP/1.1', b'HTTP/1.0') + b'x')


def test_a_caller_of_http_1_0_sees_a_broken_stream_as_broken() -> None:
    """Its responses end with the connection, so that only a reset tells."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', workers.stream_then_reset)
        await rig.wait_until_ready()
        response = await request_by_http_1_0(rig, '/song/')
        assert response.status == 200
        assert STREAM.startswith(response.body)
        assert not response.complete

    run_scenario(scenario)


def test_a_caller_of_http_1_0_gets_whole_responses_as_whole() -> None:
    """The connection ends in order, without a reset."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', workers.stream_events)
        await rig.wait_until_ready()
        response = await request_by_http_1_0(rig, '/song/')
        assert response.complete
        assert response.body == STREAM
        worker.script = workers.complete
        response = await request_by_http_1_0(rig, '/safe/')
        assert response.complete
        assert response.body == b'answer of w-1'

    run_scenario(scenario)


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(
    'content',
    [
        STREAM,
        STREAM + b'\n',
        STREAM + b': end\n',
        STREAM + b': end\n\n',
        STREAM.replace(b'\n', b'\r\n'),
        STREAM.replace(b'\n', b'\r'),
    ],
    ids=['plain', 'blank-line', 'comment-line', 'comment', 'crlf', 'cr'],
)
def test_a_whole_stream_is_delivered_as_whole(
    framing: workers.Framing, content: bytes
) -> None:
    """Byte by byte, so that each line end is split between two reads."""
    script = workers.BrokenStream(
        framing=framing, size=len(content), step=1, content=content
    )

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', script)
        await rig.wait_until_ready()
        response = await rig.request('/song/', body='x')
        assert response.complete
        assert response.body == content

    run_scenario(scenario)


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(
    ('status', 'content_type'),
    [(200, 'application/json'), (500, ''), (404, 'text/plain')],
)
def test_other_responses_of_a_streaming_route_are_delivered(
    framing: workers.Framing, status: int, content_type: str
) -> None:
    """They are no event streams, so that any body may be whole."""
    script = workers.BrokenStream(
        framing=framing,
        size=9,
        content=b'{"no": 1}',
        content_type=content_type,
        status=status,
    )

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', script)
        await rig.wait_until_ready()
        response = await rig.request('/song/', body='x')
        assert response.complete
        assert (response.status, response.body) == (status, b'{"no": 1}')
        assert response.headers['content-length'] == '9'

    run_scenario(scenario)


def test_a_stream_of_unknown_type_is_split_into_events() -> None:
    """A streaming route's response is an event stream unless it says no."""

    async def scenario(rig: rigs.Rig) -> None:
        script = workers.BrokenStream(
            framing=workers.Framing.CLOSE,
            size=INSIDE_LAST,
            content=STREAM,
            content_type='',
        )
        await rig.add_worker('w-1', script)
        await rig.wait_until_ready()
        response = await rig.request('/song/', body='x')
        assert not response.complete
        assert response.body == b''.join(EVENTS[:-1])

    run_scenario(scenario)


def test_a_caller_that_resumes_gets_what_follows_its_last_event() -> None:
    """The endpoint that goes on is asked for the events behind it, too."""
    rest = b''.join(EVENTS[6:])

    async def scenario(rig: rigs.Rig) -> None:
        first = broken_off(size=3, content=rest)
        await add_pair(rig, first, workers.stream_events)
        for _ in range(64):
            response = await rig.request(
                '/stream/', body='x', Last_Event_Id='6'
            )
            assert response.complete
            assert response.body == rest
            if rig.workers[0].requests:
                break
        assert rig.workers[1].requests[-1].headers['last-event-id'] == '6'

    run_scenario(scenario)


def test_retries_of_streams_that_break_together_stay_in_the_budget() -> None:
    """All endpoints break their streams off; each call ends at once."""
    calls = 20

    async def scenario(rig: rigs.Rig) -> None:
        await add_pair(rig, broken_off(), broken_off())
        responses = await asyncio.gather(
            *(rig.request('/stream/', body='x') for _ in range(calls))
        )
        assert not any(response.complete for response in responses)
        retries = sum(len(w.requests) for w in rig.workers) - calls
        assert 1 <= retries <= calls * 0.2 + 90 / 40

    run_scenario(scenario)


def test_a_broken_stream_is_no_outage_of_its_group() -> None:
    """The other ranks go on, and so does the next request."""

    async def scenario(rig: rigs.Rig) -> None:
        for name in ('w-1', 'w-2'):
            await rig.add_worker(name, broken_off(), 'model')
        await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
        await rig.wait_until_ready()
        for number in (1, 2):
            response = await rig.request('/model/', body='x')
            assert response.status == 200
            assert not response.complete
            sent = [rigs.count_requests(w, '/model/') for w in rig.workers]
            assert sum(sent) == number
        assert rig.gateway.outage('model').ended_at is None
        assert b'groups_standing 0.0' in await rigs.metrics(rig)

    run_scenario(scenario)


async def respond_twice(
    worker: workers.Worker, exchange: http11.Exchange
) -> None:
    """Execute, then send a complete response and one that nobody asked for."""
    worker.record_execution(exchange)
    headers = worker.response_headers(exchange)
    await exchange.respond(200, headers, b'first')
    await exchange.respond(200, headers, b'second')


def test_bytes_behind_a_complete_response_belong_to_no_request() -> None:
    """Neither this caller nor the next one gets them."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', respond_twice)
        await rig.wait_until_ready()
        reader, writer = await rig.connect()
        for _ in range(3):
            _, head = rig.request_head('/unsafe/', body='x')
            writer.write(head + b'x')
            response = await rigs.read_response(reader)
            assert response.complete
            assert response.body == b'first'
        writer.close()

    run_scenario(scenario)


def test_an_encoded_stream_is_not_split_into_events() -> None:
    """Its bytes are no events, so that only its framing tells its end."""

    async def scenario(rig: rigs.Rig) -> None:
        async def respond(
            worker: workers.Worker, exchange: http11.Exchange
        ) -> None:
            headers = worker.response_headers(exchange)
            headers['content-type'] = 'text/event-stream'
            headers['content-encoding'] = 'br'
            await exchange.respond(200, headers, b'encoded')

        await rig.add_worker('w-1', respond)
        await rig.wait_until_ready()
        response = await rig.request('/song/', body='x')
        assert response.complete
        assert response.body == b'encoded'

    run_scenario(scenario)


def test_a_response_may_come_before_its_request_was_read() -> None:
    """The endpoint reads on, and gets the rest of that body only."""
    body = b'b' * 9000
    received: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().lower().split('\r\n')
        (attempt,) = [x for x in lines if x.startswith(workers.ATTEMPT_HEADER)]
        writer.write(
            f'HTTP/1.1 413 Large\r\n{attempt}\r\n'
            f'content-length: 3\r\n\r\nbig'.encode()
        )
        received.append(await reader.read())
        writer.close()

    async def scenario(rig: rigs.Rig) -> None:
        server = await asyncio.start_server(serve, rigs.LOOPBACK, 0)
        worker = workers.Worker('w-1')
        record = worker.store_record('plain')
        port = server.sockets[0].getsockname()[1]
        record['address'] = f'{rigs.LOOPBACK}:{port}'
        await rig.store.put(endpoint_records.TOPIC, 'w-1', record)
        await rig.wait_until_ready()
        response = await rig.request('/unsafe/', body=body.decode())
        assert (response.status, response.body) == (413, b'big')
        await rigs.wait_until(lambda: received)
        assert body.startswith(received[0])
        server.close()

    run_scenario(scenario)


def test_a_silent_stream_is_not_ended() -> None:
    """An endpoint's silence is no reason to end its response sooner."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', workers.stream_events)
        worker.event_count = 2
        worker.event_interval_s = 1.5
        await rig.wait_until_ready()
        response = await rig.request('/song/', body='x')
        assert response.complete
        assert response.body == b''.join(EVENTS[:2])

    run_scenario(scenario)
