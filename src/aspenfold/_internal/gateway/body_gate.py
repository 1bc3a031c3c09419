"""Refuses requests whose bodies have no room, before they are read."""

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import refusal
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events

CODE = exceptions.Code.NO_MEMORY


class BodyGate:
    """Lets a caller's body in if the budget has room for it."""

    def __init__(self, *, core: core_module.Core) -> None:
        self._core = core

    def reserve(self, size: int, *, total: int) -> bool:
        """Reserve ``size`` more bytes of a body, ``total`` with these."""
        return self._core.body_budget.reserve(size, total=total)

    def refuse(self, headers: http1_server.Headers) -> http1_server.Refusal:
        """Log and count a request without room; return the response."""
        held = self._core.body_budget.held
        failure = exceptions.Failure(
            code=CODE, detail=f'bodies of other requests take {held} bytes'
        )
        status = refusal.status(CODE)
        attempt_id = forwarding.header(
            headers, self._core.header_names.attempt_id
        )
        self._core.metrics.increment('refusals', str(int(CODE)))
        events.emit(
            events.Event.CALL_FAILED,
            call=attempt_id.decode('latin-1'),
            code=int(CODE),
            status=status,
            detail=failure.detail,
        )
        return http1_server.Refusal(
            status=status,
            headers=refusal.retry_after_headers(refusal.RETRY_AFTER[CODE]),
            body=refusal.body(failure),
        )

    def release(self, size: int) -> None:
        """Give back what was reserved for a request."""
        self._core.body_budget.release(size)
