"""Tests of planning a map change in stages."""

import random
import statistics

import hypothesis
from hypothesis import strategies as st

from aspenfold._internal.expertmaps import planner
from aspenfold._internal.expertmaps import stage_planner

RANKS, EXPERTS, SLOTS, SETS, MAX_NEW_EXPERTS = 12, 96, 11, 3, 4
SHAPE = planner.MapShape(
    ranks=RANKS,
    experts=EXPERTS,
    slots_per_rank=SLOTS,
    max_new_experts=MAX_NEW_EXPERTS,
)


def initial_placements() -> list[planner.Placement]:
    """Return map 0, which assigns experts round-robin."""
    weights = [list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]
    return [[list(experts) for experts in weights] for _ in range(SETS)]


def random_demand(rng: random.Random) -> list[list[float]]:
    """Return a random demand by set, most of it for a few experts."""
    result = []
    for _ in range(SETS):
        weights = [1 / (index + 1) ** 1.3 for index in range(EXPERTS)]
        rng.shuffle(weights)
        total = sum(weights)
        result.append([0.7 * s / total + 0.3 / EXPERTS for s in weights])
    return result


def plan_stage(
    current: list[planner.Placement],
    loads_by_set: list[list[float]],
    copies: int,
) -> stage_planner.StagePlanner:
    """Return a planned stage."""
    planned = stage_planner.StagePlanner(
        shape=SHAPE,
        loads_by_set=loads_by_set,
        current=current,
        slowdowns=[1.0] * RANKS,
        max_copies_per_rank=copies,
    )
    for _ in planned.iter_moves():
        pass
    return planned


def placements(planned: stage_planner.StagePlanner) -> list[planner.Placement]:
    """Return the placements that a stage plans, by set."""
    return [draft.placement for draft in planned.drafts]


def new_experts(
    rank: int,
    before: list[planner.Placement],
    after: list[planner.Placement],
) -> int:
    """Return how many experts a rank has to copy, over all sets."""
    return sum(
        len(set(new[rank]) - set(old[rank]))
        for old, new in zip(before, after, strict=True)
    )


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 4))
def test_a_stage_keeps_every_expert_and_every_limit(
    seed: int, copies: int
) -> None:
    """A stage must not drop experts, exceed a limit or increase the skew."""
    rng = random.Random(seed)
    current = initial_placements()
    for _ in range(3):
        loads_by_set = random_demand(rng)
        planned = plan_stage(current, loads_by_set, copies)
        after = placements(planned)
        for old, new, load in zip(current, after, loads_by_set, strict=True):
            assert {e for held in new for e in held} == set(range(EXPERTS))
            assert all(len(held) <= SLOTS for held in new)
            assert planner.skew(new, load) <= planner.skew(old, load) + 1e-9
        for rank in range(RANKS):
            assert new_experts(rank, current, after) <= copies
        current = after


def test_one_copy_per_rank_removes_most_of_the_skew() -> None:
    """A stage of one copy per rank must remove most of the skew of a shift."""
    firsts, seconds = [], []
    for seed in range(10):
        rng = random.Random(seed)
        current = initial_placements()
        for _ in range(4):
            loads_by_set = random_demand(rng)
            first = plan_stage(current, loads_by_set, 1)
            second = plan_stage(placements(first), loads_by_set, 1)
            current = placements(second)
            firsts.append(first.skew())
            seconds.append(second.skew())
    assert statistics.median(firsts) < 1.5
    assert max(firsts) < 1.7
    assert max(seconds) < 1.3


def test_copies_go_to_the_set_that_gains_most() -> None:
    """Copies must not be spent on a set that is even already."""
    rng = random.Random(1)
    loads_by_set = random_demand(rng)
    loads_by_set[1] = [1 / EXPERTS] * EXPERTS
    after = placements(plan_stage(initial_placements(), loads_by_set, 1))
    assert after[1] == initial_placements()[1]
    assert after[0] != initial_placements()[0]
