"""Reads the ranks' counts for a leader, at the pace that they are worth."""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import map_planner
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.gateway import sampling

PAID_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
"""Pace of reading counts that are paid for, of one rank after the other."""

FAST_PAID_POLL_INTERVAL = datetime.timedelta(milliseconds=250)
"""Their pace while the newest counts hint that demand has shifted."""


class CountReader:
    """Gives a planner the counts of one group's ranks.

    Reading goes on beside the leader's work: a rank that is slow to answer
    must not keep a held group waiting.
    """

    def __init__(
        self,
        *,
        ranks_client: rank_client.RankClient,
        planner: map_planner.GroupMapPlanner,
        zone: str,
    ) -> None:
        """``zone`` is the leader's."""
        self._ranks = ranks_client
        self._planner = planner
        self._zone = zone
        self._turns = 0
        # Whether agents gave counts the last time.
        self.agents_answered = False
        self._read_at: datetime.datetime | None = None
        self._whole_at: datetime.datetime | None = None
        self._reading: asyncio.Task[None] | None = None

    def poll(
        self,
        endpoints: abc.Mapping[int, directory.Endpoint],
        now: datetime.datetime,
    ) -> bool:
        """Begin to read if that is due; return whether it was."""
        last = self._read_at
        if last is not None and now - last < self._interval(endpoints):
            return False
        if self._reading is not None and not self._reading.done():
            return False
        self._read_at = now
        self._turns += 1
        whole = self._whole_at is None
        if self._whole_at is not None:
            whole = now - self._whole_at >= sampling.GROUP_COUNT_INTERVAL
        if whole:
            self._whole_at = now
        self._reading = asyncio.create_task(self._read(endpoints, whole))
        return True

    def expedite(self) -> None:
        """Let the next turn be due at once."""
        self._read_at = None

    def cancel(self) -> None:
        """Give up what is being read."""
        if self._reading is not None:
            self._reading.cancel()

    def _interval(
        self, endpoints: abc.Mapping[int, directory.Endpoint]
    ) -> datetime.timedelta:
        if self.agents_answered:
            return sampling.count_interval(endpoints, self._zone)
        return (
            FAST_PAID_POLL_INTERVAL
            if self._planner.sample_fast
            else PAID_POLL_INTERVAL
        )

    async def _read(
        self, endpoints: abc.Mapping[int, directory.Endpoint], whole: bool
    ) -> None:
        """Read counts: those that cost nothing if there are any."""
        self.agents_answered = await self._sample(
            endpoints, free=True, whole=whole
        )
        if not self.agents_answered:
            await self._sample(endpoints, free=False, whole=False)
        self._planner.update_estimate()

    async def _sample(
        self,
        endpoints: abc.Mapping[int, directory.Endpoint],
        *,
        free: bool,
        whole: bool,
    ) -> bool:
        """Read counts; ``free``: only those that cost nothing.

        Return whether any were read.
        """
        chosen = sampling.choose_ranks(
            endpoints,
            zone=self._zone,
            agent_only=free,
            poll=self._turns,
            all_zones=whole,
        )
        read = await asyncio.gather(
            *(
                self._ranks.counts(endpoints[r], agent_only=free)
                for r in chosen
            )
        )
        for rank, counts in zip(chosen, read, strict=True):
            if counts is None:
                continue
            self._planner.add_counts(rank, counts)
            # Requests are answered between the samples.
            await asyncio.sleep(0)
        return any(counts is not None for counts in read)
