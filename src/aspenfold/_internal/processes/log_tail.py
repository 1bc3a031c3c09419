"""Reads streams of the log and appends claims, using threads."""

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

RETRY_DELAY_S = 0.2
"""Mean delay between attempts while the log service is unavailable."""

APPEND_TIMEOUT = datetime.timedelta(seconds=3)
"""How long to retry the append of a batch of claims."""


class LogTail:
    """Reads streams by long polling, in one thread for each.

    ``streams`` is their number.  ``on_lost`` is called after each failed
    read.
    """

    def __init__(
        self,
        *,
        client: log_client.LogClient,
        streams: int,
        rng: random.Random,
        on_lost: abc.Callable[[], None],
    ) -> None:
        self._client = client
        self._rng = rng
        self._on_lost = on_lost
        self._up = True
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=streams, thread_name_prefix='log'
        )

    async def follow(
        self,
        stream: str,
        position: abc.Callable[[], int],
        apply_page: abc.Callable[[reader.Page], None],
    ) -> None:
        """Pass pages of ``stream`` to ``apply_page`` until cancelled.

        Each read starts at the offset that ``position()`` returns.
        """
        loop = asyncio.get_running_loop()
        while True:
            offset = position()
            try:
                page = await loop.run_in_executor(
                    self._executor, self._read, stream, offset
                )
            except exceptions.LogUnavailable as exc:
                self._on_read_failed(str(exc))
                await asyncio.sleep(RETRY_DELAY_S * (0.5 + self._rng.random()))
                continue
            self._on_read_succeeded()
            apply_page(page)

    def close(self) -> None:
        """Stop reading."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _read(self, stream: str, offset: int) -> reader.Page:
        return self._client.read(
            stream, offset, wait_ms=log_client.LONG_POLL_WAIT_MS
        )

    def _on_read_failed(self, detail: str) -> None:
        self._on_lost()
        if self._up:
            events.emit(events.Event.LOG_LOST, detail=detail)
        self._up = False

    def _on_read_succeeded(self) -> None:
        if not self._up:
            events.emit(events.Event.LOG_BACK)
        self._up = True


class ClaimWriter:
    """Appends claims; claims queued during an append form the next batch."""

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
        self._queued: dict[str, list[records.Claim]] = {}
        self._appending: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def append(self, stream: str, claim: records.Claim) -> None:
        """Queue a claim for the next append.

        Reading the stream shows whether the claim is valid.
        """
        self._queued.setdefault(stream, []).append(claim)
        if stream in self._appending:
            return
        self._appending.add(stream)
        task = asyncio.get_running_loop().create_task(
            self._append_queued(stream)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _append_queued(self, stream: str) -> None:
        try:
            while claims := self._queued.pop(stream, []):
                await self._append_batch(stream, claims)
        finally:
            self._appending.discard(stream)

    async def _append_batch(
        self, stream: str, claims: list[records.Claim]
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = self._clock.now()
        batch = records.ClaimBatch(
            id=self._new_id(), author=self._name, at=started_at, claims=claims
        )
        while self._clock.now() < started_at + APPEND_TIMEOUT:
            try:
                await loop.run_in_executor(
                    self._executor, self._client.append, stream, batch
                )
            except exceptions.LogUnavailable:
                # The append may have taken effect.  A second copy has no
                # effect: the first one replaced what its claims supersede.
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            return
