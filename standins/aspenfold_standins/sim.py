"""A discrete-event simulation with a virtual clock and a seeded RNG."""

from collections import abc
import datetime
import heapq
import itertools
import random

from aspenfold._internal.kernel import clock

START = datetime.datetime(2026, 4, 1, tzinfo=datetime.timezone.utc)
MILLISECOND = clock.MILLISECOND
Callback = abc.Callable[[], None]


class Simulation:
    """Runs callbacks in the order of their virtual time.

    The same seed gives the same run.
    """

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self._queue: list[tuple[datetime.datetime, int, Callback]] = []
        self._order = itertools.count()

    @property
    def ms(self) -> int:
        """Milliseconds of virtual time since the start."""
        return clock.to_ms(self.now - START)

    def after(self, ms: float, callback: Callback) -> None:
        """Schedule ``callback`` in ``ms`` milliseconds."""
        when = self.now + ms * MILLISECOND
        heapq.heappush(self._queue, (when, next(self._order), callback))

    def every(self, ms: float, callback: Callback) -> None:
        """Schedule ``callback`` at once and then every ``ms`` milliseconds."""

        def repeat() -> None:
            callback()
            self.after(ms, repeat)

        self.after(0, repeat)

    def run(self, ms: float) -> None:
        """Run all callbacks that are due within ``ms`` milliseconds."""
        end = self.now + ms * MILLISECOND
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end


class SimulatedProcess:
    """A process that can be frozen, thawed or killed."""

    def __init__(self, *, sim: Simulation, name: str, zone: str) -> None:
        self.sim = sim
        self.name = name
        self.zone = zone
        self.alive = True
        self.frozen = False
        self._deferred: list[Callback] = []

    def dispatch(self, callback: Callback) -> None:
        """Run ``callback`` in the process.

        A frozen process runs it once thawed; a dead one never does.
        """
        if not self.alive:
            return
        if self.frozen:
            self._deferred.append(callback)
            return
        callback()

    def freeze(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process and run the deferred callbacks in order."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self.dispatch(callback)

    def kill(self) -> None:
        """End the process."""
        self.alive = False


class Network:
    """Connectivity of zones, with message delay, duplication and loss."""

    def __init__(self, *, sim: Simulation) -> None:
        self.sim = sim
        self.partitions: set[frozenset[str]] = set()
        self.jitter_ms = 2.0
        self.duplicate_probability = 0.0
        self.loss_probability = 0.0

    def is_connected(self, zone_a: str, zone_b: str) -> bool:
        """Return whether messages pass between two zones."""
        return frozenset((zone_a, zone_b)) not in self.partitions

    def partition(self, zone_a: str, zone_b: str) -> None:
        """Disconnect two zones, or a zone and ``platform``."""
        self.partitions.add(frozenset((zone_a, zone_b)))

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitions.clear()

    def draw_delay_ms(self) -> float:
        """Return a random delay for one message, in milliseconds."""
        return 1.0 + self.sim.rng.random() * self.jitter_ms

    def draw_copies(self) -> int:
        """Return how many times one message arrives: 0, 1 or 2."""
        if self.sim.rng.random() < self.loss_probability:
            return 0
        return 2 if self.sim.rng.random() < self.duplicate_probability else 1
