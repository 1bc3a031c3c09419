"""What one caller's request carries through all its attempts."""

import dataclasses
import datetime
import math

from aspenfold._internal.gateway import event_stream
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import http1_server


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BufferedResponse:
    """An endpoint's answer to a request that is no stream."""

    status: int
    headers: forwarding.Headers
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """One request: who asks, until when, and what came of it so far.

    ``cutter`` cuts a streamed answer into events, over all attempts.
    ``held`` is the last whole answer, which is not passed on yet.
    """

    clock: clock_module.Clock
    request: http1_server.Request
    response: http1_server.ResponseWriter
    id: str
    deadline: datetime.datetime
    organisation: str = ''
    service: str = ''
    splitter: event_stream.EventSplitter = dataclasses.field(
        default_factory=event_stream.EventSplitter
    )
    buffered_response: BufferedResponse | None = None

    @property
    def age(self) -> datetime.timedelta:
        """Time since the request was read."""
        return self.clock.now() - self.request.received_at

    @property
    def age_ms(self) -> int:
        """The same in whole milliseconds, for logs."""
        return int(self.age.total_seconds() * 1000)

    @property
    def remaining(self) -> datetime.timedelta:
        """Time to the deadline, negative after it."""
        return self.deadline - self.clock.now()

    @property
    def remaining_ms(self) -> int:
        """The same in whole milliseconds, rounded down."""
        return math.floor(self.remaining.total_seconds() * 1000)
