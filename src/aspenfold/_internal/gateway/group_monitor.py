"""Learns which group each rank is in, and when a standing group opens.

A service may have several groups of ranks, and one that stands must keep
nobody from the others.  Ranks tell their group in their reports, which
cost nothing through the agents on their hosts; without agents all ranks
of a service count as one group, and only requests show that it runs.
"""

import asyncio
import random

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.observability import events

POLL_INTERVAL_S = 0.1
"""Pace of looking at groups that stand: well under the time by which a
waiting request would be late, and some reports a second."""

MAX_LOOKUPS_PER_POLL = 4
"""Ranks that are asked for their group in one turn: those of 72 endpoints
are known 2 s after a start, long before callers come."""


class GroupMonitor:
    """Asks the agents of ranks, for one gateway."""

    def __init__(
        self,
        *,
        core: core_module.Core,
        ranks_client: rank_client.RankClient,
        rng: random.Random,
    ) -> None:
        self._core = core
        self._ranks = ranks_client
        self._rng = rng

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll()

    async def poll(self) -> None:
        """Ask once for what is not known, and for what may have opened."""
        members = [
            endpoint
            for service in self._core.group_services()
            for endpoint in self._core.directory.of_service(service)
        ]
        await self._find_groups([e for e in members if not e.group])
        await self._check_recoveries([e for e in members if e.group])

    async def _find_groups(self, unknown: list[directory.Endpoint]) -> None:
        """Ask some ranks for their group."""
        self._rng.shuffle(unknown)
        chosen = unknown[:MAX_LOOKUPS_PER_POLL]
        reports = await asyncio.gather(
            *(
                self._ranks.report(endpoint, agent_only=True)
                for endpoint in chosen
            )
        )
        for endpoint, report in zip(chosen, reports, strict=True):
            if report is None:
                continue
            endpoint.group = report.group
            events.emit(
                events.Event.RANK_KNOWN,
                endpoint=endpoint.name,
                group=report.group,
                rank=report.rank,
            )

    async def _check_recoveries(
        self, members: list[directory.Endpoint]
    ) -> None:
        """Ask one rank of each standing group whether it is open."""
        self._rng.shuffle(members)
        by_group = {
            (e.listing.service, e.group): e
            for e in members
            if self._core.outages.is_unavailable(e)
        }
        reports = await asyncio.gather(
            *(
                self._ranks.report(e, agent_only=True)
                for e in by_group.values()
            )
        )
        for (service, group), report in zip(by_group, reports, strict=True):
            if report is None or report.age > map_switch.MAX_FRESH_AGE:
                continue
            if report.open and report.group == group:
                self._core.outages.record_recovery(service, group)
