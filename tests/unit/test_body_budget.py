"""Which bodies a gateway reads, as callers come and go."""

import collections
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from aspenfold._internal.gateway import body_budget

MEMORY_BYTES = 300_000_000
BASE_BYTES = 60_000_000
"""Memory of a gateway without requests, rounded up."""

COPIES = 2

CLIENTS = 107
BODY_BYTES = 4_000_000
WORK_S = 4.0
PAUSE_S = 1.5
STEP_S = 0.1


@hypothesis.given(
    st.lists(st.tuples(st.booleans(), st.integers(1, 200_000)), max_size=80)
)
def test_bodies_never_take_more_than_the_limit(
    steps: list[tuple[bool, int]],
) -> None:
    """Any order of arrivals and ends; all is given back."""
    budget = body_budget.BodyBudget(limit=1_000_000)
    held: collections.deque[int] = collections.deque()
    for arrives, size in steps:
        if not arrives and held:
            budget.release(held.popleft())
        elif budget.reserve(size, total=size):
            held.append(size)
        assert budget.held == sum(held) <= budget.limit
    for size in held:
        budget.release(size)
    assert budget.held == 0


def test_small_bodies_have_room_beside_large_ones() -> None:
    """Light calls are served while large bodies come."""
    budget = body_budget.for_memory(MEMORY_BYTES)
    while budget.reserve(BODY_BYTES, total=BODY_BYTES):
        pass
    for _ in range(100):
        assert budget.reserve(16_000, total=16_000)


class Gateways:
    """Seven gateways, of which one gets most connections.

    A gateway that has more than its memory ends, with all that it holds.
    """

    def __init__(self, limit: int, seed: int) -> None:
        self.budgets = [body_budget.BodyBudget(limit=limit) for _ in range(7)]
        self.rng = random.Random(seed)
        self.clients = [
            self.rng.uniform(0, WORK_S + PAUSE_S) for _ in range(CLIENTS)
        ]
        self.busy: dict[int, tuple[int, float]] = {}
        self.read = self.served = 0

    def run(self, duration_s: float) -> float:
        """Return the share of the requests that were read and served."""
        for step in range(int(duration_s / STEP_S)):
            self._advance(step * STEP_S)
        return self.served / self.read

    def _advance(self, now: float) -> None:
        for client, (number, end) in list(self.busy.items()):
            if end <= now:
                self.served += 1
                self._finish(client, number, now)
        for client, begin in enumerate(self.clients):
            if client not in self.busy and begin <= now:
                self._begin(client, now)
        for number, budget in enumerate(self.budgets):
            if BASE_BYTES + COPIES * budget.held > MEMORY_BYTES:
                self._end_gateway(number, now)

    def _begin(self, client: int, now: float) -> None:
        number = 0 if self.rng.random() < 0.9 else self.rng.randrange(1, 7)
        if self.budgets[number].reserve(BODY_BYTES, total=BODY_BYTES):
            self.read += 1
            self.busy[client] = (number, now + WORK_S)
        else:
            self.clients[client] = now + 0.1

    def _finish(self, client: int, number: int, now: float) -> None:
        del self.busy[client]
        self.budgets[number].release(BODY_BYTES)
        self.clients[client] = now + PAUSE_S

    def _end_gateway(self, number: int, now: float) -> None:
        for client, (at, _) in list(self.busy.items()):
            if at == number:
                self._finish(client, number, now)


@pytest.mark.parametrize('seed', range(5))
def test_a_gateway_that_gets_most_clients_serves_what_it_reads(
    seed: int,
) -> None:
    """The load of the review's run; without a limit most of it is lost."""
    limit = body_budget.for_memory(MEMORY_BYTES).limit
    assert Gateways(limit, seed).run(30) > 0.75
    assert Gateways(MEMORY_BYTES, seed).run(30) < 0.75
