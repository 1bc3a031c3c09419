"""Tests of the estimate of the demand for experts."""

import datetime
import random

import pytest

from aspenfold._internal.expertmaps import demand_estimator
from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.kernel import clock

SECOND = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)

EXPERTS = 96
SETS = 3
CHOICES = 100_000
"""Choices of one prompt over all sets."""


class EstimatorRig:
    """The counts of one rank, and the estimator that reads them."""

    def __init__(self, *, sets: int, experts: int) -> None:
        self.estimator = demand_estimator.DemandEstimator(
            sets=sets, experts=experts
        )
        self.now = clock.EPOCH
        self.counts = [0] * (sets * experts)
        self.epoch = 1
        self.sample()

    def choose(self, expert: int, count: int) -> None:
        """Count choices of one expert."""
        self.counts[expert] += count

    def sample(self) -> None:
        """Update the estimate with the current counts."""
        counts = rank_protocol.Counts(
            epoch=self.epoch, counts=tuple(self.counts)
        )
        self.estimator.add_counts(0, counts)
        self.estimator.update_estimate(self.now)

    def loads_by_set(self) -> list[list[float]]:
        """Return the estimated demand, which must be known."""
        loads_by_set = self.estimator.loads_by_set()
        assert loads_by_set is not None
        return loads_by_set


def test_demand_follows_the_newest_counts() -> None:
    """Older counts must not outweigh newer ones."""
    rig = EstimatorRig(sets=1, experts=4)
    assert rig.estimator.loads_by_set() is None
    for chosen in (1, 1, 1, 2, 2, 2):
        rig.now += SECOND
        rig.choose(chosen, 40_000)
        rig.sample()
    loads_by_set = rig.loads_by_set()
    assert loads_by_set[0][2] > 0.7
    assert sum(loads_by_set[0]) == pytest.approx(1.0)


def test_demand_outlasts_an_outage() -> None:
    """Demand must be known at once when the group recovers."""
    rig = EstimatorRig(sets=1, experts=4)
    for _ in range(2):
        rig.now += SECOND
        rig.choose(1, 50_000)
        rig.sample()
    for _ in range(20):
        rig.now += SECOND
        rig.sample()
    rig.epoch, rig.counts = 2, [0, 0, 0, 0]
    rig.sample()
    assert rig.loads_by_set()[0][1] > 0.7
    # New counts soon outweigh the ones from before the outage.
    for _ in range(3):
        rig.now += SECOND
        rig.choose(2, 30_000)
        rig.sample()
    assert rig.loads_by_set()[0][2] > 0.6


def random_popularity(rng: random.Random) -> list[list[float]]:
    """Return a random popularity of each expert, by set; few are popular."""
    result = []
    for _ in range(SETS):
        weights = [1 / (index + 1) ** 1.3 for index in range(EXPERTS)]
        rng.shuffle(weights)
        total = sum(weights)
        result.append([weight / total for weight in weights])
    return result


def read_prompt(
    rig: EstimatorRig, common: list[list[float]], rng: random.Random
) -> None:
    """Count the choices of a prompt: 70% common to all, 30% its own."""
    own = random_popularity(rng)
    for set_index in range(SETS):
        for expert in range(EXPERTS):
            weight = (
                0.7 * common[set_index][expert] + 0.3 * own[set_index][expert]
            )
            choices = int(weight * CHOICES / SETS)
            rig.choose(set_index * EXPERTS + expert, choices)


def error(loads_by_set: list[list[float]], common: list[list[float]]) -> float:
    """Return the largest error of the estimate of a most popular expert."""
    worst = 0.0
    for load, popular in zip(loads_by_set, common, strict=True):
        top = popular.index(max(popular))
        worst = max(worst, abs(load[top] - 0.7 * popular[top]))
    return worst


def test_a_shift_is_detected_within_a_few_prompts() -> None:
    """Counts from before a shift must not distort the estimate after it."""
    for seed in range(20):
        rng = random.Random(seed)
        rig = EstimatorRig(sets=SETS, experts=EXPERTS)
        before, after = random_popularity(rng), random_popularity(rng)
        for _ in range(40):
            rig.now += 36 * MS
            read_prompt(rig, before, rng)
            rig.sample()
        assert rig.estimator.shift_count == 0, seed
        assert error(rig.loads_by_set(), before) < 0.05, seed
        for _ in range(3):
            rig.now += 36 * MS
            read_prompt(rig, after, rng)
            rig.sample()
        assert rig.estimator.shift_count >= 1, seed
        assert error(rig.loads_by_set(), after) < 0.06, seed


def test_variation_between_prompts_is_no_shift() -> None:
    """Variation between prompts, or a pause, must not count as a shift."""
    rng = random.Random(5)
    rig = EstimatorRig(sets=SETS, experts=EXPERTS)
    common = random_popularity(rng)
    for prompt_number in range(200):
        rig.now += (2000 if prompt_number % 50 == 0 else 36) * MS
        read_prompt(rig, common, rng)
        rig.sample()
    assert rig.estimator.shift_count == 0
