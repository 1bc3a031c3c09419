"""Chooses result codes that claim no more than the entry knows."""

import dataclasses
import datetime

from aspenfold._internal import exceptions

RETRY_AFTER = datetime.timedelta(seconds=1)

Code = exceptions.Code
Outcome = exceptions.Outcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What an entry knows about a call that it is about to refuse.

    ``has_key``: the call has an idempotency key.
    ``holds_unexecuted_key``: an attempt of the call itself holds the
    key and is never executed.
    ``may_have_run``: an attempt with an unknown outcome was lost.
    ``answer_started``: the caller has received the start of an answer.
    """

    has_key: bool
    holds_unexecuted_key: bool
    may_have_run: bool
    answer_started: bool


def adjust_code(
    failure: exceptions.Failure, evidence: Evidence
) -> exceptions.Failure:
    """Return ``failure`` with a code that ``evidence`` supports."""
    if failure.outcome is Outcome.RAN:
        return failure
    if evidence.answer_started:
        return dataclasses.replace(failure, code=Code.ANSWER_CUT)
    if failure.outcome is Outcome.UNKNOWN:
        return failure
    if failure.code in (Code.KEY_REUSED, Code.BAD_TICKET):
        return failure
    if evidence.has_key and not evidence.holds_unexecuted_key:
        return mark_key_undecided(failure)
    if not evidence.may_have_run:
        return failure
    return dataclasses.replace(
        failure,
        code=Code.FATE_UNKNOWN,
        detail=f'{failure.detail}; an attempt may have run',
    )


def mark_key_undecided(failure: exceptions.Failure) -> exceptions.Failure:
    """Return ``failure`` for a call whose key was not decided.

    An earlier submission of the key may have run, so the code must not
    say "not run".
    """
    return dataclasses.replace(
        failure,
        code=Code.KEY_UNDECIDED,
        detail=f'{failure.detail} ({int(failure.code)}); an earlier '
        'submission of the key may have run',
        remedy='submit again with the same key',
        retry_after=failure.retry_after or RETRY_AFTER,
    )
