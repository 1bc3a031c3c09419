"""Estimates which experts are in demand from ranks' counts."""

import datetime

from aspenfold._internal.expertmaps import ranks

HALF_LIFE = datetime.timedelta(milliseconds=500)
"""Age at which counts weigh half: demand shifts every few seconds.  At
900 ms a shift was seen 2.3 s late; see docs/MEASUREMENTS.md."""

MAX_GAP = datetime.timedelta(seconds=1)
"""Longest time between two samples that counts as age.  A group that
stood still goes on with much the same demand, so that a new map can be
made as soon as it runs; of earlier counts a quarter is left."""

MIN_CHOICES = 1_000
"""Choices for each expert, on average, below which nothing is estimated:
about two prompts of a thousand tokens, whose contents would decide."""

FIRST_CHOICES = 20_000
"""Choices for each expert that a rank must have counted since its start,
some forty requests, to be taken as a first estimate of demand."""

PRIOR = 0.1
"""Part of the demand that is spread evenly: an expert that was not seen
may be chosen next."""


class Demand:
    """Demand by set and expert, the newest counts weighing most."""

    def __init__(self, *, sets: int, experts: int) -> None:
        self._sets = sets
        self._experts = experts
        self._last: dict[int, ranks.Counts] = {}
        self._weights = [0.0] * (sets * experts)
        self._at: datetime.datetime | None = None

    def sample(
        self, rank: int, counts: ranks.Counts, now: datetime.datetime
    ) -> None:
        """Take a rank's counts; later ones count from the last sample.

        The first of a new epoch only sets a mark.
        """
        if len(counts.counts) != len(self._weights):
            return
        last = self._last.get(rank)
        self._last[rank] = counts
        if last is None:
            self._take_first(counts)
            return
        if last.epoch != counts.epoch:
            return
        added = [
            max(0, new - old)
            for new, old in zip(counts.counts, last.counts, strict=True)
        ]
        if not any(added):
            # The group stands still, or this rank has nothing to do.
            return
        self._decay(now)
        self._weights = [
            weight + more
            for weight, more in zip(self._weights, added, strict=True)
        ]

    def _take_first(self, counts: ranks.Counts) -> None:
        """Let a rank's long count stand for twice the least needed.

        That plans a first map, and is soon outweighed by newer counts.
        """
        total = sum(counts.counts)
        if total < FIRST_CHOICES * len(self._weights):
            return
        scale = 2 * MIN_CHOICES * len(self._weights) / total
        for i, count in enumerate(counts.counts):
            self._weights[i] += count * scale

    def loads(self) -> list[list[float]] | None:
        """Return each set's demand by expert, None if too little is known.

        Each set's demand adds up to 1.
        """
        if sum(self._weights) < MIN_CHOICES * len(self._weights):
            return None
        result = []
        for first in range(0, len(self._weights), self._experts):
            part = self._weights[first : first + self._experts]
            total = sum(part) or 1.0
            even = PRIOR / self._experts
            result.append([even + (1 - PRIOR) * w / total for w in part])
        return result

    def _decay(self, now: datetime.datetime) -> None:
        if self._at is not None and now > self._at:
            factor = 0.5 ** (min(now - self._at, MAX_GAP) / HALF_LIFE)
            self._weights = [w * factor for w in self._weights]
        self._at = now
