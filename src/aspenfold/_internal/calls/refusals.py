"""What a refusal may say of a call's fate: only what is known."""

import dataclasses
import datetime

from aspenfold._internal import exceptions

RETRY_AFTER = datetime.timedelta(seconds=1)

Code = exceptions.Code
Outcome = exceptions.Outcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What an entry knows of a call that it is about to refuse.

    ``keyed``: the call has an idempotency key.  ``holds_unrun``: its own
    attempt holds the key and never runs.  ``maybe_ran``: an attempt was
    lost whose fate is not known.  ``started``: the caller has the start
    of an answer.
    """

    keyed: bool
    holds_unrun: bool
    maybe_ran: bool
    started: bool


def adjust_code(
    failure: exceptions.Failure, known: Evidence
) -> exceptions.Failure:
    """Return ``failure`` with a code that says only what is known."""
    if failure.outcome is Outcome.RAN:
        return failure
    if known.started:
        return dataclasses.replace(failure, code=Code.ANSWER_CUT)
    if failure.outcome is Outcome.UNKNOWN:
        return failure
    if failure.code in (Code.KEY_REUSED, Code.BAD_TICKET):
        return failure
    if known.keyed and not known.holds_unrun:
        return mark_key_undecided(failure)
    if not known.maybe_ran:
        return failure
    return dataclasses.replace(
        failure,
        code=Code.FATE_UNKNOWN,
        detail=f'{failure.detail}; an attempt may have run',
    )


def mark_key_undecided(failure: exceptions.Failure) -> exceptions.Failure:
    """Return the refusal of a keyed call whose key was not judged.

    An earlier submission of the key may have run, so this entry must
    not say "not run".
    """
    return dataclasses.replace(
        failure,
        code=Code.KEY_UNDECIDED,
        detail=f'{failure.detail} ({int(failure.code)}); an earlier '
        'submission of the key may have run',
        remedy='submit again with the same key',
        retry_after=failure.retry_after or RETRY_AFTER,
    )
