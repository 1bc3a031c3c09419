"""Estimates which experts are in demand from ranks' counts.

Demand moves on in two ways.  It drifts with what is asked, for which the
newest counts weigh most; and it shifts at once, when other experts are
liked from one pass to the next.  A shift shows in the first prompts read
after it, whose choices have little in common with those before: all that
was counted before is then forgotten.
"""

import datetime

from aspenfold._internal.expertmaps import rank_protocol

COUNT_HALF_LIFE = datetime.timedelta(milliseconds=500)
"""Age at which counts weigh half while demand only drifts."""

MAX_SAMPLE_AGE = datetime.timedelta(seconds=1)
"""Longest time between two samples that counts as age.  A group that
stood still goes on with much the same demand, so that a new map can be
made as soon as it runs; of earlier counts a quarter is left."""

MIN_CHOICES_PER_EXPERT = 400
"""Choices for each expert, on average, below which nothing is estimated:
about one prompt of a thousand tokens."""

MIN_INITIAL_CHOICES_PER_EXPERT = 20_000
"""Choices for each expert that a rank must have counted since its start,
some forty requests, to be taken as a first estimate of demand."""

MIN_OVERLAP_WITHOUT_SHIFT = 0.72
"""Demand has shifted where new counts and those before have less than this
in common, as the mean of the sets.  A tenth of a second's counts of one
demand have 0.86 in common with the next, and in 95 of 100 cases over 0.8;
across a shift it is 0.35 to 0.7."""

UNIFORM_FRACTION = 0.1
"""Part of the demand that is spread evenly: an expert that was not seen
may be chosen next."""


class DemandEstimator:
    """Demand by set and expert, the newest counts weighing most."""

    def __init__(self, *, sets: int, experts: int) -> None:
        self._experts = experts
        self._last: dict[int, rank_protocol.Counts] = {}
        self._weights = [0.0] * (sets * experts)
        # What was sampled and is not weighed yet.
        self._newest = [0] * (sets * experts)
        self._at: datetime.datetime | None = None
        self._since: datetime.datetime | None = None
        self.shift_count = 0

    def add_counts(self, rank: int, counts: rank_protocol.Counts) -> None:
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
        self._newest = [
            known + max(0, new - old)
            for known, new, old in zip(
                self._newest, counts.counts, last.counts, strict=True
            )
        ]

    def update_estimate(self, now: datetime.datetime) -> None:
        """Weigh what was sampled, once it is enough to tell a shift."""
        if sum(self._newest) < MIN_CHOICES_PER_EXPERT * len(self._newest):
            return
        if self._overlap() < MIN_OVERLAP_WITHOUT_SHIFT:
            self.shift_count += 1
            self._weights = [0.0] * len(self._weights)
            self._since = now
        self._decay(now)
        self._weights = [
            weight + more
            for weight, more in zip(self._weights, self._newest, strict=True)
        ]
        self._newest = [0] * len(self._newest)

    def time_since_shift(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long ago demand was seen to shift, or zero."""
        return (
            datetime.timedelta(0) if self._since is None else now - self._since
        )

    def _overlap(self) -> float:
        """Return what new counts and those before have in common, 0 to 1."""
        if not any(self._weights):
            return 1.0
        shared = 0.0
        count = 0
        for old, new in zip(
            self._by_set(self._weights),
            self._by_set(self._newest),
            strict=True,
        ):
            count += 1
            old_total, new_total = sum(old) or 1.0, sum(new) or 1.0
            shared += sum(
                min(a / old_total, b / new_total)
                for a, b in zip(old, new, strict=True)
            )
        return shared / count

    def _by_set(self, flat: list) -> list[list]:
        return [
            flat[first : first + self._experts]
            for first in range(0, len(flat), self._experts)
        ]

    def _take_first(self, counts: rank_protocol.Counts) -> None:
        """Let a rank's long count stand for twice the least needed.

        That plans a first map, and is soon outweighed by newer counts.
        """
        total = sum(counts.counts)
        if total < MIN_INITIAL_CHOICES_PER_EXPERT * len(self._weights):
            return
        scale = 2 * MIN_CHOICES_PER_EXPERT * len(self._weights) / total
        for i, count in enumerate(counts.counts):
            self._weights[i] += count * scale

    def loads(self) -> list[list[float]] | None:
        """Return each set's demand by expert, None if too little is known.

        Each set's demand adds up to 1.
        """
        if sum(self._weights) < MIN_CHOICES_PER_EXPERT * len(self._weights):
            return None
        even = UNIFORM_FRACTION / self._experts
        result = []
        for part in self._by_set(self._weights):
            total = sum(part) or 1.0
            result.append(
                [even + (1 - UNIFORM_FRACTION) * w / total for w in part]
            )
        return result

    def _decay(self, now: datetime.datetime) -> None:
        if self._at is not None and now > self._at:
            factor = 0.5 ** (
                min(now - self._at, MAX_SAMPLE_AGE) / COUNT_HALF_LIFE
            )
            self._weights = [w * factor for w in self._weights]
        self._at = now
