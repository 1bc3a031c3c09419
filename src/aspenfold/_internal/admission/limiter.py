"""Limits of organisations, enforced by all entries without a coordinator.

Each entry enforces its share of every organisation's limit.  The shares add
up to at most one, so the total stays within the limit, except that an entry
always allows one request in flight and a burst of one.
"""

import dataclasses
import datetime

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import token_bucket
from aspenfold._internal.models import fleet

ONE_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Usage:
    bucket: token_bucket.TokenBucket
    limits: fleet.Limits
    share: float
    in_flight: int = 0


class Limiter:
    """Enforces the rate and in-flight limits of organisations at an entry."""

    def __init__(self) -> None:
        self._usage: dict[str, _Usage] = {}
        self._share = 1.0

    def set_share(self, share: float) -> None:
        """Set this entry's share of every limit, in (0, 1]."""
        self._share = share

    def admit(
        self, organisation: fleet.Organisation, now: datetime.datetime
    ) -> exceptions.Failure | None:
        """Count a request and return None, or return why it is refused."""
        usage = self._usage_for(organisation, now)
        allowed = max(1, int(usage.limits.in_flight * usage.share))
        if usage.in_flight >= allowed:
            return exceptions.Failure(
                code=exceptions.Code.TOO_MANY_IN_FLIGHT,
                detail=f'{organisation.name} has {usage.in_flight} requests '
                'in flight at this entry, its limit here',
                remedy='wait for responses, or ask for a higher limit',
                retry_after=ONE_SECOND,
            )
        wait = usage.bucket.take(now)
        if wait is not None:
            return exceptions.Failure(
                code=exceptions.Code.RATE_LIMITED,
                detail=f'{organisation.name} exceeds its request rate',
                remedy='send fewer requests, or ask for a higher limit',
                retry_after=wait,
            )
        usage.in_flight += 1
        return None

    def release(self, organisation: str) -> None:
        """Count the end of an admitted request."""
        usage = self._usage.get(organisation)
        if usage is not None and usage.in_flight > 0:
            usage.in_flight -= 1

    def _usage_for(
        self, organisation: fleet.Organisation, now: datetime.datetime
    ) -> _Usage:
        usage = self._usage.get(organisation.name)
        limits = organisation.limits
        rate = limits.requests_per_second * self._share
        burst = max(1.0, limits.burst * self._share)
        if usage is None:
            bucket = token_bucket.TokenBucket(rate=rate, burst=burst, now=now)
            usage = _Usage(bucket=bucket, limits=limits, share=self._share)
            self._usage[organisation.name] = usage
        elif usage.limits != limits or usage.share != self._share:
            usage.limits = limits
            usage.share = self._share
            usage.bucket.set_rate(rate, burst, now)
        return usage
