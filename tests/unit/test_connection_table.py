"""Which connection is closed when a server has too many."""

import random

import pytest

from aspenfold._internal.network import connection_table

LIMIT = 16


class TableOfCallers:
    """Callers that come, ask, send ahead and leave in random order."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table: connection_table.ConnectionTable[int] = (
            connection_table.ConnectionTable(limit=LIMIT)
        )
        self.serving: set[int] = set()
        self.ahead: set[int] = set()
        self.closing: set[int] = set()
        self.count = 0

    def idle(self) -> set[int]:
        """Return open connections without a request in progress."""
        return set(self.table) - self.serving - self.closing

    def come(self) -> None:
        """Open a connection; whoever is closed for it may be closed."""
        self.count += 1
        idle = self.idle()
        surplus = self.table.add(self.count)
        if surplus is None:
            return
        self.closing.add(surplus)
        if idle:
            assert surplus in idle
            self.leave(surplus)
        elif surplus != self.count:
            assert surplus in self.serving & self.ahead

    def ask(self, name: int) -> None:
        """Begin a request, after which more may have come at once."""
        self.serving.add(name)
        self.table.begin_request(name)
        if self.rng.random() < 0.3:
            self.ahead.add(name)
            self.table.note_ahead(name)

    def end(self, name: int) -> None:
        """End a request; a connection that closes after it closes."""
        self.serving.discard(name)
        self.ahead.discard(name)
        self.table.end_request(name)
        if name in self.closing:
            self.leave(name)

    def leave(self, name: int) -> None:
        """Close a connection."""
        self.table.remove(name)
        for group in (self.serving, self.ahead, self.closing):
            group.discard(name)

    def step(self) -> None:
        """Take one random step."""
        action = self.rng.choice([self.come, self.ask, self.end, self.leave])
        if action == self.come:
            self.come()
            return
        names = sorted(self.serving if action == self.end else self.idle())
        if names:
            action(self.rng.choice(names))


@pytest.mark.parametrize('seed', range(20))
def test_no_connection_in_use_is_closed_while_others_are_idle(
    seed: int,
) -> None:
    """Nor are more kept than the limit and those that end a request."""
    callers = TableOfCallers(seed=seed)
    for _ in range(500):
        callers.step()
        refused = callers.closing - callers.serving
        assert len(callers.table) - len(refused) <= LIMIT + LIMIT // 8
    assert callers.count > LIMIT
