"""Requests on which endpoints crash in a soak, and their check."""

import asyncio
from collections import abc
import dataclasses
import random
import time
import typing

from aspenfold_standins import http11
from aspenfold_standins import platform_worker

from tests.lib import gateway_rig
from tests.soak import callers
from tests.soak import soak_history
from tests.soak import system_under_test

HEAD_FRACTION = 0.5
"""Part of the crashes that come after the head of a response."""

DOWN_RANGE_S = (0.8, 2.0)
"""How long a crashed endpoint does not listen."""

MAX_LATE_REQUESTS = 3

LEARNING_S = 3.0
"""Time after the last crash in which gateways may send such requests."""


class Cause(typing.Protocol):
    """What the requests have in common on which endpoints crash.

    Gateways learn it from ``crashes_to_learn`` crashes.  One comes after each
    pause of ``pause_range_s``.
    """

    name: str
    method: str
    path: str
    crashes_to_learn: int
    pause_range_s: tuple[float, float]

    def rest(self, number: int) -> str:
        """Return the last headers and the body of a request."""

    def is_fatal(self, request: http11.Request) -> bool:
        """Return whether endpoints crash on a request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadPart:
    """A part that prompts have beside others."""

    name: str = 'part'
    method: str = 'GET'
    path: str = '/stream/'
    crashes_to_learn: int = 5
    pause_range_s: tuple[float, float] = (0.1, 0.6)
    part: str = 'bad0'

    def rest(self, number: int) -> str:
        """Return a prompt with the part and one of its own."""
        parts = f'c0:9,{self.part}:9,{number:x}:9'
        return f'X-Aspenfold-Prompt-Prefix-Hash: {parts}\r\n\r\n'

    def is_fatal(self, request: http11.Request) -> bool:
        """Return whether a request has the part."""
        value = request.headers.get(platform_worker.PROMPT_HEADER, '')
        return f'{self.part}:' in value


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadRequest:
    """A request that is the same each time."""

    name: str = 'request'
    method: str = 'POST'
    path: str = '/unsafe/'
    crashes_to_learn: int = 3
    pause_range_s: tuple[float, float] = (0.5, 2.0)
    body: str = 'the one that crashes'

    def rest(self, number: int) -> str:
        """Return the body."""
        return f'Content-Length: {len(self.body)}\r\n\r\n{self.body}'

    def is_fatal(self, request: http11.Request) -> bool:
        """Return whether it is this request."""
        return request.body == self.body.encode()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnyOf:
    """Lets several injectors crash the same endpoints."""

    injectors: list['CrashInjector']

    def is_fatal(self, request: http11.Request) -> bool:
        """Return whether a request is that of one of them."""
        return any(one.cause.is_fatal(request) for one in self.injectors)

    async def __call__(
        self, worker: platform_worker.Worker, exchange: http11.Exchange
    ) -> None:
        """Have it crash the endpoint."""
        for one in self.injectors:
            if one.cause.is_fatal(exchange.request):
                await one.crash(worker, exchange)


class CrashInjector:
    """Sends requests with one cause, on which plain endpoints crash.

    ``crashes`` has the times of the crashes, ``arrivals`` the time and the
    gateway's process of each such request that reached an endpoint.
    """

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        history: soak_history.SoakHistory,
        rng: random.Random,
        cause: Cause,
        down: list[system_under_test.Endpoint],
    ) -> None:
        """``down`` has the endpoints that have just crashed."""
        self.cause = cause
        self._system = system
        self._history = history
        self._rng = rng
        self._number = 0
        self._down = down
        self._tasks: set[asyncio.Task[None]] = set()
        self.crashes: list[float] = []
        self.arrivals: list[tuple[float, soak_history.Process]] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*self.cause.pause_range_s))
            self._number += 1
            self._start(self._send(self._number))

    def _start(self, work: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, number: int) -> None:
        gateway = self._rng.choice(self._system.gateways)
        attempt_id = f'soak-crash-{self.cause.name}-{number}'
        request = soak_history.RequestRecord(
            attempt_id=attempt_id,
            path=self.cause.path,
            gateway=gateway.name,
            process_number=len(gateway.processes),
            sent_at=time.monotonic(),
        )
        self._history.add_request(request)
        # The endpoint breaks the response off.
        self._history.broken_attempts.add(attempt_id)
        lines = [
            f'{self.cause.method} {self.cause.path} HTTP/1.1',
            f'Host: {gateway_rig.HOST}',
            f'X-Aspenfold-Attempt-Id: {attempt_id}',
            f'Authorization: Bearer {gateway_rig.KEY}',
            self.cause.rest(number),
        ]
        try:
            async with asyncio.timeout(callers.CALLER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', gateway.caller_link.port
                )
                writer.write('\r\n'.join(lines).encode())
                request.response = await gateway_rig.read_response(reader)
                writer.close()
        except (OSError, TimeoutError):
            # The request stays without a response.
            return
        finally:
            request.ended_at = time.monotonic()

    async def crash(
        self, worker: platform_worker.Worker, exchange: http11.Exchange
    ) -> None:
        """Crash the endpoint, perhaps after the head of its response."""
        attempt_id = exchange.request.headers[platform_worker.ATTEMPT_HEADER]
        process = self._history.process_of(attempt_id)
        if process is not None:
            self.arrivals.append((exchange.request.arrived_at, process))
        worker.record_execution(exchange)
        if self._rng.random() < HEAD_FRACTION:
            head = platform_worker.response_head(
                worker, exchange, platform_worker.EVENT_STREAM
            )
            await exchange.write(head)
        for endpoint in self._system.endpoints:
            if endpoint.worker is worker and endpoint not in self._down:
                self._start(self._crash(endpoint))
        await asyncio.Event().wait()

    async def _crash(self, endpoint: system_under_test.Endpoint) -> None:
        self.crashes.append(time.monotonic())
        period = self._history.start_fault(endpoint.worker.name)
        self._down.append(endpoint)
        await endpoint.link.crash(self._rng.uniform(*DOWN_RANGE_S))
        self._down.remove(endpoint)
        self._history.end_fault(period)
        if endpoint.worker.leaving or endpoint not in self._system.endpoints:
            # It registers no new start.
            return
        endpoint.worker.started_ms = int(time.time() * 1000)
        await self._system.write_endpoint_record(endpoint)


def find_violations(
    crashes: abc.Collection[float],
    arrivals: abc.Iterable[tuple[float, soak_history.Process]],
    history: soak_history.SoakHistory,
    cause: Cause,
) -> list[str]:
    """Return a description if too many bad requests reached endpoints.

    Those of gateways that had a fault, or lacked the store, shortly before
    do not count.
    """
    times = sorted(crashes)
    if len(times) < cause.crashes_to_learn:
        return []
    learned_at = times[cause.crashes_to_learn - 1]
    late = [
        (at, name)
        for at, (name, _) in arrivals
        if at > learned_at + LEARNING_S
        and history.is_fault_free(name, at, at)
        and history.is_fault_free('store', at, at)
    ]
    if len(late) <= MAX_LATE_REQUESTS:
        return []
    return [
        f'{len(late)} of a bad {cause.name} reached endpoints later than '
        f'{LEARNING_S} s after {cause.crashes_to_learn} had crashed under it'
    ]
