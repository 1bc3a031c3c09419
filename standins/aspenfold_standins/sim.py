"""A driven clock and an event queue; the same seed gives the same run."""

from collections import abc
import datetime
import heapq
import itertools
import random

from aspenfold._internal.kernel import clock

START = datetime.datetime(2026, 4, 1, tzinfo=datetime.timezone.utc)
MS = clock.MILLISECOND
Work = abc.Callable[[], None]


class Sim:
    """Runs work at its time; nothing waits in real time."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self._queue: list[tuple[datetime.datetime, int, Work]] = []
        self._order = itertools.count()

    @property
    def ms(self) -> int:
        """Milliseconds since the start."""
        return clock.to_ms(self.now - START)

    def after(self, ms: float, work: Work) -> None:
        """Run ``work`` in ``ms`` milliseconds."""
        when = self.now + ms * MS
        heapq.heappush(self._queue, (when, next(self._order), work))

    def every(self, ms: float, work: Work) -> None:
        """Run ``work`` now and then every ``ms`` milliseconds."""

        def again() -> None:
            work()
            self.after(ms, again)

        self.after(0, again)

    def run(self, ms: float) -> None:
        """Run everything that is due within ``ms`` milliseconds."""
        end = self.now + ms * MS
        while self._queue and self._queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = end


class Node:
    """A process that can be frozen or killed."""

    def __init__(self, *, sim: Sim, name: str, zone: str) -> None:
        self.sim = sim
        self.name = name
        self.zone = zone
        self.alive = True
        self.frozen = False
        self._held: list[Work] = []

    def do(self, work: Work) -> None:
        """Run ``work`` in the process: later if frozen, never if dead."""
        if not self.alive:
            return
        if self.frozen:
            self._held.append(work)
            return
        work()

    def freeze(self) -> None:
        """Stop the process without its knowledge."""
        self.frozen = True

    def thaw(self) -> None:
        """Let it go on with what has come in since, in order."""
        self.frozen = False
        held, self._held = self._held, []
        for work in held:
            self.do(work)

    def kill(self) -> None:
        """End the process."""
        self.alive = False


class Network:
    """Who reaches whom; ``jitter`` delays, ``doubled`` repeats messages."""

    def __init__(self, *, sim: Sim) -> None:
        self.sim = sim
        self.cuts: set[frozenset[str]] = set()
        self.jitter_ms = 2.0
        self.doubled = 0.0
        self.lost = 0.0

    def reaches(self, one: str, two: str) -> bool:
        """Return whether zone ``one`` reaches zone ``two``."""
        return frozenset((one, two)) not in self.cuts

    def cut(self, one: str, two: str) -> None:
        """Separate two zones, or a zone and ``platform``."""
        self.cuts.add(frozenset((one, two)))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def delay(self) -> float:
        """Return a message's delay in milliseconds."""
        return 1.0 + self.sim.rng.random() * self.jitter_ms

    def copies(self) -> int:
        """Return how often a message arrives."""
        if self.sim.rng.random() < self.lost:
            return 0
        return 2 if self.sim.rng.random() < self.doubled else 1
