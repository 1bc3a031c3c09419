"""Baseline admission policy that accepts every request."""

import datetime

from aspenfold._internal.admission import policy
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet


@registry.register(policy.KIND, 'open')
class AdmitAll:
    """Accepts every request."""

    def check(
        self,
        priority: fleet.Priority,
        remaining: datetime.timedelta,
        pressure: policy.Pressure,
    ) -> exceptions.Failure | None:
        """Return None."""
        return None
