"""What a leader takes the demand for experts to be."""

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
"""Choices of one prompt over all sets, at the users' sizes."""


class Group:
    """One rank's counts, which grow with what is read there."""

    def __init__(self, *, sets: int, experts: int) -> None:
        self.found = demand_estimator.DemandEstimator(
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
        """Let the leader read the counts."""
        counts = rank_protocol.Counts(
            epoch=self.epoch, counts=tuple(self.counts)
        )
        self.found.add_counts(0, counts)
        self.found.update_estimate(self.now)

    def loads(self) -> list[list[float]]:
        """Return what is known of demand."""
        loads = self.found.loads()
        assert loads is not None
        return loads


def test_demand_follows_the_newest_counts() -> None:
    """What was chosen a while ago weighs little."""
    group = Group(sets=1, experts=4)
    assert group.found.loads() is None
    for chosen in (1, 1, 1, 2, 2, 2):
        group.now += SECOND
        group.choose(chosen, 40_000)
        group.sample()
    loads = group.loads()
    assert loads[0][2] > 0.7
    assert sum(loads[0]) == pytest.approx(1.0)


def test_demand_outlasts_a_group_that_stands() -> None:
    """It is known as soon as the group runs again, in a new epoch."""
    group = Group(sets=1, experts=4)
    for _ in range(2):
        group.now += SECOND
        group.choose(1, 50_000)
        group.sample()
    for _ in range(20):
        group.now += SECOND
        group.sample()
    group.epoch, group.counts = 2, [0, 0, 0, 0]
    group.sample()
    assert group.loads()[0][1] > 0.7
    # What is in demand now soon weighs more.
    for _ in range(3):
        group.now += SECOND
        group.choose(2, 30_000)
        group.sample()
    assert group.loads()[0][2] > 0.6


def likes(rng: random.Random) -> list[list[float]]:
    """Return how much each expert is liked, by set: few are, and much."""
    result = []
    for _ in range(SETS):
        one = [1 / (place + 1) ** 1.3 for place in range(EXPERTS)]
        rng.shuffle(one)
        total = sum(one)
        result.append([share / total for share in one])
    return result


def read_prompt(
    group: Group, common: list[list[float]], rng: random.Random
) -> None:
    """Count a prompt's choices: most are common to all, some its own."""
    own = likes(rng)
    for number in range(SETS):
        for expert in range(EXPERTS):
            share = 0.7 * common[number][expert] + 0.3 * own[number][expert]
            choices = int(share * CHOICES / SETS)
            group.choose(number * EXPERTS + expert, choices)


def error(loads: list[list[float]], common: list[list[float]]) -> float:
    """Return how far the estimate of the most liked experts is off."""
    worst = 0.0
    for load, liked in zip(loads, common, strict=True):
        top = liked.index(max(liked))
        worst = max(worst, abs(load[top] - 0.7 * liked[top]))
    return worst


def test_a_shift_shows_within_two_prompts() -> None:
    """Load pattern: other experts are liked from one pass to the next.

    Before, a second after a shift half of the estimate was still the
    demand that had gone.
    """
    for seed in range(20):
        rng = random.Random(seed)
        group = Group(sets=SETS, experts=EXPERTS)
        before, after = likes(rng), likes(rng)
        for _ in range(40):
            group.now += 36 * MS
            read_prompt(group, before, rng)
            group.sample()
        assert group.found.shift_count == 0, seed
        assert error(group.loads(), before) < 0.05, seed
        for _ in range(3):
            group.now += 36 * MS
            read_prompt(group, after, rng)
            group.sample()
        assert group.found.shift_count >= 1, seed
        assert error(group.loads(), after) < 0.06, seed


def test_what_prompts_ask_for_by_themselves_is_no_shift() -> None:
    """Nor is a long time without any."""
    rng = random.Random(5)
    group = Group(sets=SETS, experts=EXPERTS)
    common = likes(rng)
    for turn in range(200):
        group.now += (2000 if turn % 50 == 0 else 36) * MS
        read_prompt(group, common, rng)
        group.sample()
    assert group.found.shift_count == 0
