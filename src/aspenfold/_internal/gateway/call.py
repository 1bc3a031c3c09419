"""State of one caller's request during all its attempts."""

import dataclasses
import datetime
import math

from aspenfold._internal.gateway import event_stream
from aspenfold._internal.gateway import fingerprints as fingerprints_module
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import prompt_parts
from aspenfold._internal.gateway import response_budget
from aspenfold._internal.gateway import response_end as end_module
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import http1_server


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BufferedResponse:
    """A complete response of an endpoint that is not a stream."""

    status: int
    headers: forwarding.Headers
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request in progress.

    ``response`` writes to the caller.  ``stream`` holds the events of a
    streamed response and is kept through all attempts.
    ``buffered_response`` is the latest complete response that was not
    forwarded yet, and ``hold`` the memory that it takes.  ``response_end`` is
    how the response of the latest attempt ended, None if none began.
    ``begun`` is that attempt's place in the ledger of starts, None before it
    is sent.
    """

    clock: clock_module.Clock
    request: http1_server.Request
    response: http1_server.ResponseWriter
    id: str
    deadline: datetime.datetime
    organisation: str = ''
    service: str = ''
    stream: event_stream.EventStream = dataclasses.field(
        default_factory=event_stream.EventStream
    )
    buffered_response: BufferedResponse | None = None
    hold: response_budget.ResponseHold | None = None
    response_end: end_module.ResponseEnd | None = None
    begun: start_ledger.BegunRequest | None = None
    parts: prompt_parts.PromptParts = prompt_parts.NONE
    _fingerprints: fingerprints_module.RequestFingerprints | None = None

    @property
    def fingerprints(self) -> fingerprints_module.RequestFingerprints:
        """What the request, once admitted, has in common with others."""
        if self._fingerprints is None:
            self._fingerprints = fingerprints_module.RequestFingerprints(
                request=self.request,
                organisation=self.organisation,
                parts=self.parts,
            )
        return self._fingerprints

    def replace_hold(self, hold: response_budget.ResponseHold | None) -> None:
        """Give back what the response so far takes, and use another hold."""
        if self.hold is not None:
            self.hold.close()
        self.hold = hold

    @property
    def age(self) -> datetime.timedelta:
        """The time since the request was read."""
        return self.clock.now() - self.request.received_at

    @property
    def age_ms(self) -> int:
        """The age in whole milliseconds, for logs."""
        return int(self.age.total_seconds() * 1000)

    def begin_attempt(self) -> None:
        """Forget how the last attempt went."""
        self.response_end = None
        self.begun = None

    @property
    def remaining(self) -> datetime.timedelta:
        """The time to the deadline, negative after it."""
        return self.deadline - self.clock.now()

    @property
    def remaining_ms(self) -> int:
        """The remaining time in whole milliseconds, rounded down."""
        return math.floor(self.remaining.total_seconds() * 1000)
