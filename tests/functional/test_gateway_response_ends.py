"""Which responses reach a caller as complete, by how they ended."""

import asyncio
from collections import abc

from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.observability import events
from tests.lib import gateway_rig as rigs

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


def whole(
    content: bytes,
    framing: workers.Framing = workers.Framing.CLOSE,
    content_type: str = 'text/event-stream',
) -> workers.BrokenStream:
    """Return the script of a response that is not broken off."""
    return workers.BrokenStream(
        framing=framing,
        size=len(content),
        content=content,
        content_type=content_type,
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
    cases = [
        (framing, where, step)
        for framing in FRAMINGS
        for where in INSIDE_EVENT_SIZES
        for step in (1, 65_536)
    ]

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

    wrong = [case for case in cases if asyncio.run(ends_wrongly(*case))]
    assert not wrong


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

    wrong = [
        (framing, where)
        for framing in FRAMINGS
        for where in INSIDE_EVENT_SIZES
        if asyncio.run(is_wrong(framing, where))
    ]
    assert not wrong


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


def test_a_caller_of_http_1_0_sees_a_broken_stream_as_broken() -> None:
    """Its responses end with the connection, so that only a reset tells."""

    async def scenario(rig: rigs.Rig) -> None:
        await rig.add_worker('w-1', workers.stream_then_reset)
        await rig.wait_until_ready()
        _, head = rig.request_head('/song/', body='x')
        head = head.replace(b'HTTP/1.1', b'HTTP/1.0')
        response = await rig.send(head + b'x')
        assert response.status == 200
        assert STREAM.startswith(response.body)
        assert not response.complete

    run_scenario(scenario)
