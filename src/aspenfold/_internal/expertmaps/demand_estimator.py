"""Estimates the demand for each expert from the ranks' counts.

Demand changes in two ways.  It drifts, so older counts decay.  And it
shifts, when other experts become popular from one pass to the next: the
first prompts after a shift choose experts in quite different proportions,
and the earlier counts are then discarded.
"""

import datetime

from aspenfold._internal.expertmaps import rank_protocol

COUNT_HALF_LIFE = datetime.timedelta(milliseconds=500)
"""Time in which the weight of counts halves."""

MAX_DECAY_TIME = datetime.timedelta(seconds=1)
"""Longest time between two updates for which counts decay.  Demand after an
outage is much the same as before it."""

MIN_CHOICES_PER_EXPERT = 400
"""Average number of choices per expert that an estimate needs; about one
prompt of a thousand tokens."""

MIN_INITIAL_CHOICES_PER_EXPERT = 20_000
"""Average number of choices per expert, counted by a rank since its start,
that is enough for a first estimate; some forty requests."""

MIN_OVERLAP_WITHOUT_SHIFT = 0.72
"""Overlap of new and earlier counts, as the mean over the sets, below which
demand has shifted.  Counts of a tenth of a second have 0.86 in common with
the next, in 95 of 100 cases over 0.8; across a shift 0.35 to 0.7."""

UNIFORM_FRACTION = 0.1
"""Fraction of the demand that is spread evenly over all experts, since an
expert without counts may still be chosen."""


class DemandEstimator:
    """Estimates demand by set and expert with exponentially decaying counts.

    ``shift_count`` is the number of shifts that were detected.
    """

    def __init__(self, *, sets: int, experts: int) -> None:
        self._experts = experts
        self._last_sample: dict[int, rank_protocol.Counts] = {}
        self._weights = [0.0] * (sets * experts)
        # Counts that are not part of the estimate yet.
        self._new_counts = [0] * (sets * experts)
        self._updated_at: datetime.datetime | None = None
        self._shifted_at: datetime.datetime | None = None
        self.shift_count = 0

    def add_counts(self, rank: int, counts: rank_protocol.Counts) -> None:
        """Add what a rank has counted since its last sample.

        A rank's first sample may provide a first estimate.  The first
        sample of a later epoch only sets the base for the next one.
        """
        if len(counts.counts) != len(self._weights):
            return
        last = self._last_sample.get(rank)
        self._last_sample[rank] = counts
        if last is None:
            self._add_initial_counts(counts)
            return
        if last.epoch != counts.epoch:
            return
        self._new_counts = [
            known + max(0, new - old)
            for known, new, old in zip(
                self._new_counts, counts.counts, last.counts, strict=True
            )
        ]

    def update_estimate(self, now: datetime.datetime) -> None:
        """Update the estimate once there are enough new counts.

        Discards the earlier counts if demand has shifted.
        """
        if sum(self._new_counts) < MIN_CHOICES_PER_EXPERT * len(
            self._new_counts
        ):
            return
        if self._overlap() < MIN_OVERLAP_WITHOUT_SHIFT:
            self.shift_count += 1
            self._weights = [0.0] * len(self._weights)
            self._shifted_at = now
        self._decay(now)
        self._weights = [
            weight + more
            for weight, more in zip(
                self._weights, self._new_counts, strict=True
            )
        ]
        self._new_counts = [0] * len(self._new_counts)

    def time_since_shift(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time since demand shifted, zero if it never did."""
        return (
            datetime.timedelta(0)
            if self._shifted_at is None
            else now - self._shifted_at
        )

    def _overlap(self) -> float:
        """Return the overlap of new and earlier counts, from 0 to 1."""
        if not any(self._weights):
            return 1.0
        shared = 0.0
        count = 0
        for old, new in zip(
            self._by_set(self._weights),
            self._by_set(self._new_counts),
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

    def _add_initial_counts(self, counts: rank_protocol.Counts) -> None:
        """Take a rank's counts since its start as a first estimate.

        They are scaled to twice the minimum, which is enough to plan a
        first map and is soon outweighed by newer counts.
        """
        total = sum(counts.counts)
        if total < MIN_INITIAL_CHOICES_PER_EXPERT * len(self._weights):
            return
        scale = 2 * MIN_CHOICES_PER_EXPERT * len(self._weights) / total
        for i, count in enumerate(counts.counts):
            self._weights[i] += count * scale

    def loads_by_set(self) -> list[list[float]] | None:
        """Return each set's demand by expert, None without enough counts.

        The demand of each set adds up to 1.
        """
        if sum(self._weights) < MIN_CHOICES_PER_EXPERT * len(self._weights):
            return None
        uniform_share = UNIFORM_FRACTION / self._experts
        result = []
        for set_weights in self._by_set(self._weights):
            total = sum(set_weights) or 1.0
            result.append(
                [
                    uniform_share + (1 - UNIFORM_FRACTION) * w / total
                    for w in set_weights
                ]
            )
        return result

    def _decay(self, now: datetime.datetime) -> None:
        if self._updated_at is not None and now > self._updated_at:
            factor = 0.5 ** (
                min(now - self._updated_at, MAX_DECAY_TIME) / COUNT_HALF_LIFE
            )
            self._weights = [w * factor for w in self._weights]
        self._updated_at = now
