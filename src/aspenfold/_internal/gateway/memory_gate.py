"""Refuses requests for which there is no memory, before they are read."""

from aspenfold._internal import exceptions
from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import refusal
from aspenfold._internal.network import caller_memory
from aspenfold._internal.observability import events

CODE = exceptions.Code.NO_MEMORY


class MemoryGate:
    """Lets requests in if the budgets have room for them."""

    def __init__(self, *, core: core_module.Core) -> None:
        self._core = core
        self.bodies: caller_memory.Budget = core.body_budget
        self.input: caller_memory.Budget = core.input_budget

    def refuse(self, headers: caller_memory.Headers) -> caller_memory.Refusal:
        """Log and count a request without room; return the response."""
        core = self._core
        held = core.body_budget.held + core.input_budget.held
        failure = exceptions.Failure(
            code=CODE, detail=f'other requests take {held} bytes'
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
        return caller_memory.Refusal(
            status=status,
            headers=refusal.retry_after_headers(refusal.RETRY_AFTER[CODE]),
            body=refusal.body(failure),
        )
