"""Whether a gateway may send a request to an endpoint now, and if not, why."""

import dataclasses
import datetime
import enum


class Obstacle(enum.Enum):
    """What keeps a gateway from sending to an endpoint."""

    LEAVING = 'leaving'
    """The endpoint will stop soon."""

    BACKOFF = 'backoff'
    """The endpoint refused and asked for no requests for a while."""

    RATE_LIMIT = 'rate-limit'
    """The endpoint is at the rate limit that it stated."""

    PAUSE = 'pause'
    """Earlier requests failed.  The endpoint may be used if there is no
    other, since this is only a guess."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Permission:
    """The answer for one endpoint.

    ``obstacle`` is None if the gateway may send.  Otherwise it may not before
    ``until``, or never if that is None.
    """

    obstacle: Obstacle | None = None
    until: datetime.datetime | None = None


GRANTED = Permission()
