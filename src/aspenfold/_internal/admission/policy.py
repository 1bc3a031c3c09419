"""The interface of admission policies."""

import dataclasses
import datetime
import typing

from aspenfold._internal import exceptions
from aspenfold._internal.models import fleet

KIND = 'admission'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pressure:
    """How busy a service is as this entry sees it.

    ``mean`` is the mean of its endpoints' pressures (1.0: all run as
    much as they can at once); ``service_time`` a moving average.
    ``capacity`` is how many calls they run at once, ``urgent`` the
    share of it that interactive calls have used lately.
    """

    mean: float
    capacity: int
    urgent: float
    service_time: datetime.timedelta


class AdmissionPolicy(typing.Protocol):
    """Refuses at once what cannot be answered in time."""

    def check(
        self,
        priority: fleet.Priority,
        remaining: datetime.timedelta,
        pressure: Pressure,
    ) -> exceptions.Failure | None:
        """Return why the request is refused, None to admit it."""
