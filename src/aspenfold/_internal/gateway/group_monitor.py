"""Finds the group of each rank, and detects when groups recover.

A service may have several groups of ranks, and the outage of one must not
affect the others.  Reports, which are free through the agents on the ranks'
hosts, name the rank's group.  Without agents all ranks of a service count as
one group, and only requests show that it has recovered.
"""

import asyncio
import random

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.gateway import unknown_names
from aspenfold._internal.observability import events

POLL_INTERVAL_S = 0.1
"""Short against the time that requests can wait for a recovery; some reports
a second."""

MAX_LOOKUPS_PER_POLL = 4
"""How many ranks with an unknown group are asked in one poll.  Those of 72
endpoints are known 2 s after a start, before callers come."""


class GroupMonitor:
    """Polls the reports of ranks through their agents."""

    def __init__(
        self,
        *,
        core: core_module.Core,
        ranks_client: rank_client.RankClient,
        rng: random.Random,
    ) -> None:
        self._core = core
        self._ranks_client = ranks_client
        self._rng = rng
        self._unknown_fields = unknown_names.UnknownNames(
            event=events.Event.FIELD_UNKNOWN
        )

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll()

    async def poll(self) -> None:
        """Ask some ranks for their group, and check unavailable groups."""
        members = [
            endpoint
            for service in self._core.group_services()
            for endpoint in self._core.directory.of_service(service)
        ]
        await self._find_groups([e for e in members if not e.group])
        await self._check_recoveries([e for e in members if e.group])

    async def _find_groups(self, unknown: list[directory.Endpoint]) -> None:
        """Ask some of the ranks whose group is unknown for it."""
        self._rng.shuffle(unknown)
        chosen = unknown[:MAX_LOOKUPS_PER_POLL]
        reports = await asyncio.gather(
            *(
                self._ranks_client.report(endpoint, agent_only=True)
                for endpoint in chosen
            )
        )
        for endpoint, report in zip(chosen, reports, strict=True):
            if report is None:
                continue
            endpoint.group = report.group
            self._unknown_fields.log(endpoint.name, report.unknown_fields)
            events.emit(
                events.Event.RANK_KNOWN,
                endpoint=endpoint.name,
                group=report.group,
                rank=report.rank,
            )

    async def _check_recoveries(
        self, members: list[directory.Endpoint]
    ) -> None:
        """Ask one rank of each unavailable group whether it recovered."""
        self._rng.shuffle(members)
        rank_by_group = {
            (e.listing.service, e.group): e
            for e in members
            if self._core.outages.is_unavailable(e)
        }
        reports = await asyncio.gather(
            *(
                self._ranks_client.report(e, agent_only=True)
                for e in rank_by_group.values()
            )
        )
        for (service, group), report in zip(
            rank_by_group, reports, strict=True
        ):
            if report is None or report.age > map_switch.MAX_FRESH_AGE:
                continue
            if report.open and report.group == group:
                self._core.outages.record_recovery(service, group)
