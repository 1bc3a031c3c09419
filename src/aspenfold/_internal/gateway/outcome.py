"""Results of attempts at endpoints and the step that follows each.

This module only makes decisions: it does no I/O and reads no clock.
"""

import dataclasses
import enum

from aspenfold._internal.gateway import plan


class AttemptResult(enum.Enum):
    """How an attempt ended, as seen by the gateway."""

    NOT_SENT = 'not-sent'
    """No connection was made, so the request did not run."""

    WITHDRAWN = 'withdrawn'
    """The endpoint asked for no more requests before this one was sent."""

    QUARANTINED = 'quarantined'
    """Endpoints ended under requests like this one before it was sent."""

    DECLINED = 'declined'
    """The endpoint stated that it did not run the request."""

    GROUP_UNAVAILABLE = 'down'
    """The endpoint has free slots but its group of ranks is unavailable."""

    REPLACED = 'replaced'
    """Another incarnation uses the address; the request did not run."""

    MISDIRECTED = 'misdirected'
    """The endpoint does not have what the request expects; it did not run."""

    FAILED = 'failed'
    """The endpoint may have run the request and responded with a failure."""

    ENDED = 'ended'
    """The endpoint ended, and the request may be the cause."""

    LOST = 'lost'
    """No usable response arrived; the request may have run."""

    ANSWERED = 'answered'
    """A complete response arrived."""

    OVERSIZED = 'oversized'
    """The response has an event that is too large to buffer."""

    TIMED_OUT = 'timed-out'
    """The deadline passed before a complete response arrived."""


NOT_RUN = frozenset(
    {
        AttemptResult.NOT_SENT,
        AttemptResult.WITHDRAWN,
        AttemptResult.QUARANTINED,
        AttemptResult.DECLINED,
        AttemptResult.GROUP_UNAVAILABLE,
        AttemptResult.REPLACED,
        AttemptResult.MISDIRECTED,
    }
)

WHOLE = frozenset({AttemptResult.ANSWERED, AttemptResult.FAILED})
"""Results after which the endpoint has nothing more to do."""

NOT_RETRYABLE = frozenset(
    {
        AttemptResult.TIMED_OUT,
        AttemptResult.ENDED,
        AttemptResult.QUARANTINED,
        AttemptResult.GROUP_UNAVAILABLE,
        AttemptResult.OVERSIZED,
    }
)
"""Results after which there is no attempt at another endpoint."""


class NextStep(enum.Enum):
    """What the gateway does after an attempt."""

    DELIVER = 'deliver'
    """Forward the endpoint's response, whatever its status."""

    RETRY = 'again'
    """Send the request to another endpoint."""

    REFUSE = 'refuse'
    """Respond that the request has not run."""

    REPORT_UNKNOWN = 'give-up'
    """Respond that the request may have run."""

    ABORT = 'break-off'
    """Close a response that has started so that it is seen as incomplete."""


@dataclasses.dataclass(kw_only=True, slots=True)
class History:
    """Results of the attempts made for one request so far.

    ``attempts_sent`` counts the endpoints that the request was sent to,
    ``unreachable`` the connections that failed.  ``head_delivered`` is
    true once the caller has received the head of a stream.
    """

    route: plan.Route
    attempts_sent: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    head_delivered: bool = False


MAX_UNREACHABLE = 3
"""Failed connections after which a request is not tried again."""


def next_step(
    history: History, result: AttemptResult, *, has_budget: bool
) -> NextStep:
    """Return the step after an attempt that ended with ``result``.

    ``history`` includes this attempt.  ``has_budget`` is whether the
    retry budget allows another one.
    """
    if result is AttemptResult.ANSWERED:
        return NextStep.DELIVER
    repeatable = history.route.repeatable or not history.may_have_run
    attempts_left = history.attempts_sent < history.route.max_attempts
    if (
        result is AttemptResult.NOT_SENT
        and history.unreachable >= MAX_UNREACHABLE
    ):
        attempts_left = False
    if (
        result not in NOT_RETRYABLE
        and repeatable
        and attempts_left
        and has_budget
    ):
        return NextStep.RETRY
    if history.head_delivered:
        return NextStep.ABORT
    if result is AttemptResult.FAILED:
        return NextStep.DELIVER
    if history.may_have_run:
        return NextStep.REPORT_UNKNOWN
    return NextStep.REFUSE
