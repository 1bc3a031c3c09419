"""Endpoints that end responses in each way, whole or broken, in a soak."""

import asyncio
import random

from aspenfold_standins import http11
from aspenfold_standins import platform_worker

from tests.soak import soak_history
from tests.soak import system_under_test

PERIOD_RANGE_S = (0.5, 3.0)
"""How long an endpoint breaks responses off."""

PAUSE_RANGE_S = (0.2, 1.0)

WHOLE_FRACTION = 0.4

MAX_STEP_BYTES = 60

Ending = platform_worker.Ending
Framing = platform_worker.Framing


class ResponseBreaker:
    """Lets one endpoint after the other frame and end responses at random.

    Only ends that can be told from a whole response are drawn; their
    attempts are added to the history's ``broken_attempts``.
    """

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        history: soak_history.SoakHistory,
        rng: random.Random,
    ) -> None:
        self._system = system
        self._history = history
        self._rng = rng

    async def run(self) -> None:
        """Break responses off until cancelled."""
        while True:
            worker = self._rng.choice(self._system.endpoints).worker
            worker.script = self._respond
            await asyncio.sleep(self._rng.uniform(*PERIOD_RANGE_S))
            if worker.script == self._respond:
                worker.script = system_under_test.respond_normally
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    async def _respond(
        self, worker: platform_worker.Worker, exchange: http11.Exchange
    ) -> None:
        headers = exchange.request.headers
        attempt_id = headers.get(platform_worker.ATTEMPT_HEADER, '')
        is_stream = exchange.request.target in soak_history.STREAM_PATHS
        content = b'answer to ' + attempt_id.encode()
        if is_stream:
            first = int(headers.get('last-event-id', '0')) + 1
            numbers = range(first, worker.event_count + 1)
            content = b''.join(map(platform_worker.event_bytes, numbers))
        framing = self._rng.choice(list(Framing))
        ending, size = Ending.PROPER, len(content)
        if content and self._rng.random() >= WHOLE_FRACTION:
            self._history.broken_attempts.add(attempt_id)
            ending, size = self._draw_end(content, framing, is_stream)
        script = platform_worker.BrokenStream(
            framing=framing,
            ending=ending,
            size=size,
            step=self._rng.randint(1, MAX_STEP_BYTES),
            content=content,
            content_type='text/event-stream' if is_stream else '',
        )
        await script(worker, exchange)

    def _draw_end(
        self, content: bytes, framing: Framing, is_stream: bool
    ) -> tuple[Ending, int]:
        """Return an end by which a response is seen to be broken off."""
        endings = [Ending.RESET]
        if framing is not Framing.CLOSE:
            endings.append(Ending.CLOSED)
        if is_stream:
            endings.append(Ending.PROPER)
        ending = self._rng.choice(endings)
        sizes = range(len(content))
        if ending is Ending.PROPER:
            # Between two events, or in front of the first one of a framed
            # body, nothing tells.
            smallest = 0 if framing is Framing.CLOSE else 1
            sizes = [
                size
                for size in range(smallest, len(content))
                if not size or not content[:size].endswith(b'\n\n')
            ]
        return ending, self._rng.choice(sizes)
