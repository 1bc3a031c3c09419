"""Admission policy with priority lanes, reserved slots and deadlines."""

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
"""Mean pressure from which a lane refuses requests."""

RESERVED_DEVIATIONS = 3.0
"""Slots are reserved for this many standard deviations of interactive load."""

MIN_RESERVED_FRACTION = 0.02
"""Fraction of the capacity that is always reserved while there are
interactive calls."""

MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
MAX_RETRY_AFTER = datetime.timedelta(seconds=30)


@registry.register(policy.KIND, 'lanes')
class PriorityLanes:
    """Refuses less urgent priorities first as pressure grows."""

    def check(
        self,
        priority: fleet.Priority,
        remaining: datetime.timedelta,
        pressure: policy.Pressure,
    ) -> exceptions.Failure | None:
        """Return a failure if the lane is full or the wait is too long."""
        if pressure.mean >= _max_pressure(priority, pressure):
            return _overloaded(f'the {priority.value} lane is full', pressure)
        if _queue_delay(pressure) >= remaining:
            return _overloaded(
                'the estimated wait exceeds the deadline', pressure
            )
        return None


def _max_pressure(
    priority: fleet.Priority, pressure: policy.Pressure
) -> float:
    """Return the mean pressure from which a lane refuses requests.

    While there are interactive calls, the other lanes leave a fraction of
    the capacity free for a burst of them.  The load of independent calls
    varies by the square root of its mean, so this fraction is smaller for a
    larger capacity.
    """
    bound = MAX_LANE_PRESSURE[priority]
    if (
        priority is fleet.Priority.INTERACTIVE
        or not pressure.interactive_fraction
    ):
        return bound
    reserved = RESERVED_DEVIATIONS * math.sqrt(
        pressure.interactive_fraction / max(1, pressure.capacity)
    )
    return min(bound, 1.0 - MIN_RESERVED_FRACTION - reserved)


def _queue_delay(pressure: policy.Pressure) -> datetime.timedelta:
    queued = max(0.0, pressure.mean - 1.0)
    return pressure.service_time * queued


def _overloaded(detail: str, pressure: policy.Pressure) -> exceptions.Failure:
    wait = _queue_delay(pressure)
    return exceptions.Failure(
        code=exceptions.Code.OVERLOADED,
        detail=detail,
        remedy='retry after the Retry-After delay, or allow a longer deadline',
        retry_after=min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)),
    )
