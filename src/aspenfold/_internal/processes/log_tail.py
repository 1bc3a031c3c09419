"""Follows the log's streams and appends to them, off the loop's thread."""

import asyncio
from collections import abc
import concurrent.futures
import datetime
import random

from aspenfold._internal.configuration import reader
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.models import records
from aspenfold._internal.network import log_client
from aspenfold._internal.observability import events

RETRY = 0.2
"""Mean seconds between two tries while the log is away."""

CLAIM_LIFE = datetime.timedelta(seconds=3)
"""How long a batch of claims is worth appending again."""


class LogTail:
    """Long polls each stream in a thread; pages go to the loop."""

    def __init__(
        self,
        *,
        client: log_client.LogClient,
        streams: int,
        rng: random.Random,
        lost: abc.Callable[[], None],
    ) -> None:
        self._client = client
        self._rng = rng
        self._lost = lost
        self._up = True
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=streams, thread_name_prefix='log'
        )

    async def follow(
        self,
        stream: str,
        position: abc.Callable[[], int],
        take: abc.Callable[[reader.Page], None],
    ) -> None:
        """Read ``stream`` from ``position()`` on, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            start = position()
            try:
                page = await loop.run_in_executor(
                    self._executor, self._read, stream, start
                )
            except exceptions.LogUnavailable as exc:
                self._note_lost(str(exc))
                await asyncio.sleep(RETRY * (0.5 + self._rng.random()))
                continue
            self._note_back()
            take(page)

    def close(self) -> None:
        """Stop reading."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _read(self, stream: str, start: int) -> reader.Page:
        return self._client.read(
            stream, start, wait_ms=log_client.LONG_POLL_WAIT_MS
        )

    def _note_lost(self, detail: str) -> None:
        self._lost()
        if self._up:
            events.emit(events.Event.LOG_LOST, detail=detail)
        self._up = False

    def _note_back(self) -> None:
        if not self._up:
            events.emit(events.Event.LOG_BACK)
        self._up = True


class ClaimWriter:
    """Appends claims; those that come during an append go together."""

    def __init__(
        self,
        *,
        name: str,
        client: log_client.LogClient,
        clock: clock_module.Clock,
        new_id: abc.Callable[[], str],
        executor: concurrent.futures.Executor,
    ) -> None:
        self._name = name
        self._client = client
        self._clock = clock
        self._new_id = new_id
        self._executor = executor
        self._waiting: dict[str, list[records.Claim]] = {}
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def append(self, stream: str, claim: records.Claim) -> None:
        """Queue a claim; the fold of the stream tells its fate."""
        self._waiting.setdefault(stream, []).append(claim)
        if stream in self._busy:
            return
        self._busy.add(stream)
        task = asyncio.get_running_loop().create_task(self._drain(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drain(self, stream: str) -> None:
        try:
            while claims := self._waiting.pop(stream, []):
                await self._write(stream, claims)
        finally:
            self._busy.discard(stream)

    async def _write(self, stream: str, claims: list[records.Claim]) -> None:
        loop = asyncio.get_running_loop()
        now = self._clock.now()
        batch = records.ClaimBatch(
            id=self._new_id(), author=self._name, at=now, claims=claims
        )
        while self._clock.now() < now + CLAIM_LIFE:
            try:
                await loop.run_in_executor(
                    self._executor, self._client.append, stream, batch
                )
            except exceptions.LogUnavailable:
                # It may have taken effect.  A second copy is harmless:
                # its claims name holders that are no longer the last.
                await asyncio.sleep(RETRY)
                continue
            return
