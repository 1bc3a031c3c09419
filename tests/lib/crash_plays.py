"""Plays of one request under which endpoints end, at several gateways.

``python -m tests.lib.crash_plays --seeds=1-50`` draws and judges plays.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum
import random
import sys
import time

from aspenfold_standins import http11
from aspenfold_standins import platform_worker as workers
import fire

from aspenfold.platform import endpoint_records
from tests.lib import gateway_rig as rigs
from tests.lib import gateway_set

STABLE_WINDOW_S = 3.0
CRASHES_TO_LEARN = 3
MAX_LATE_REQUESTS = 3
MIN_SERVED_RATIO = 0.5

PATH = '/crash/'
BAD_BODY = '{"page": "the one that crashes"}'
ALIKE_BODY = '{"page": "the one that many ask for"}'
ALIKE_RATIO = 0.4
PARTS = {
    'X_Aspenfold_Prompt_Prefix_Hash': 'c0ffee:40,abc:700',
}
SOUND_WORK_S = 0.03
SOUND_EVENTS = 3
WARM_UP_S = 1.5
QUARANTINED = b'[1106]'


class Ending(enum.Enum):
    """What an endpoint's connections show as it ends."""

    RESET = 'reset'
    CLOSED = 'closed'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Manner:
    """How endpoints end, attempts stop and callers go; times in seconds.

    An endpoint ends ``delay_s`` after it has begun the bad request and sent
    ``events`` of its stream, is down for ``down_s`` and is listed again
    ``listed_s`` later.  Every ``interval_s`` ``copies`` of the request come at
    once, each at another gateway; a caller repeats it ``retries`` times at
    once, and leaves after ``leaves_s`` unless that is None.
    """

    ending: Ending = Ending.RESET
    delay_s: float = 0.0
    events: int = 0
    event_interval_s: float = 0.05
    down_s: float = 3.0
    listed_s: float = 0.1
    kind: str = 'unsafe'
    timeout_s: float = 0.8
    leaves_s: float | None = None
    retries: int = 0
    copies: int = 1
    interval_s: float = 1.6
    gateways: int = 3
    endpoints: int = 14
    sound_per_s: float = 12.0
    kills_per_s: float = 0.0
    gateway_restart_s: float | None = None
    duration_s: float = 14.0


def draw(seed: int) -> Manner:
    """Return a manner, each of its figures drawn independently."""
    rng = random.Random(seed)
    timeout_s = rng.choice([0.8, 1.5, 8.0])
    kind = rng.choice(['unsafe', 'safe', 'streaming'])
    endpoints = rng.choice([3, 6, 14])
    return Manner(
        ending=rng.choice(list(Ending)),
        delay_s=rng.choice([0.0, 0.05, 0.3]),
        events=rng.choice([0, 0, 1, 5, 20]) if kind == 'streaming' else 0,
        event_interval_s=0.06,
        down_s=rng.choice([0.5, 1.5, 3.0]),
        listed_s=rng.choice([0.1, 0.9]),
        kind=kind,
        timeout_s=timeout_s,
        leaves_s=rng.choice([None, None, 0.15, 0.6, 2.0]),
        retries=rng.choice([0, 0, 1, 3]),
        copies=rng.choice([1, 1, 1, 2, 3]),
        interval_s=rng.choice([0.5, 1.6, 4.0]),
        endpoints=endpoints,
        kills_per_s=rng.choice([0.0, 0.0, 0.3]),
        gateway_restart_s=rng.choice([None, None, 3.0, 7.0]),
    )


@dataclasses.dataclass(kw_only=True)
class Sound:
    """A sound request that was sent ``at``, and what came of it."""

    at: float
    served: bool
    refused: bool


@dataclasses.dataclass(kw_only=True)
class Play:
    """What happened; times are those of the monotonic clock.

    ``arrivals`` are those of the bad request at endpoints, ``crashes`` the
    ends that it caused.  Those of a gateway that has just been restarted are
    in ``excused``.
    """

    manner: Manner
    begun_at: float
    arrivals: list[float] = dataclasses.field(default_factory=list)
    crashes: list[float] = dataclasses.field(default_factory=list)
    excused: list[float] = dataclasses.field(default_factory=list)
    sound: list[Sound] = dataclasses.field(default_factory=list)

    @property
    def late(self) -> int:
        """Arrivals later than gateways have to know the request."""
        crashes = sorted(self.crashes)
        if len(crashes) < CRASHES_TO_LEARN:
            return 0
        limit = crashes[CRASHES_TO_LEARN - 1] + STABLE_WINDOW_S
        return sum(at > limit for at in self.arrivals)

    @property
    def sound_refused(self) -> int:
        """Sound requests that were taken for the bad one."""
        return sum(one.refused for one in self.sound)

    def served_ratio(self, begin: float, end: float) -> float:
        """Return the share of sound requests of a time that was served."""
        found = [one.served for one in self.sound if begin <= one.at < end]
        return sum(found) / len(found) if found else 1.0

    @property
    def served_before(self) -> float:
        """The share served before the bad request came."""
        return self.served_ratio(self.begun_at, self.begun_at + WARM_UP_S)

    @property
    def served_after(self) -> float:
        """The share served once gateways have to know the request."""
        crashes = sorted(self.crashes)
        if not crashes:
            return 1.0
        learned = crashes[:CRASHES_TO_LEARN][-1] + 2 * STABLE_WINDOW_S
        return self.served_ratio(learned, float('inf'))

    def violations(self) -> list[str]:
        """Return what the play breaks."""
        found = []
        if self.late > MAX_LATE_REQUESTS:
            found.append(
                f'{self.late} late requests, {len(self.crashes)} ends'
            )
        if self.sound_refused:
            found.append(f'{self.sound_refused} sound requests held')
        if self.served_after < MIN_SERVED_RATIO * self.served_before:
            found.append(f'{self.served_after:.2f} of the sound ones served')
        return found


class _Crasher:
    """Ends the endpoints that begin the bad request."""

    def __init__(self, play: '_Player') -> None:
        self._play = play

    def is_fatal(self, request: http11.Request) -> bool:
        return request.body == BAD_BODY.encode()

    async def __call__(
        self, worker: workers.Worker, exchange: http11.Exchange
    ) -> None:
        self._play.record_arrival(exchange.request)
        # The endpoint goes on if the gateway closes the connection.
        self._play.spawn(self._crash(worker, exchange))
        await asyncio.Event().wait()

    async def _crash(
        self, worker: workers.Worker, exchange: http11.Exchange
    ) -> None:
        manner = self._play.manner
        crashes = len(worker.crashes)
        with contextlib.suppress(ConnectionError):
            if manner.kind == 'streaming' and manner.events:
                await self._stream(worker, exchange)
        await asyncio.sleep(manner.delay_s)
        if len(worker.crashes) == crashes:
            self._play.result.crashes.append(time.monotonic())
            self._play.end(worker, exchange)

    async def _stream(
        self, worker: workers.Worker, exchange: http11.Exchange
    ) -> None:
        manner = self._play.manner
        lines = (workers.EVENT_STREAM, 'transfer-encoding: chunked')
        await exchange.write(workers.response_head(worker, exchange, *lines))
        for number in range(1, manner.events + 1):
            await exchange.write(_chunk(workers.event_bytes(number)))
            await asyncio.sleep(manner.event_interval_s)


def _chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


class _Player:
    """Runs one play."""

    def __init__(self, manner: Manner, seed: int) -> None:
        self.manner = manner
        self._rng = random.Random(f'play {seed}')
        self._tasks: set[asyncio.Task[None]] = set()
        self._senders: dict[str, int] = {}
        self._restarted_at: dict[int, float] = {}
        self._gateways: gateway_set.GatewaySet
        self.result = Play(manner=manner, begun_at=0.0)

    def spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        """Run in the background until the play ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_arrival(self, request: http11.Request) -> None:
        """Note that the bad request reached an endpoint."""
        sender = self._senders[request.headers[workers.ATTEMPT_HEADER]]
        restarted_at = self._restarted_at.get(sender)
        is_excused = (
            restarted_at is not None
            and request.arrived_at < restarted_at + STABLE_WINDOW_S
        )
        kept = self.result.excused if is_excused else self.result.arrivals
        kept.append(request.arrived_at)

    def end(
        self, worker: workers.Worker, exchange: http11.Exchange | None = None
    ) -> None:
        """End an endpoint; it starts again later, under its name."""
        if self.manner.ending is Ending.CLOSED and exchange is not None:
            exchange.close()
        silently = self.manner.ending is Ending.SILENT
        worker.crash(self.manner.down_s, silently=silently)
        self.spawn(self._list_again(worker))

    async def _list_again(self, worker: workers.Worker) -> None:
        await asyncio.sleep(self.manner.down_s)
        worker.started_ms = int(time.time() * 1000)
        await asyncio.sleep(self.manner.listed_s)
        await self._write_record(worker)

    async def _write_record(self, worker: workers.Worker) -> None:
        record = worker.store_record('plain')
        store = self._gateways.rig.store
        await store.put(endpoint_records.TOPIC, worker.name, record)

    async def _answer(
        self, worker: workers.Worker, exchange: http11.Exchange
    ) -> None:
        """Answer a sound request, unless the endpoint ends meanwhile."""
        crashes = len(worker.crashes)
        await asyncio.sleep(SOUND_WORK_S)
        if len(worker.crashes) != crashes:
            await asyncio.Event().wait()
        if self.manner.kind != 'streaming':
            headers = worker.response_headers(exchange)
            await exchange.respond(200, headers, b'answer')
            return
        lines = (workers.EVENT_STREAM, 'transfer-encoding: chunked')
        await exchange.write(workers.response_head(worker, exchange, *lines))
        for number in range(1, SOUND_EVENTS + 1):
            await exchange.write(_chunk(workers.event_bytes(number)))
        await exchange.write(b'0\r\n\r\n')

    async def run(self, setup: asyncio.Lock) -> Play:
        """Return the play after its end."""
        async with contextlib.AsyncExitStack() as stack:
            async with setup:
                gateways = await stack.enter_async_context(
                    gateway_set.running_gateways(self.manner.gateways)
                )
                self._gateways = gateways
                await self._set_up()
            try:
                await self._play()
            finally:
                for task in list(self._tasks):
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.result

    async def _set_up(self) -> None:
        manner, rig = self.manner, self._gateways.rig
        plan = rigs.make_plan(2)
        routes = plan['routes']
        assert isinstance(routes, list)
        routes.append(
            rigs.make_route(
                PATH,
                manner.kind,
                timeout_ms=int(manner.timeout_s * 1000),
                max_attempts=1 if manner.kind == 'unsafe' else 2,
                resume_streams=True,
            )
        )
        await rig.write_plan(plan)
        for number in range(2, manner.endpoints + 1):
            await rig.add_worker(f'w-{number}')
        for worker in rig.workers:
            worker.script = self._answer
            worker.fatal = _Crasher(self)
            worker.started_ms = int(time.time() * 1000)
            await self._write_record(worker)
        processes = self._gateways.processes
        await rigs.wait_until(
            lambda: all(p.endpoints == manner.endpoints for p in processes)
        )
        await rigs.wait_until(
            lambda: all(p.plan_version == 2 for p in processes)
        )

    async def _play(self) -> None:
        manner = self.manner
        self.result.begun_at = time.monotonic()
        self.spawn(self._repeat(1 / manner.sound_per_s, self._call_sound))
        if manner.kills_per_s:
            self.spawn(self._repeat(1 / manner.kills_per_s, self._kill))
        await asyncio.sleep(WARM_UP_S)
        self.spawn(self._repeat(manner.interval_s, self._call_bad))
        if manner.gateway_restart_s is not None:
            self.spawn(self._restart_gateway(manner.gateway_restart_s))
        await asyncio.sleep(manner.duration_s)

    async def _repeat(
        self,
        interval_s: float,
        call: abc.Callable[[int], abc.Coroutine[None, None, None]],
    ) -> None:
        number = 0
        while True:
            self.spawn(call(number))
            number += 1
            await asyncio.sleep(interval_s)

    async def _kill(self, number: int) -> None:
        """End an endpoint for no reason of a request's."""
        worker = self._rng.choice(self._gateways.rig.workers)
        if number and len(worker.crashes) == 0:
            self.end(worker)

    async def _restart_gateway(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        number = self._rng.randrange(1, self.manner.gateways + 1)
        self._restarted_at[number] = time.monotonic()
        await self._gateways.restart(number)
        self._restarted_at[number] = time.monotonic()

    async def _call_sound(self, number: int) -> None:
        body = ALIKE_BODY
        if self._rng.random() >= ALIKE_RATIO:
            body = f'{{"page": {number}}}'
        sent_at = time.monotonic()
        response = await self._send(number, body)
        self.result.sound.append(
            Sound(
                at=sent_at,
                served=response.status == 200 and response.complete,
                refused=response.body.startswith(QUARANTINED),
            )
        )

    async def _call_bad(self, number: int) -> None:
        for copy in range(self.manner.copies):
            self.spawn(self._repeat_bad(number + copy))

    async def _repeat_bad(self, number: int) -> None:
        for repeat in range(self.manner.retries + 1):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.manner.leaves_s):
                    await self._send(number + repeat, BAD_BODY)

    async def _send(self, number: int, body: str) -> rigs.Response:
        """Send a request to one of the gateways that are up."""
        gateway = number % self.manner.gateways + 1
        fields = rigs.deadline_header(8.0)
        if self.manner.kind == 'streaming':
            fields |= PARTS
        rig = self._gateways.rig
        attempt_id, head = rig.request_head(PATH, body=body, **fields)
        self._senders[attempt_id] = gateway
        return await self._gateways.send(gateway, head + body.encode())


async def run_plays(manners: abc.Sequence[Manner]) -> list[Play]:
    """Return plays that were run at the same time."""
    setup = asyncio.Lock()
    return await asyncio.gather(
        *(_Player(m, n).run(setup) for n, m in enumerate(manners))
    )


def main(*, seeds: str = '1-8', at_once: int = 4) -> None:
    """Draw and judge plays; exit with 1 if one breaks something."""
    first, _, last = str(seeds).partition('-')
    numbers = list(range(int(first), int(last or first) + 1))
    broken = 0
    for begin in range(0, len(numbers), at_once):
        batch = numbers[begin : begin + at_once]
        plays = asyncio.run(run_plays([draw(seed) for seed in batch]))
        for seed, play in zip(batch, plays, strict=True):
            violations = play.violations()
            broken += bool(violations)
            print(
                f'seed {seed}: {len(play.crashes)} ends, {play.late} late, '
                f'{play.served_after:.2f} served; '
                f'{"; ".join(violations) or "held"}',
                flush=True,
            )
    print(f'{len(numbers)} plays, {broken} broken')
    sys.exit(bool(broken))


if __name__ == '__main__':
    fire.Fire(main)
