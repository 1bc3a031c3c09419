"""Applies what responses state to what is known of their endpoints."""

import datetime

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.gateway import unknown_names
from aspenfold._internal.kernel import clock
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics

MISDIRECTED_STATUS = 421
"""Sent by another endpoint, which now uses the address, or by one that does
not meet a condition of the request."""

BACKOFF_STATUSES = frozenset({429, 503})
"""Statuses with which a Retry-After speaks of the endpoint itself."""


class StatementRecorder:
    """Decides what each statement changes, whatever the request's fate."""

    def __init__(
        self,
        *,
        endpoint_directory: directory.Directory,
        limits: rate_limits.RateLimits,
        counters: metrics.Metrics,
    ) -> None:
        self._directory = endpoint_directory
        self._limits = limits
        self._counters = counters
        self._unknown_headers = unknown_names.UnknownNames(
            event=events.Event.HEADER_UNKNOWN
        )

    def record(
        self,
        endpoint: directory.Endpoint,
        statement: endpoint_statement.EndpointStatement,
        *,
        status: int,
        attempt_id: str,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Record the statement of a response with ``status``.

        It responds to the attempt ``attempt_id``, sent at ``sent_at``.
        """
        self._unknown_headers.log(endpoint.name, statement.unknown)
        self._log_invalid(endpoint, statement)
        if (
            status == MISDIRECTED_STATUS
            and statement.responder != endpoint.name
        ):
            return
        if statement.load is not None:
            endpoint.update_load(statement.load)
        if statement.leaving:
            self._directory.record_leaving(endpoint)
        answers_attempt = (
            not statement.not_run and statement.attempt_id == attempt_id
        )
        self._record_rate_limit(
            endpoint,
            statement,
            may_lift=answers_attempt and status < 500,
            sent_at=sent_at,
            now=now,
        )
        if statement.retry_after and status in BACKOFF_STATUSES:
            self._directory.record_backoff(
                endpoint, statement.retry_after, now
            )
        elif statement.not_run and not statement.blames_other(endpoint.name):
            self._directory.record_refusal(endpoint, statement.load, now)

    def _record_rate_limit(
        self,
        endpoint: directory.Endpoint,
        statement: endpoint_statement.EndpointStatement,
        *,
        may_lift: bool,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Record the stated limit; without one it ends if ``may_lift``."""
        if statement.rate_limit_invalid:
            return
        if statement.rate_limit is None and not may_lift:
            return
        self._limits.record_statement(
            endpoint, statement.rate_limit, sent_at=sent_at, now=now
        )

    def _log_invalid(
        self,
        endpoint: directory.Endpoint,
        statement: endpoint_statement.EndpointStatement,
    ) -> None:
        for header in statement.invalid:
            self._counters.increment('invalid_headers', header.name)
            events.emit(
                events.Event.HEADER_INVALID,
                endpoint=endpoint.name,
                name=header.name,
                error=header.error,
            )


def log_refusal(
    call_id: str,
    endpoint: directory.Endpoint,
    statement: endpoint_statement.EndpointStatement,
    status: int,
) -> None:
    """Log that an endpoint did not run a request, with what it stated."""
    load, retry_after_ms = statement.load, None
    if statement.retry_after is not None:
        retry_after_ms = clock.to_ms(statement.retry_after)
    events.emit(
        events.Event.ATTEMPT_DECLINED,
        call=call_id,
        endpoint=endpoint.name,
        status=status,
        retry_after_ms=retry_after_ms,
        leaving=statement.leaving,
        at_fault=statement.at_fault,
        running=None if load is None else load.running,
        waiting=None if load is None else load.waiting,
        capacity=None if load is None else load.capacity,
    )


def log_misdirection(
    call_id: str,
    endpoint: directory.Endpoint,
    statement: endpoint_statement.EndpointStatement,
    *,
    is_conditional: bool,
) -> None:
    """Log that an endpoint answered 421, with what it stated.

    ``is_conditional`` is whether the request had conditions of its own.
    """
    events.emit(
        events.Event.ATTEMPT_MISDIRECTED,
        call=call_id,
        endpoint=endpoint.name,
        responder=statement.responder,
        at_fault=statement.at_fault,
        not_run=statement.not_run,
        conditional=is_conditional,
    )
