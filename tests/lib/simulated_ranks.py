"""Ranks of one group, and leaders, under lost, late and doubled orders.

The ranks behave as the platform's pages say: an order is refused by its
token, its epoch and the rank's state, at the time at which it is
carried out.  Leaders are killed, paused and doubled.  A pass must never
begin with two maps.
"""

import dataclasses
import datetime
import heapq
import itertools
import random
import typing

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.kernel import clock

MS = datetime.timedelta(milliseconds=1)
TICK_INTERVAL = 10 * MS
REPORT_LAG = 200 * MS
COPY_TIME = 150 * MS
FORM_TIME = 600 * MS
TERM_TOKENS = 1_000_000


class MixedMapsError(AssertionError):
    """A pass began with two maps."""


@dataclasses.dataclass
class Rank:
    """The state of one rank."""

    fence: int = 0
    highest: int = 0
    version: int = 0
    map: rank_protocol.Map = ()
    prepared: int | None = None
    copied_at: datetime.datetime | None = None
    new_map: rank_protocol.Map = ()
    armed: rank_protocol.Armed | None = None
    held: int | None = None

    def clear(self) -> None:
        """Begin a new epoch."""
        self.version = 0
        self.map = ()
        self.prepared = None
        self.armed = None
        self.held = None


@dataclasses.dataclass(frozen=True)
class Faults:
    """Shares of orders, and rates a second of the rest."""

    late: float = 0.15
    answer_lost: float = 0.1
    lost: float = 0.05
    crash: float = 0.05
    leader_kill: float = 0.25
    leader_pause: float = 0.25
    leader_start: float = 0.8
    idle: float = 0.3
    fresh: float = 0.5


NO_FAULTS = Faults(
    late=0,
    answer_lost=0,
    lost=0,
    crash=0,
    leader_kill=0,
    leader_pause=0,
    leader_start=5,
    idle=0,
)


class Leader:
    """Drives one switch as the gateway's group leader does."""

    def __init__(self, world: 'SimulatedRanks', term: int) -> None:
        self.world = world
        self.token = term * TERM_TOKENS
        self.switch: map_switch.MapSwitch | None = None
        self.paused_until = world.now
        self._asked_at = world.now
        self._inbox: list[typing.Callable[[], None]] = []

    def post(self, work: typing.Callable[[], None]) -> None:
        """Deliver an answer; a paused leader takes it later."""
        self._inbox.append(work)

    def turn(self) -> bool:
        """Act; return False once it was fenced."""
        world = self.world
        if world.now < self.paused_until:
            return True
        inbox, self._inbox = self._inbox, []
        for work in inbox:
            work()
        if self.switch is None:
            self._find()
            return True
        self.perform(self.switch.tick(world.now))
        if self.switch.state is map_switch.State.LOST:
            fenced = self.switch.fenced
            self.token = self.switch.token
            self.switch = None
            return not fenced
        self._work(self.switch)
        return True

    def _find(self) -> None:
        world = self.world
        if world.now - self._asked_at < 100 * MS or not world.open:
            return
        self._asked_at = world.now
        self.switch = world.switch_class(
            group='g',
            epoch=world.epoch,
            size=len(world.ranks),
            first_token=self.token,
        )

    def _work(self, machine: map_switch.MapSwitch) -> None:
        world = self.world
        if world.now - self._asked_at >= 300 * MS:
            self._asked_at = world.now
            self.perform([map_switch.RequestReport(rank=map_switch.HOLD_RANK)])
        elif machine.is_ready and world.rng.random() < 0.1:
            content = world.rng.randrange(1 << 30)
            self.perform(machine.start_round((((content,),),), world.now))

    def perform(self, actions: list[map_switch.Action]) -> None:
        """Send orders, ask for reports."""
        machine = self.switch
        assert machine is not None
        for action in actions:
            if isinstance(action, map_switch.RequestReport):
                self._ask(machine, action.rank)
            else:
                self.world.send(self, machine, action)

    def _ask(self, machine: map_switch.MapSwitch, rank: int) -> None:
        world = self.world
        asked_at = world.now
        fresh = world.rng.random() < world.faults.fresh
        report = world.report(rank, fresh=fresh)

        def arrive() -> None:
            if self.switch is not machine or report is None:
                return
            age = world.now - asked_at
            if not fresh:
                age += rank_protocol.MAX_REPORT_AGE
            told = dataclasses.replace(report, age=age)
            self.perform(machine.on_report(told, world.now))

        self.world.after(5 * MS, lambda: self.post(arrive))

    def on_answer(
        self,
        machine: map_switch.MapSwitch,
        order: rank_protocol.Order,
        answer: rank_protocol.Answer,
    ) -> None:
        """Take an answer."""
        if self.switch is machine:
            self.perform(machine.on_answer(order, answer, self.world.now))


class SimulatedRanks:
    """The group, its leaders, and the orders on their way."""

    def __init__(
        self,
        *,
        seed: int,
        size: int = 4,
        faults: Faults | None = None,
        switch_class: type[map_switch.MapSwitch] = map_switch.MapSwitch,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = clock.EPOCH
        self.ranks = [Rank() for _ in range(size)]
        self.epoch = 1
        self.open = True
        self.step = 0
        self.passes = 0
        self.faults = faults or Faults()
        self.switch_class = switch_class
        self.leaders: list[Leader] = []
        self.switched = 0
        self._term = 0
        self._events: list[tuple[datetime.datetime, int, typing.Any]] = []
        self._numbers = itertools.count()
        self._next_pass = self.now
        self._past: list[tuple[datetime.datetime, typing.Any]] = []

    # -- running ---------------------------------------------------------

    def run(self, duration: datetime.timedelta) -> None:
        """Let the world go on."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK_INTERVAL
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._strike()
            self._pass()
            self._remember()
            self.leaders = [x for x in self.leaders if x.turn()]

    def after(
        self, wait: datetime.timedelta, work: typing.Callable[[], None]
    ) -> None:
        """Do ``work`` later."""
        item = (self.now + wait, next(self._numbers), work)
        heapq.heappush(self._events, item)

    def _chance(self, rate: float) -> bool:
        return self.rng.random() < rate * (TICK_INTERVAL / (1000 * MS))

    def _strike(self) -> None:
        faults = self.faults
        if self.open and self._chance(faults.crash):
            self.crash()
        for leader in list(self.leaders):
            if self._chance(faults.leader_kill):
                self.leaders.remove(leader)
            elif self._chance(faults.leader_pause):
                wait = self.rng.randrange(100, 4000) * MS
                leader.paused_until = self.now + wait
        awake = [x for x in self.leaders if x.paused_until <= self.now]
        if not awake and self._chance(faults.leader_start):
            self._term += 1
            self.leaders.append(Leader(self, self._term))

    def crash(self) -> None:
        """Lose a rank; the group forms anew a while later."""
        self.open = False
        self.rng.choice(self.ranks).fence = 0
        self.after(FORM_TIME + self.rng.randrange(2000) * MS, self._form)

    def _form(self) -> None:
        self.open = True
        self.epoch += 1
        self.step = 0
        for rank in self.ranks:
            rank.clear()

    def _pass(self) -> None:
        """Begin the next pass if nothing holds it."""
        if not self.open or self.now < self._next_pass:
            return
        begins = self.step + 1
        if any(rank.held == begins for rank in self.ranks):
            return
        self.step = begins
        self.passes += 1
        for rank in self.ranks:
            armed = rank.armed
            if armed is not None and armed.step == begins:
                self.switched += 1
                rank.version = armed.version
                rank.map = rank.new_map
                rank.armed = None
        maps = {(rank.version, rank.map) for rank in self.ranks}
        if len(maps) > 1:
            raise MixedMapsError(f'pass {begins} of {self.epoch}: {maps}')
        wait = self.rng.randrange(30, 90) * MS
        if self.rng.random() < self.faults.idle / 20:
            wait = self.rng.randrange(500, 5000) * MS
        self._next_pass = self.now + wait

    def _remember(self) -> None:
        seen = [dataclasses.replace(rank) for rank in self.ranks]
        state = (self.epoch, self.open, self.step, seen)
        self._past.append((self.now, state))
        while self._past[0][0] < self.now - REPORT_LAG:
            self._past.pop(0)

    # -- what leaders see and do -----------------------------------------

    def report(
        self, number: int, *, fresh: bool = False
    ) -> rank_protocol.Report | None:
        """Return a rank's state as of a while ago, or as it is."""
        if not self._past:
            return None
        _, (epoch, is_open, step, all_ranks) = self._past[0]
        if fresh:
            epoch, is_open, step = self.epoch, self.open, self.step
            all_ranks = self.ranks
        rank = all_ranks[number]
        copied = rank.copied_at is not None and rank.copied_at <= self.now
        return rank_protocol.Report(
            group='g',
            epoch=epoch,
            rank=number,
            size=len(all_ranks),
            open=is_open,
            step=step,
            version=rank.version,
            prepared=rank.prepared if copied else None,
            armed=rank.armed,
            held=rank.held,
        )

    def send(
        self,
        leader: Leader,
        machine: map_switch.MapSwitch,
        order: rank_protocol.Order,
    ) -> None:
        """Carry an order to its rank, or lose it, or its answer."""
        faults = self.faults
        drawn = self.rng.random()
        wait = self.rng.randrange(1, 15) * MS
        if drawn < faults.lost:
            return
        if drawn < faults.lost + faults.late:
            late = self.rng.randrange(2000, 12000) * MS
            self.after(late, lambda: self.execute(order))
            return
        silent = self.rng.random() < faults.answer_lost

        def arrive() -> None:
            answer = self.execute(order)
            if not silent:
                leader.post(lambda: leader.on_answer(machine, order, answer))

        self.after(wait, arrive)

    def execute(self, order: rank_protocol.Order) -> rank_protocol.Answer:
        """Let a rank take or refuse an order."""
        rank = self.ranks[order.rank]
        if order.token < rank.fence:
            return rank_protocol.Answer.FENCED
        if not self.open or order.epoch != self.epoch:
            return rank_protocol.Answer.REFUSED
        if not self._fits(rank, order):
            return rank_protocol.Answer.REFUSED
        rank.fence = order.token
        return rank_protocol.Answer.ACCEPTED

    def _fits(self, rank: Rank, order: rank_protocol.Order) -> bool:
        match order.op:
            case rank_protocol.Op.PREPARE:
                return self._prepare(rank, order)
            case rank_protocol.Op.ARM:
                if rank.prepared != order.version:
                    return False
                if rank.copied_at is None or rank.copied_at > self.now:
                    return False
                if order.step <= self.step:
                    return False
                rank.armed = rank_protocol.Armed(
                    version=order.version, step=order.step
                )
            case rank_protocol.Op.DISARM:
                if rank.version == order.version:
                    return False
                armed = rank.armed
                if armed is not None and armed.version == order.version:
                    rank.armed = None
            case rank_protocol.Op.HOLD:
                if rank.held is not None and rank.held != order.step:
                    return False
                if order.step <= self.step:
                    return False
                rank.held = order.step
            case rank_protocol.Op.RELEASE:
                if rank.held == order.step:
                    rank.held = None
        return True

    def _prepare(self, rank: Rank, order: rank_protocol.Order) -> bool:
        if rank.prepared == order.version:
            return True
        if rank.armed is not None or order.version <= rank.highest:
            return False
        rank.highest = order.version
        rank.prepared = order.version
        rank.new_map = order.new_map
        rank.copied_at = self.now + COPY_TIME
        return True
