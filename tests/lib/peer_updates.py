"""Updates of a peer, as tests receive them."""

import dataclasses
import typing

from aspenfold._internal.gateway import peer_update

PLAIN = peer_update.PeerUpdate(
    host='front-zone-a-1',
    incarnation='0011aabb',
    sequence=7,
    in_flight_counts={},
    plan_offset=12,
    token=3,
    slowdowns={},
    zone='zone-a',
    is_reader=True,
    recovery_ages={},
    rate_reports={},
)
"""An update of a leader that reads the store and has nothing else to tell."""


def make_update(**fields: typing.Any) -> peer_update.PeerUpdate:
    """Return an update with these fields instead of those of PLAIN."""
    return dataclasses.replace(PLAIN, **fields)
