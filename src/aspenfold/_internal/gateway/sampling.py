"""Which ranks' counts a leader reads.

Requests are dealt to ranks whatever they ask for, so that some ranks
stand for all.  How many, is a matter of price.
"""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory

MAX_DIRECT_RANKS = 2
"""Ranks whose counts are read from another host, one a turn: the group
pauses for each, and each is paid for."""

MAX_AGENT_RANKS = 24
"""Most ranks whose counts are read through their agents: some forty
requests a second at the users' sizes, which tells demand to within a
few parts in a hundred."""

MAX_REMOTE_ZONE_RANKS = 8
"""Most of these in other zones: each answer is 2 to 10 KB, and all 72
ranks of a service would be some 0.1 GB between zones in 45 s, by
reckoning."""


ZONE_COUNT_INTERVAL = datetime.timedelta(milliseconds=100)
"""Pace of reading the counts of the leader's own zone: about the time of a
pass, so that new demand is seen within one."""

GROUP_COUNT_INTERVAL = datetime.timedelta(milliseconds=300)
"""The same of all ranks, and of a group that has none in the leader's zone:
bytes between zones are paid for.  Eight ranks of each of two such groups,
read each 100 ms, would be 0.09 GB in 55 s at some 10 KB an answer."""


def count_interval(
    endpoints: abc.Mapping[int, directory.Endpoint], zone: str
) -> datetime.timedelta:
    """Return the pace of reading counts through agents."""
    if any(endpoint.zone == zone for endpoint in endpoints.values()):
        return ZONE_COUNT_INTERVAL
    return GROUP_COUNT_INTERVAL


def choose_ranks(
    endpoints: abc.Mapping[int, directory.Endpoint],
    *,
    zone: str,
    agent_only: bool,
    poll: int,
    all_zones: bool = False,
) -> list[int]:
    """Return the ranks to read in this ``turn``, by their number.

    ``free``: through agents, of the leader's own zone if it has any, as
    bytes between zones are paid for; ``whole``: of all zones.  The same
    ranks each time, since only what came since a rank's last reading
    counts.
    """
    every = sorted(endpoints)
    if not agent_only:
        return [every[poll % min(MAX_DIRECT_RANKS, len(every))]]
    near = [rank for rank in every if endpoints[rank].zone == zone]
    near = near[:MAX_AGENT_RANKS]
    if near and not all_zones:
        return near
    far = [rank for rank in every if endpoints[rank].zone != zone]
    return sorted(near + far[:MAX_REMOTE_ZONE_RANKS])
