"""Refuses requests whose bodies have no room, before they are read."""

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import refusal as refusal_module
from aspenfold._internal.network import http1_server
from aspenfold._internal.observability import events

CODE = exceptions.Code.NO_MEMORY


class BodyGate:
    """Lets a caller's body in if the budget has room for it."""

    def __init__(self, *, core: core_module.Core) -> None:
        self._core = core

    def reserve(
        self, size: int, *, total: int, headers: http1_server.Headers
    ) -> http1_server.Refusal | None:
        """Reserve ``size`` more bytes of a body; return a refusal instead."""
        budget = self._core.body_budget
        if budget.reserve(size, total=total):
            return None
        status = refusal_module.status(CODE)
        detail = f'bodies of other requests take {budget.held} bytes'
        self._core.metrics.increment('refusals', str(int(CODE)))
        events.emit(
            events.Event.CALL_FAILED,
            call=self._call_id(headers),
            code=int(CODE),
            status=status,
            detail=detail,
        )
        delay = refusal_module.RETRY_AFTER[CODE].total_seconds()
        return http1_server.Refusal(
            status=status,
            headers=[(b'retry-after', f'{delay:.3f}'.encode())],
            body=f'[{int(CODE)}] {detail}\n'.encode(),
        )

    def release(self, size: int) -> None:
        """Give back what was reserved for a request."""
        self._core.body_budget.release(size)

    def _call_id(self, headers: http1_server.Headers) -> str:
        name = self._core.header_names.attempt_id
        found = (value for key, value in headers if key == name)
        return next(found, b'').decode('latin-1')
