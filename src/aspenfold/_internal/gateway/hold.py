"""One fingerprint in quarantine, and when a request is sent in spite of it."""

import dataclasses
import datetime

from aspenfold._internal.gateway import fingerprints

Fingerprint = fingerprints.Fingerprint

IDLE_DURATION = datetime.timedelta(hours=1)
"""A quarantine ends if no such request came for this long."""

TRIAL_AGES = (
    datetime.timedelta(minutes=10),
    datetime.timedelta(minutes=70),
)
"""Ages of a quarantine from which on one request is sent as a trial, by one of
all gateways.  An answer ends the quarantine.  Each trial may cost an endpoint,
so that there are no more."""

EARLY_TRIAL_AGE = datetime.timedelta(milliseconds=1_500)
"""Age of the quarantine of a whole request from which on one is sent as a
trial: a failure of several hosts or paths may have caused the crashes."""

EARLY_TRIAL_TURN = datetime.timedelta(seconds=1)
"""Time for one gateway to get such a request before the next may send it."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Hold:
    """A fingerprint in quarantine.

    ``crashes`` is how many endpoints had ended under such requests, and
    ``source`` the gateway from which it is known.  ``trials`` counts the
    requests that were sent since, by any gateway; ``in_trial`` is whether one
    was admitted here that no endpoint has got yet.
    """

    fingerprint: Fingerprint
    begun_at: datetime.datetime
    seen_at: datetime.datetime
    crashes: int
    source: str
    trials: int = 0
    in_trial: bool = False

    @property
    def is_early(self) -> bool:
        """Whether it is that of a whole request that had no trial yet."""
        return fingerprints.is_request(self.fingerprint) and not self.trials

    def is_trial_due(self, now: datetime.datetime, turn: int) -> bool:
        """Return whether a request may be sent as a trial.

        ``turn`` is how many gateways come before this one.
        """
        if self.in_trial:
            return False
        age = now - self.begun_at
        if self.is_early:
            return age >= EARLY_TRIAL_AGE + turn * EARLY_TRIAL_TURN
        if turn or self.trials >= len(TRIAL_AGES):
            return False
        return age >= TRIAL_AGES[self.trials]

    def ends_at(self) -> datetime.datetime:
        """Return when it ends if no such request comes until then."""
        return self.seen_at + IDLE_DURATION
