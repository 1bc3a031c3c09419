"""Requests under which endpoints end, at several gateways."""

import asyncio
from collections import abc
import dataclasses
import functools
import itertools
import json
import time

from aspenfold_standins import platform_worker as workers
import pytest

from aspenfold._internal.commands import exit_status
from aspenfold._internal.gateway import peers
from aspenfold._internal.observability import events
from tests.lib import gateway_rig as rigs
from tests.lib import gateway_set
from tests.lib import plan_program

GATEWAYS = 3
ENDPOINTS = 12
BAD_PART = 'bad0'
COMMON_PART = 'c0ffee'
BAD_INTERVAL_S = 0.2
SOUND_INTERVAL_S = 0.04

STABLE_WINDOW_S = 3.0
"""Time after a crash in which gateways learn of it."""

CRASHES_TO_LEARN = 5
MAX_LATE_REQUESTS = 3
MIN_SERVED_RATIO = 0.5
BEFORE_S = 1.5
DURATION_S = 9.0


def parts_header(*parts: str) -> dict[str, str]:
    """Return the header that lists the parts of a prompt."""
    value = ','.join(f'{part}:40' for part in parts)
    return {'X_Aspenfold_Prompt_Prefix_Hash': value}


@dataclasses.dataclass(kw_only=True)
class Play:
    """What callers and endpoints saw.

    ``sound`` has when each sound request was sent and whether it was served;
    ``bad`` has when each request with the bad part reached an endpoint,
    ``crashes`` when endpoints crashed.  Times are monotonic ones.
    """

    begun_at: float
    sound: list[tuple[float, bool]]
    bad: list[float]
    crashes: list[float]

    @property
    def learned_from(self) -> float:
        """The crash from which on gateways have to know the part."""
        crashes = sorted(self.crashes)
        return crashes[:CRASHES_TO_LEARN][-1]

    def served(self, begin: float, end: float) -> float:
        """Return the share of sound requests of a time that was served."""
        found = [ok for at, ok in self.sound if begin <= at < end]
        assert len(found) >= 20
        return sum(found) / len(found)


async def call_sound(
    gateways: gateway_set.GatewaySet, play: Play, numbers: abc.Iterator[int]
) -> None:
    """Send a sound request; note whether its stream is whole."""
    number = next(numbers)
    sent_at = time.monotonic()
    header = parts_header(COMMON_PART, f'{number:x}')
    response = await gateways.request(
        number % GATEWAYS + 1, '/stream/', **header
    )
    is_served = response.status == 200 and response.complete
    play.sound.append((sent_at, is_served))


async def call_every(
    interval_s: float, call: abc.Callable[[], abc.Coroutine[None, None, None]]
) -> None:
    """Start calls at an even pace until cancelled."""
    async with asyncio.TaskGroup() as calls:
        while True:
            calls.create_task(call())
            await asyncio.sleep(interval_s)


async def run_play() -> Play:
    """Send sound requests, and after a while bad ones beside them."""
    crash = workers.CrashOn(part=BAD_PART)
    async with gateway_set.running_gateways(GATEWAYS) as gateways:
        for number in range(2, ENDPOINTS + 1):
            await gateways.rig.add_worker(f'w-{number}')
        for worker in gateways.rig.workers:
            worker.script = workers.stream_events
            worker.fatal = crash
            worker.event_interval_s = 0.02
        await rigs.wait_until(
            lambda: all(p.endpoints == ENDPOINTS for p in gateways.processes)
        )
        numbers = itertools.count(1)
        play = Play(begun_at=time.monotonic(), sound=[], bad=[], crashes=[])

        async def call_bad() -> None:
            number = next(numbers)
            header = parts_header(COMMON_PART, BAD_PART, f'{number:x}')
            await gateways.request(number % GATEWAYS + 1, '/stream/', **header)

        sound = asyncio.create_task(
            call_every(
                SOUND_INTERVAL_S,
                lambda: call_sound(gateways, play, numbers),
            )
        )
        await asyncio.sleep(BEFORE_S)
        bad = asyncio.create_task(call_every(BAD_INTERVAL_S, call_bad))
        await asyncio.sleep(DURATION_S)
        for task in (sound, bad):
            task.cancel()
        await asyncio.gather(sound, bad, return_exceptions=True)
        for worker in gateways.rig.workers:
            play.crashes += worker.crashes
            play.bad += [
                r.arrived_at for r in worker.requests if crash.is_fatal(r)
            ]
        return play


@functools.cache
def played() -> Play:
    """Return the play, which is the same for all tests of this module."""
    return asyncio.run(run_play())


def test_a_part_under_which_five_endpoints_ended_is_not_sent_on() -> None:
    """Incident inc1 (BUDGET): nothing counted what crashes had in common."""
    play = played()
    limit = play.learned_from + STABLE_WINDOW_S
    late = [at for at in play.bad if at > limit]
    assert len(late) <= MAX_LATE_REQUESTS


def test_sound_requests_are_served_beside_a_part_that_crashes() -> None:
    """They share their first part and their caller with the bad ones."""
    play = played()
    before = play.served(play.begun_at, play.begun_at + BEFORE_S)
    learned = play.learned_from + 2 * STABLE_WINDOW_S
    after = play.served(learned, play.begun_at + BEFORE_S + DURATION_S)
    assert after >= MIN_SERVED_RATIO * before


def test_a_request_that_crashed_an_endpoint_ends_no_second_one() -> None:
    """Its parts have never been answered, so that it may be the cause."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            crash = workers.CrashOn(part=BAD_PART, events=2)
            for name in ('w-1', 'w-2', 'w-3'):
                await rig.add_worker(name, workers.stream_events, fatal=crash)
            await rigs.wait_until(lambda: rig.gateway.endpoints == 3)
            await rig.wait_until_ready()
            header = parts_header(COMMON_PART, BAD_PART, '1')
            response = await rig.request('/stream/', **header)
            assert not response.complete
            assert sum(len(w.crashes) for w in rig.workers) == 1

    asyncio.run(run())


def test_a_repeated_request_that_crashes_endpoints_is_not_sent_on() -> None:
    """It has no parts; its caller, path and body are always the same."""
    body = b'crash'

    async def run() -> None:
        async with gateway_set.running_gateways(GATEWAYS) as gateways:
            crash = workers.CrashOn(body=body)
            for number in range(2, ENDPOINTS + 1):
                await gateways.rig.add_worker(f'w-{number}')
            for worker in gateways.rig.workers:
                worker.fatal = crash
            await rigs.wait_until(
                lambda: all(
                    p.endpoints == ENDPOINTS for p in gateways.processes
                )
            )
            begun_at = time.monotonic()
            for number in itertools.count():
                await gateways.request(
                    number % GATEWAYS + 1, '/safe/', body=body.decode()
                )
                await asyncio.sleep(BAD_INTERVAL_S)
                if time.monotonic() > begun_at + DURATION_S:
                    break
            seen = gateways.rig.workers
            crashes = sorted(at for w in seen for at in w.crashes)
            bad = [
                r.arrived_at
                for w in seen
                for r in w.requests
                if crash.is_fatal(r)
            ]
            limit = crashes[:3][-1] + STABLE_WINDOW_S
            assert sum(at > limit for at in bad) <= MAX_LATE_REQUESTS

    asyncio.run(run())


@pytest.mark.parametrize('part', ['first', 'middle', 'next to last'])
def test_a_bad_part_may_stand_anywhere_but_at_the_end(part: str) -> None:
    """One gateway that alone sees all crashes holds the part."""
    parts = {
        'first': (BAD_PART, COMMON_PART, 'abc', '1'),
        'middle': (COMMON_PART, BAD_PART, 'abc', '1'),
        'next to last': (COMMON_PART, 'abc', BAD_PART, '1'),
    }[part]

    async def run() -> None:
        async with rigs.running_rig() as rig:
            crash = workers.CrashOn(part=BAD_PART)
            names = [f'w-{number}' for number in range(8)]
            for name in names:
                await rig.add_worker(name, workers.stream_events, fatal=crash)
            await rigs.wait_until(lambda: rig.gateway.endpoints == len(names))
            await rig.wait_until_ready()
            sound = parts_header(*(p for p in parts if p != BAD_PART))
            for _ in range(5):
                assert (await rig.request('/stream/', **sound)).status == 200
                await rig.request('/stream/', **parts_header(*parts))
                await asyncio.sleep(1.1)
            response = await rig.request('/stream/', **parts_header(*parts))
            assert response.status == 503
            assert response.body.startswith(b'[1106]')
            assert (await rig.request('/stream/', **sound)).status == 200

    asyncio.run(run())


def test_a_request_that_waits_at_an_endpoint_is_withdrawn() -> None:
    """It was sent before two others had ended their endpoints."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            slow = await rig.add_worker('w-slow', workers.never_respond)
            await rigs.wait_until(lambda: rig.gateway.endpoints == 1)
            await rig.wait_until_ready()
            header = parts_header(BAD_PART, '1')
            waiting = asyncio.create_task(rig.request('/stream/', **header))
            await rigs.wait_until(lambda: slow.requests)
            crash = workers.CrashOn(part=BAD_PART, down_s=9.0)
            crashing = [
                await rig.add_worker(
                    f'w-{number}', workers.stream_events, fatal=crash
                )
                for number in range(2)
            ]
            await rigs.wait_until(lambda: rig.gateway.endpoints == 3)
            for number in range(2):
                # The slow endpoint has a request, so that it is not chosen.
                response = await rig.request('/stream/', **header)
                assert response.status == 502
                assert sum(len(w.crashes) for w in crashing) == number + 1
                await asyncio.sleep(0.5)
            response = await waiting
            assert response.status == 502
            assert slow.cancelled_count == 1

    asyncio.run(run())


async def crash_two(
    gateways: gateway_set.GatewaySet, crash: workers.CrashOn
) -> list[workers.Worker]:
    """Let two endpoints end, each under a request of another gateway."""
    for number in range(2, 7):
        await gateways.rig.add_worker(f'w-{number}')
    for worker in gateways.rig.workers:
        worker.script = workers.stream_events
        worker.fatal = crash
    await rigs.wait_until(
        lambda: all(p.endpoints == 6 for p in gateways.processes)
    )
    for number in range(1, 3):
        sound = parts_header(COMMON_PART, f'{number}')
        response = await gateways.request(number, '/stream/', **sound)
        assert response.status == 200
        header = parts_header(COMMON_PART, BAD_PART, f'{number}')
        await gateways.request(number, '/stream/', **header)
        await asyncio.sleep(0.6)
    assert sum(len(w.crashes) for w in gateways.rig.workers) == 2
    return gateways.rig.workers


async def is_refused(gateways: gateway_set.GatewaySet, number: int) -> bool:
    """Return whether a gateway refuses the part without sending it."""
    header = parts_header(COMMON_PART, BAD_PART, 'abc')
    response = await gateways.request(number, '/stream/', **header)
    return response.body.startswith(b'[1106]')


def test_a_quarantine_outlasts_all_gateways() -> None:
    """The store keeps it; a new one learns it before it may send."""
    crash = workers.CrashOn(part=BAD_PART)

    async def run() -> None:
        async with gateway_set.running_gateways(GATEWAYS) as gateways:
            seen = await crash_two(gateways, crash)
            for number in range(1, GATEWAYS + 1):
                assert await is_refused(gateways, number)
            await asyncio.sleep(STABLE_WINDOW_S)
            await gateways.restart_all()
            await asyncio.sleep(STABLE_WINDOW_S)
            for number in range(1, GATEWAYS + 1):
                assert await is_refused(gateways, number)
            assert sum(len(w.crashes) for w in seen) == 2

    asyncio.run(run())


def test_gateways_without_a_path_to_each_other_learn_by_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two of them have seen one crash each."""
    crash = workers.CrashOn(part=BAD_PART)
    monkeypatch.setattr(peers.Peers, 'receive', lambda *_: None)

    async def run() -> None:
        async with gateway_set.running_gateways(
            GATEWAYS, has_peers_path=False
        ) as gateways:
            seen = await crash_two(gateways, crash)
            await asyncio.sleep(STABLE_WINDOW_S)
            for number in range(1, GATEWAYS + 1):
                assert await is_refused(gateways, number)
            assert sum(len(w.crashes) for w in seen) == 2

    asyncio.run(run())


def test_an_operator_lists_and_releases_a_quarantine() -> None:
    """Once the endpoints are mended, such requests are served again."""
    crash = workers.CrashOn(part=BAD_PART)

    async def run() -> None:
        async with gateway_set.running_gateways(GATEWAYS) as gateways:
            port = gateways.rig.store.port
            seen = await crash_two(gateways, crash)
            rows: list[dict[str, object]] = []
            async with asyncio.timeout(STABLE_WINDOW_S):
                while not rows:
                    status, out, _ = await plan_program.run(
                        port, 'quarantine', '--json'
                    )
                    assert status == exit_status.ExitStatus.OK
                    rows = json.loads(out)
            (row,) = rows
            assert row['crashes'] == 2
            assert row['kind'] == 'part'
            for worker in seen:
                worker.fatal = None
            name = str(row['fingerprint'])
            status, _, _ = await plan_program.run(port, 'release', name)
            assert status == exit_status.ExitStatus.OK
            for number in range(1, GATEWAYS + 1):
                async with asyncio.timeout(STABLE_WINDOW_S):
                    while await is_refused(gateways, number):
                        await asyncio.sleep(0.1)
            status, _, error = await plan_program.run(port, 'release', name)
            assert status == exit_status.ExitStatus.FAILED
            assert 'is not in quarantine' in error

    asyncio.run(run())


@pytest.mark.parametrize('events', [0, 2])
def test_endpoints_that_end_silently_are_evidence_too(events: int) -> None:
    """Their connections stay open until the deadline of the callers."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            crash = workers.CrashOn(
                part=BAD_PART, events=events, down_s=9.0, silently=True
            )
            for number in range(4):
                await rig.add_worker(
                    f'w-{number}', workers.stream_events, fatal=crash
                )
            await rigs.wait_until(lambda: rig.gateway.endpoints == 4)
            await rig.wait_until_ready()
            header = parts_header(BAD_PART, '1')
            header |= rigs.deadline_header(1.2)
            for _ in range(2):
                response = await rig.request('/stream/', **header)
                assert not response.body.startswith(b'[1106]')
            async with asyncio.timeout(STABLE_WINDOW_S):
                while not response.body.startswith(b'[1106]'):
                    response = await rig.request('/stream/', **header)
            assert sum(len(w.crashes) for w in rig.workers) <= 3

    asyncio.run(run())


def test_a_sound_request_is_retried_once_a_peer_has_cleared_it() -> None:
    """Its own gateway never had an answer to it, another one has."""

    async def run() -> None:
        async with gateway_set.running_gateways(GATEWAYS) as gateways:
            (first,) = gateways.rig.workers
            first.script = workers.stream_events
            await gateways.rig.add_worker('w-2', workers.stream_events)
            processes = gateways.processes
            await rigs.wait_until(
                lambda: all(p.endpoints == 2 for p in processes)
            )
            for number in itertools.count():
                part = f'c{number:x}'
                header = parts_header(part, '1')
                first.fatal = None
                answer = await gateways.request(2, '/stream/', **header)
                assert answer.status == 200
                # It crashes for any reason, here on the part.
                first.fatal = workers.CrashOn(part=part)
                response = await gateways.request(1, '/stream/', **header)
                assert response.status == 200
                if first.crashes:
                    break

    asyncio.run(run())


def test_an_attempt_without_an_answer_logs_whether_its_endpoint_ended() -> (
    None
):
    """An operator sees what the evidence of crashes rests on."""

    async def run() -> None:
        async with rigs.running_rig() as rig:
            await rig.add_worker('w-1', workers.never_respond)
            await rig.wait_until_ready()
            deadline = rigs.deadline_header(1.2)
            response = await rig.request('/stream/', **deadline)
            assert response.status == 504
            count = b'aspenfold_endpoint_checks_total{label="listening"} 1.0'
            async with asyncio.timeout(STABLE_WINDOW_S):
                while count not in await rigs.metrics(rig):
                    await asyncio.sleep(0.05)

    with rigs.recorded_events() as lines:
        asyncio.run(run())
    checks = [x for x in lines if x['event'] == events.Event.ENDPOINT_CHECKED]
    assert [x['result'] for x in checks] == ['listening']
    assert [x['endpoint'] for x in checks] == ['w-1']
