"""Selects the ranks whose expert counts a leader reads.

Requests are assigned to ranks regardless of their content, so a sample of
ranks represents the whole group.
"""

from collections import abc
import datetime

from aspenfold._internal.gateway import directory

MAX_DIRECT_RANKS = 2
"""Maximum number of ranks read directly at their engines, one per poll;
each such read pauses the group."""

MAX_AGENT_RANKS = 24
"""Maximum number of ranks in the leader's zone read through their agents."""

MAX_REMOTE_ZONE_RANKS = 8
"""Maximum number of ranks in other zones read through their agents; limits
the traffic between zones, as each answer has 2 to 10 KB."""


ZONE_COUNT_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval of reading counts in the leader's zone, about one pass."""

GROUP_COUNT_INTERVAL = datetime.timedelta(milliseconds=300)
"""Interval of reading counts in all zones; longer, to limit the traffic
between zones."""


def count_interval(
    endpoints: abc.Mapping[int, directory.Endpoint], zone: str
) -> datetime.timedelta:
    """Return the interval of reading a group's counts through agents.

    ``endpoints`` maps the numbers of the group's ranks to endpoints and
    ``zone`` is the zone of the leader.
    """
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
    """Return the sorted numbers of the ranks to read.

    ``poll`` is the number of this poll.  With ``agent_only``, ranks are
    read through their agents: those of ``zone`` if there are any, with
    ``all_zones`` also some in other zones.  The same ranks are returned
    in each poll, because demand is the increase since a rank's previous
    counts.  Otherwise one rank is returned, to be read at its engine.
    """
    rank_numbers = sorted(endpoints)
    if not agent_only:
        return [rank_numbers[poll % min(MAX_DIRECT_RANKS, len(rank_numbers))]]
    local = [rank for rank in rank_numbers if endpoints[rank].zone == zone]
    local = local[:MAX_AGENT_RANKS]
    if local and not all_zones:
        return local
    remote = [rank for rank in rank_numbers if endpoints[rank].zone != zone]
    return sorted(local + remote[:MAX_REMOTE_ZONE_RANKS])
