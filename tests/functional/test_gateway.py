"""Tests of the gateway over real sockets."""

import asyncio
from collections import abc

from aspenfold_standins import http11
from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.network import event_splitter
from aspenfold._internal.observability import events
from tests.lib import gateway_rig as rigs

SEAL_HEADER = 'x-aspenfold-response-seal'

ENDLESS_PART = 65_536
"""Bytes of an endless event that an endpoint writes at once."""


def run_scenario(
    scenario: abc.Callable[[rigs.Rig], abc.Awaitable[None]],
    plan: dict[str, object] | None = None,
) -> None:
    """Run a scenario with a running gateway that uses ``plan``."""

    async def run() -> None:
        async with rigs.running_rig(plan) as rig:
            await scenario(rig)

    asyncio.run(run())


async def add_two_workers(
    rig: rigs.Rig, first: workers.Script, second: workers.Script
) -> tuple[workers.Worker, workers.Worker]:
    """Add two endpoints with these scripts."""
    one = await rig.add_worker('w-1', first)
    other = await rig.add_worker('w-2', second)
    await rig.wait_until_ready()
    await rigs.wait_until(lambda: rig.gateway.endpoints == 2)
    return one, other


def run_count(rig: rigs.Rig) -> int:
    """Return how many requests all endpoints ran."""
    return sum(sum(worker.executions.values()) for worker in rig.workers)


def test_a_response_is_forwarded_unchanged() -> None:
    """Status, body and signature must be those of the endpoint."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        response = await rig.request('/safe/a?b=c', body='hello')
        assert response.status == 200
        assert response.complete
        assert response.body == b'answer of w-1'
        assert response.headers[SEAL_HEADER] == 'seal-w-1'
        request = rig.workers[0].requests[0]
        assert (request.method, request.target) == ('POST', '/safe/a?b=c')
        assert request.body == b'hello'

    run_scenario(scenario)


def test_the_endpoint_gets_the_gateways_headers_but_no_api_key() -> None:
    """Forged values from the caller must be replaced."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        await rig.request(
            '/safe/',
            X_Aspenfold_Tenant='forged',
            X_Aspenfold_Expect_Instance='forged',
            X_Aspenfold_Deadline_Remaining_Ms='900',
            X_Custom='kept',
        )
        received = rig.workers[0].requests[0].headers
        assert received['x-aspenfold-tenant'] == 'one'
        assert received['x-aspenfold-expect-instance'] == 'w-1'
        assert 0 < int(received['x-aspenfold-deadline-remaining-ms']) <= 900
        assert received['x-custom'] == 'kept'
        assert 'authorization' not in received

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/', rigs.KEY, 404),
        ('/saf', rigs.KEY, 404),
        ('/safe/', 'wrong', 401),
        ('/safe/', '', 401),
        ('/open/', '', 200),
    ],
)
def test_unknown_routes_and_keys_are_refused(
    path: str, key: str, status: int
) -> None:
    """Paths without a route get a 404, unknown keys a 401."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        assert (await rig.request(path, key)).status == status

    run_scenario(scenario)


def test_without_a_plan_requests_get_a_503() -> None:
    """A 404 or 401 would be wrong, and the process must not be ready."""

    async def scenario(rig: rigs.Rig) -> None:
        response = await rig.request('/safe/')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert not rig.gateway.ready
        rig.store.fault = rig.store.fault.NONE
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        assert (await rig.request('/safe/')).status == 200

    async def run() -> None:
        rig = rigs.Rig()
        await rig.store.start()
        await rig.write_plan(rigs.make_plan())
        rig.store.fault = rig.store.fault.UNAVAILABLE
        await rig.start()
        try:
            await scenario(rig)
        finally:
            await rigs.close(rig)

    asyncio.run(run())


def test_a_failed_safe_request_is_retried_at_another_endpoint() -> None:
    """The caller must get only the complete response."""

    async def scenario(rig: rigs.Rig) -> None:
        bad, _ = await add_two_workers(
            rig, workers.server_error, workers.complete
        )
        # Either endpoint may be chosen first.
        for _ in range(64):
            response = await rig.request('/safe/')
            if bad.requests:
                break
        assert response.status == 200
        assert bad.requests

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('script', 'status'),
    [
        (workers.server_error, 500),
        (workers.run_and_reset, 502),
        (workers.truncated_body, 502),
        (workers.unmarked_503, 502),
        (workers.wrong_attempt_id, 502),
        (workers.invalid_http, 502),
        (workers.no_content_length_reset, 502),
    ],
)
def test_an_unsafe_request_that_may_have_run_runs_once(
    script: workers.Script, status: int
) -> None:
    """It must not be sent again or reported as not run."""

    async def scenario(rig: rigs.Rig) -> None:
        await add_two_workers(rig, script, script)
        response = await rig.request('/unsafe/', body='x')
        assert response.status == status
        assert 'retry-after' not in response.headers
        assert run_count(rig) == 1

    run_scenario(scenario)


def test_an_unsafe_request_is_retried_if_it_has_not_run() -> None:
    """A refused connection proves that it has not run."""

    async def scenario(rig: rigs.Rig) -> None:
        stopped, _ = await add_two_workers(
            rig, workers.complete, workers.complete
        )
        await stopped.stop()
        for _ in range(6):
            assert (await rig.request('/unsafe/', body='x')).status == 200
        assert not stopped.requests

    run_scenario(scenario)


def test_failed_connections_do_not_use_the_retry_budget() -> None:
    """Nothing was sent, so nothing is retried."""

    async def scenario(rig: rigs.Rig) -> None:
        stopped, _ = await add_two_workers(
            rig, workers.complete, workers.complete
        )
        await stopped.stop()
        budget = rig.gateway._core.retry_budget('plain')
        while budget.take():
            pass
        for _ in range(6):
            assert (await rig.request('/unsafe/', body='x')).status == 200

    run_scenario(scenario)


def test_attempts_are_limited_by_the_route() -> None:
    """With one attempt allowed, a refusal must not be retried."""

    async def scenario(rig: rigs.Rig) -> None:
        await add_two_workers(rig, workers.at_capacity, workers.at_capacity)
        response = await rig.request('/once/', body='x')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert sum(len(w.requests) for w in rig.workers) == 1
        assert run_count(rig) == 0

    run_scenario(scenario)


def test_a_response_without_a_length_ends_with_its_connection() -> None:
    """The caller gets it with a length."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', workers.no_content_length)
        await rig.wait_until_ready()
        response = await rig.request('/unsafe/', body='x')
        assert (response.status, response.body) == (200, b'no length')
        assert response.complete

    run_scenario(scenario)


def test_a_request_does_not_run_at_another_incarnation() -> None:
    """A 421 shows that another incarnation uses the address."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1')
        await rig.wait_until_ready()
        worker.name = 'w-9'
        response = await rig.request('/once/', body='x')
        assert response.status == 503
        assert run_count(rig) == 0

    run_scenario(scenario)


def complete_stream(count: int = 10) -> bytes:
    """Return the bytes of a complete stream."""
    return b''.join(workers.event_bytes(n) for n in range(1, count + 1))


def test_an_interrupted_stream_is_resumed_at_the_next_event() -> None:
    """Events must not repeat, and only the first response head is used."""

    async def scenario(rig: rigs.Rig) -> None:
        broken, _ = await add_two_workers(
            rig, workers.stream_then_reset, workers.stream_events
        )
        # Either endpoint may be chosen first.
        for _ in range(64):
            response = await rig.request('/stream/', body='x')
            assert response.complete
            assert response.body == complete_stream()
            if broken.requests:
                break
        assert response.headers[SEAL_HEADER] == 'seal-w-1'
        resumed = rig.workers[1].requests[-1].headers
        assert resumed['last-event-id'] == '4'

    run_scenario(scenario)


def test_a_stream_that_cannot_be_resumed_is_aborted() -> None:
    """It must not run again or look complete."""

    async def scenario(rig: rigs.Rig) -> None:
        await add_two_workers(
            rig, workers.stream_then_reset, workers.stream_then_reset
        )
        response = await rig.request('/song/', body='x')
        assert response.status == 200
        assert not response.complete
        assert response.body == complete_stream(4)
        assert run_count(rig) == 1

    run_scenario(scenario)


def test_events_are_forwarded_immediately() -> None:
    """The first event must arrive before the stream is complete."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', workers.stream_events)
        worker.event_interval_s = 0.2
        await rig.wait_until_ready()
        reader, writer = await rig.connect()
        writer.write(rig.request_head('/stream/')[1])
        data = b''
        while workers.event_bytes(1) not in data:
            data += await reader.read(1000)
        assert workers.event_bytes(3) not in data
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    'script', [workers.never_respond, workers.stream_events]
)
def test_a_disconnect_of_the_caller_cancels_the_request(
    script: workers.Script,
) -> None:
    """Both before the first event and during a stream."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', script)
        worker.event_interval_s = 0.1
        worker.event_count = 1000
        await rig.wait_until_ready()
        _, writer = await rig.connect()
        writer.write(rig.request_head('/stream/')[1])
        await rigs.wait_until(lambda: worker.executions)
        writer.close()
        await rigs.wait_until(lambda: worker.cancelled_count)

    run_scenario(scenario)


def test_a_request_ends_at_the_timeout_of_the_route() -> None:
    """A request that may have run must get a 504."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', workers.never_respond)
        await rig.wait_until_ready()
        assert (await rig.request('/short/')).status == 504
        remaining_ms = worker.requests[0].headers[
            'x-aspenfold-deadline-remaining-ms'
        ]
        assert int(remaining_ms) <= 300

    run_scenario(scenario)


def test_an_unavailable_group_is_not_tried_twice() -> None:
    """The caller must be refused with a long Retry-After."""

    async def scenario(rig: rigs.Rig) -> None:
        for name in ('w-1', 'w-2'):
            await rig.add_worker(name, workers.group_unavailable, 'model')
        await rig.wait_until_ready()
        response = await rig.request('/model/', body='x')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 1
        assert sum(rigs.count_requests(w, '/model/') for w in rig.workers) == 1

    run_scenario(scenario)


def test_a_first_request_is_not_queued_at_a_full_group() -> None:
    """It must be refused, and its retry sent to the group."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker(
            'w-1', workers.never_respond, 'model', slots=1
        )
        await rig.wait_until_ready()
        _, writer = await rig.connect()
        writer.write(rig.request_head('/model/')[1])
        # A report that the group's leader reads counts as an execution too.
        await rigs.wait_until(lambda: rigs.count_requests(worker, '/model/'))
        response = await rig.request('/model/')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert rigs.count_requests(worker, '/model/') == 1
        worker.script = workers.stream_events
        remaining = {'X_Aspenfold_Deadline_Remaining_Ms': '3000'}
        assert (await rig.request('/model/', **remaining)).status == 200
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize('how', ['draining', 'removed'])
def test_an_endpoint_that_leaves_gets_no_more_requests(how: str) -> None:
    """Both after its record says draining and after its removal."""

    async def scenario(rig: rigs.Rig) -> None:
        leaving, _ = await add_two_workers(
            rig, workers.complete, workers.complete
        )
        topic = rigs.endpoint_records.TOPIC
        if how == 'removed':
            await rig.store.remove(topic, 'w-1')
        else:
            record = leaving.store_record('plain', 'draining')
            await rig.store.put(topic, 'w-1', record)
        await rigs.wait_until(lambda: rig.gateway.routable('plain') == 1)
        # The endpoint stays unroutable while the store is unavailable.
        rig.store.fault = rig.store.fault.RESET
        before = len(leaving.requests)
        for _ in range(6):
            assert (await rig.request('/safe/')).status == 200
        assert len(leaving.requests) == before

    run_scenario(scenario)


def test_only_newer_plans_are_applied() -> None:
    """Also if the history was trimmed or a read returns old records."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        rig.store.start_stale_reads()
        rig.store.fault = rig.store.fault.NONE
        await rig.write_plan(rigs.make_plan(5, tenants=[]))
        await rigs.wait_until(lambda: rig.gateway.plan_version == 5)
        assert (await rig.request('/safe/', '')).status == 200
        rig.store.compact(rigs.config.TOPIC)
        await rig.write_plan(rigs.make_plan(3))
        await rig.write_plan(rigs.make_plan(6))
        await rigs.wait_until(lambda: rig.gateway.plan_version == 6)
        rig.store.fault = rig.store.fault.STALE_READS
        assert (await rig.request('/safe/', '')).status == 401
        assert rig.gateway.plan_version == 6

    run_scenario(scenario)


def test_an_invalid_plan_is_ignored() -> None:
    """The previous plan must stay in use and later ones be read."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        await rig.write_plan({'version': 'nonsense'})
        await rig.write_plan(rigs.make_plan(2))
        await rigs.wait_until(lambda: rig.gateway.plan_version == 2)
        assert (await rig.request('/safe/')).status == 200

    run_scenario(scenario)


def test_shutdown_completes_requests_in_flight() -> None:
    """The process is not ready any more, but streams must complete."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', workers.stream_events)
        worker.event_interval_s = 0.05
        await rig.wait_until_ready()
        in_flight = asyncio.ensure_future(rig.request('/stream/', body='x'))
        await rigs.wait_until(lambda: worker.executions)
        draining = asyncio.ensure_future(rig.gateway.drain())
        await asyncio.sleep(0)
        assert not rig.gateway.ready
        late_response = await rig.request('/stream/', body='x')
        assert late_response.headers['connection'] == 'close'
        response = await in_flight
        assert response.complete
        assert response.body == complete_stream()
        await draining

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (
            b'GET /safe/ HTTP/1.1\r\nHost: x\r\nX: '
            + b'y' * 4500
            + b'\r\n\r\n',
            431,
        ),
        (
            b'POST /safe/ HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 20000\r\n\r\n',
            413,
        ),
        (b'GET /safe/ HTTP/1.1\r\nHost: x\r\n', 408),
        (
            b'POST /safe/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n\r\n',
            400,
        ),
    ],
)
def test_invalid_requests_are_refused(data: bytes, status: int) -> None:
    """They must not reach an endpoint or affect other connections."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        assert (await rig.send(data)).status == status
        assert (await rig.request('/safe/')).status == 200
        assert len(rig.workers[0].requests) == 1

    run_scenario(scenario)


def test_a_persistent_connection_serves_requests_in_order() -> None:
    """Also if they are pipelined."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        reader, writer = await rig.connect()
        heads = [rig.request_head('/safe/') for _ in range(3)]
        writer.write(b''.join(head for _, head in heads))
        text = b''
        while text.count(b'answer of w-1') < 3:
            text += await asyncio.wait_for(reader.read(4096), rigs.TIMEOUT_S)
        order = [text.index(attempt.encode()) for attempt, _ in heads]
        assert order == sorted(order)
        writer.close()

    run_scenario(scenario)


async def endless_event(
    worker: workers.Worker, exchange: http11.Exchange
) -> None:
    """Send one event and start another that never ends."""
    worker.record_execution(exchange)
    head = workers.response_head(worker, exchange, workers.EVENT_STREAM)
    await exchange.write(head + workers.event_bytes(1))
    for _ in range(4 * event_splitter.MAX_EVENT_BYTES // ENDLESS_PART):
        await exchange.write(b'x' * ENDLESS_PART)
    await asyncio.Event().wait()


def test_an_endless_event_is_not_buffered() -> None:
    """The stream must be aborted and not be resumed elsewhere."""

    async def scenario(rig: rigs.Rig) -> None:
        await add_two_workers(rig, endless_event, endless_event)
        response = await rig.request('/stream/')
        assert response.status == 200
        assert not response.complete
        assert run_count(rig) == 1
        # The size limit must end the stream, not the route's timeout.
        metrics = rig.gateway._core.metrics.text().decode()
        assert (
            'aspenfold_broken_streams_total{label="oversized"} 1.0' in metrics
        )

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('path', 'status', 'length'), [('/safe/', 200, 13), ('/none/', 404, 42)]
)
def test_a_response_to_head_has_a_length_and_no_body(
    path: str, status: int, length: int
) -> None:
    """The next response on the connection begins behind its head."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1')
        await rig.wait_until_ready()
        reader, writer = await rig.connect()
        _, head = rig.request_head(path)
        _, next_head = rig.request_head('/safe/')
        writer.write(head.replace(b'GET', b'HEAD') + next_head)
        first = await reader.readuntil(b'\r\n\r\n')
        assert first.startswith(f'HTTP/1.1 {status} '.encode())
        assert f'content-length: {length}\r\n'.encode() in first.lower()
        second = await rigs.read_response(reader)
        writer.close()
        assert (second.status, second.body) == (200, b'answer of w-1')

    with rigs.recorded_events() as lines:
        run_scenario(scenario)
    assert events.Event.UNEXPECTED not in {x['event'] for x in lines}


LONG_S = 60
"""Nothing else ends a request within the time of a test."""

BYTES_AHEAD = 100_000
"""More than is read ahead, and less than the system takes for the gateway."""


@pytest.mark.parametrize(
    'script', [workers.never_respond, workers.stream_events]
)
def test_a_caller_that_leaves_behind_requests_ahead_is_noticed(
    script: workers.Script,
) -> None:
    """Issue 48: nothing is read then that would show its end."""

    async def scenario(rig: rigs.Rig) -> None:
        worker = await rig.add_worker('w-1', script)
        worker.event_interval_s = LONG_S
        await rig.wait_until_ready()
        _, writer = await rig.connect()
        _, head = rig.request_head('/long/')
        writer.write(head + b'GET / HTTP/1.1\r\nHost: x\r\nX: ')
        await rigs.wait_until(lambda: worker.executions)
        writer.write(b'x' * BYTES_AHEAD)
        await writer.drain()
        writer.close()
        await rigs.wait_until(lambda: worker.cancelled_count)

    route = rigs.make_route('/long/', 'streaming', timeout_ms=LONG_S * 1_000)
    run_scenario(scenario, rigs.make_plan(routes=[route]))
