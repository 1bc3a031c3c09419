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
