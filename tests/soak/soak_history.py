"""The requests of one soak, and the periods in which faults were active."""

import dataclasses
import time

from aspenfold_standins import platform_worker

from tests.lib import gateway_rig

AT_MOST_ONCE_PATHS = frozenset({'/unsafe/', '/once/', '/song/', '/model/'})
"""Paths whose requests may be executed at most once."""

STREAM_PATHS = frozenset({'/stream/', '/song/', '/model/'})

REQUEST_PATHS = (
    '/safe/',
    '/unsafe/',
    '/once/',
    '/stream/',
    '/song/',
    '/model/',
    '/short/',
)

RECOVERY_MARGIN_S = 3.0
"""Time after the end of a fault during which its effects are accepted."""


Process = tuple[str, int]
"""A gateway's name and the number of its process."""


@dataclasses.dataclass(kw_only=True)
class RequestRecord:
    """One request, and the response that its caller received.

    ``process_number`` counts the processes of the gateway, from 1.
    """

    attempt_id: str
    path: str
    gateway: str
    process_number: int
    sent_at: float
    disconnected_early: bool = False
    response: gateway_rig.Response | None = None
    ended_at: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the caller received a complete response with status 200."""
        response = self.response
        return (
            response is not None
            and response.complete
            and response.status == 200
        )


class SoakHistory:
    """Records requests by attempt id, and fault periods by subject.

    ``broken_attempts`` are the ids of attempts whose response an endpoint
    broke off.  A subject is the name of a gateway or an endpoint, ``store`` or
    ``group``.  Times are those of ``time.monotonic()``.
    """

    def __init__(self) -> None:
        self.requests: dict[str, RequestRecord] = {}
        self.broken_attempts: set[str] = set()
        self._fault_periods: dict[str, list[list[float]]] = {}

    def add_request(self, request: RequestRecord) -> None:
        """Record a request; call this before sending it."""
        self.requests[request.attempt_id] = request

    def process_of(self, attempt_id: str) -> Process | None:
        """Return the process that got a request, None if nobody sent it."""
        request = self.requests.get(attempt_id)
        if request is None:
            return None
        return request.gateway, request.process_number

    def times_told(
        self, endpoint: str, header: str, since: float = 0.0
    ) -> dict[Process, float]:
        """Return when each process first forwarded a header of an endpoint.

        Only responses that ended at ``since`` or later count.
        """
        told: dict[Process, float] = {}
        seal = f'seal-{endpoint}'
        for request in self.requests.values():
            response = request.response
            if response is None or request.ended_at < since:
                continue
            headers = response.headers
            from_endpoint = (
                headers.get(platform_worker.SEAL_HEADER.lower()) == seal
            )
            if header.lower() in headers and from_endpoint:
                process = request.gateway, request.process_number
                known = told.get(process, request.ended_at)
                told[process] = min(known, request.ended_at)
        return told

    def start_fault(self, subject: str) -> list[float]:
        """Start a fault period of ``subject`` and return it."""
        period = [time.monotonic(), float('inf')]
        self._fault_periods.setdefault(subject, []).append(period)
        return period

    def end_fault(self, period: list[float]) -> None:
        """End a fault period that ``start_fault`` returned."""
        period[1] = time.monotonic()

    def is_fault_free(self, subject: str, since: float, until: float) -> bool:
        """Return whether no fault affected ``subject`` in this interval.

        A fault has effects until ``RECOVERY_MARGIN_S`` after its end.
        """
        return all(
            end + RECOVERY_MARGIN_S < since or begin > until
            for begin, end in self._fault_periods.get(subject, ())
        )
