"""The interface of admission policies."""

import dataclasses
import datetime
import typing

from aspenfold._internal import exceptions
from aspenfold._internal.models import fleet

KIND = 'admission'
"""The plug-in kind in the registry and in a service's ``policies``."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pressure:
    """The load of a service, as known to this entry.

    ``mean`` is the mean pressure of its endpoints; at 1.0 all slots are in
    use.  ``capacity`` is the number of their slots, and
    ``interactive_fraction`` the fraction of them that interactive calls
    have used recently.  ``service_time`` is the
    moving average of the time that a call takes.
    """

    mean: float
    capacity: int
    interactive_fraction: float
    service_time: datetime.timedelta


class AdmissionPolicy(typing.Protocol):
    """Refuses requests that cannot be answered in time."""

    def check(
        self,
        priority: fleet.Priority,
        remaining: datetime.timedelta,
        pressure: Pressure,
    ) -> exceptions.Failure | None:
        """Return why a request is refused, None to accept it.

        ``remaining`` is the time until the request's deadline.
        """
