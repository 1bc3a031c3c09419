"""Priority lanes with reserved room, and deadline-aware refusal."""

import datetime
import math

from aspenfold._internal.admission import policy
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet

MAX_LANE_PRESSURE: dict[fleet.Priority, float] = {
    fleet.Priority.INTERACTIVE: 3.0,
    fleet.Priority.GENERATION: 2.0,
    fleet.Priority.BATCH: 0.8,
}
"""Mean pressure above which a lane is closed."""

RESERVED_DEVIATIONS = 3.0
"""Standard deviations of interactive work that room is kept for."""

MIN_RESERVED_FRACTION = 0.02
"""Share of capacity kept free while there are interactive calls."""

MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
MAX_RETRY_AFTER = datetime.timedelta(seconds=30)


@registry.register(policy.KIND, 'lanes')
class PriorityLanes:
    """Closes lanes from the least urgent up as pressure grows."""

    def check(
        self,
        priority: fleet.Priority,
        remaining: datetime.timedelta,
        pressure: policy.Pressure,
    ) -> exceptions.Failure | None:
        """Refuse for a closed lane or a wait beyond the deadline."""
        if pressure.mean >= _max_pressure(priority, pressure):
            return _overloaded(f'the {priority.value} lane is full', pressure)
        if _estimated_wait(pressure) >= remaining:
            return _overloaded(
                'the estimated wait passes the deadline', pressure
            )
        return None


def _max_pressure(
    priority: fleet.Priority, pressure: policy.Pressure
) -> float:
    """Return the pressure at which a lane closes.

    While there are interactive calls, the other lanes leave room for a
    burst of them.  The work of independent calls varies by the square
    root of its mean, so the room is small where capacity is large.
    Without interactive calls nothing is kept free.
    """
    bound = MAX_LANE_PRESSURE[priority]
    if priority is fleet.Priority.INTERACTIVE or not pressure.urgent:
        return bound
    room = RESERVED_DEVIATIONS * math.sqrt(
        pressure.urgent / max(1, pressure.capacity)
    )
    return min(bound, 1.0 - MIN_RESERVED_FRACTION - room)


def _estimated_wait(pressure: policy.Pressure) -> datetime.timedelta:
    queued = max(0.0, pressure.mean - 1.0)
    return pressure.service_time * queued


def _overloaded(detail: str, pressure: policy.Pressure) -> exceptions.Failure:
    wait = _estimated_wait(pressure)
    return exceptions.Failure(
        code=exceptions.Code.OVERLOADED,
        detail=detail,
        remedy='come back after Retry-After, or allow a longer deadline',
        retry_after=min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)),
    )
