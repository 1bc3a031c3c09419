"""Reads the expert counts of a group's ranks for its leader."""

import asyncio
from collections import abc
import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import map_planner
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.gateway import sampling

PAID_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
"""Interval of reading one rank's counts directly, which costs money."""

FAST_PAID_POLL_INTERVAL = datetime.timedelta(milliseconds=250)
"""The same while the newest counts suggest that demand has shifted."""


class CountReader:
    """Polls the counts of one group's ranks and passes them to a planner.

    Reads run in a task of their own, so that a slow answer does not delay
    the leader.  ``agents_answered`` is whether any agent answered the last
    poll.
    """

    def __init__(
        self,
        *,
        ranks_client: rank_client.RankClient,
        planner: map_planner.GroupMapPlanner,
        zone: str,
    ) -> None:
        """``zone`` is the leader's availability zone."""
        self._ranks_client = ranks_client
        self._planner = planner
        self._zone = zone
        self._polls = 0
        self.agents_answered = False
        self._polled_at: datetime.datetime | None = None
        self._all_zones_polled_at: datetime.datetime | None = None
        self._poll_task: asyncio.Task[None] | None = None

    def poll(
        self,
        endpoints: abc.Mapping[int, directory.Endpoint],
        now: datetime.datetime,
    ) -> bool:
        """Start a poll if one is due and none runs; return whether it did."""
        last_at = self._polled_at
        if last_at is not None and now - last_at < self._interval(endpoints):
            return False
        if self._poll_task is not None and not self._poll_task.done():
            return False
        self._polled_at = now
        self._polls += 1
        all_zones = self._all_zones_polled_at is None
        if self._all_zones_polled_at is not None:
            all_zones = (
                now - self._all_zones_polled_at
                >= sampling.GROUP_COUNT_INTERVAL
            )
        if all_zones:
            self._all_zones_polled_at = now
        self._poll_task = asyncio.create_task(
            self._read(endpoints, all_zones, now)
        )
        return True

    def expedite(self) -> None:
        """Make the next poll due at once."""
        self._polled_at = None

    def cancel(self) -> None:
        """Cancel the current poll."""
        if self._poll_task is not None:
            self._poll_task.cancel()

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
        self,
        endpoints: abc.Mapping[int, directory.Endpoint],
        all_zones: bool,
        now: datetime.datetime,
    ) -> None:
        """Read counts through agents, or directly if no agent answers.

        Only the agents ask ranks that want no requests from gateways.
        """
        self.agents_answered = await self._sample(
            endpoints, agent_only=True, all_zones=all_zones
        )
        if not self.agents_answered:
            await self._read_directly(endpoints, now)
        self._planner.update_estimate()

    async def _read_directly(
        self,
        endpoints: abc.Mapping[int, directory.Endpoint],
        now: datetime.datetime,
    ) -> None:
        willing = {
            rank: endpoint
            for rank, endpoint in endpoints.items()
            if not endpoint.is_withdrawn(now)
        }
        if willing:
            await self._sample(willing, agent_only=False, all_zones=False)

    async def _sample(
        self,
        endpoints: abc.Mapping[int, directory.Endpoint],
        *,
        agent_only: bool,
        all_zones: bool,
    ) -> bool:
        """Read the chosen ranks' counts; return whether any rank answered."""
        chosen = sampling.choose_ranks(
            endpoints,
            zone=self._zone,
            agent_only=agent_only,
            poll=self._polls,
            all_zones=all_zones,
        )
        read = await asyncio.gather(
            *(
                self._ranks_client.counts(endpoints[r], agent_only=agent_only)
                for r in chosen
            )
        )
        for rank, counts in zip(chosen, read, strict=True):
            if counts is None:
                continue
            self._planner.add_counts(rank, counts)
            # Give way to requests.
            await asyncio.sleep(0)
        return any(counts is not None for counts in read)
