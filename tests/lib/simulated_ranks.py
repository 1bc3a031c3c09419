"""Simulated ranks of one group, and leaders that switch their maps.

Runs the real MapSwitch.  A rank accepts or refuses an order by its token,
its epoch and the rank's state at the time when the order arrives, which
may be late or never.  Leaders are killed, or paused and replaced.
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
REPORT_DELAY = 200 * MS
COPY_DURATION = 150 * MS
FORMATION_DURATION = 600 * MS
TOKENS_PER_TERM = 1_000_000


class MixedMapsError(AssertionError):
    """A pass began while the ranks used different maps."""


@dataclasses.dataclass
class Rank:
    """The state of one rank.

    ``min_token`` is the lowest token that the rank accepts,
    ``highest_version`` the highest version that it ever prepared, and
    ``copied_at`` the time at which the experts of the prepared version
    are copied.
    """

    min_token: int = 0
    highest_version: int = 0
    version: int = 0
    map: rank_protocol.Map = ()
    prepared: int | None = None
    copied_at: datetime.datetime | None = None
    new_map: rank_protocol.Map = ()
    armed: rank_protocol.Armed | None = None
    held_pass: int | None = None

    def reset(self) -> None:
        """Reset the state that does not outlive an epoch."""
        self.version = 0
        self.map = ()
        self.prepared = None
        self.armed = None
        self.held_pass = None


@dataclasses.dataclass(frozen=True)
class Faults:
    """How often each fault occurs.

    ``late_fraction``, ``lost_fraction`` and ``lost_answer_fraction`` are
    fractions of the orders, ``fresh_fraction`` of the reports, and
    ``idle_fraction`` is 20 times the fraction of passes that are followed
    by a long pause.
    """

    late_fraction: float = 0.15
    lost_answer_fraction: float = 0.1
    lost_fraction: float = 0.05
    crashes_per_s: float = 0.05
    leader_kills_per_s: float = 0.25
    leader_pauses_per_s: float = 0.25
    leader_starts_per_s: float = 0.8
    idle_fraction: float = 0.3
    fresh_fraction: float = 0.5


NO_FAULTS = Faults(
    late_fraction=0,
    lost_answer_fraction=0,
    lost_fraction=0,
    crashes_per_s=0,
    leader_kills_per_s=0,
    leader_pauses_per_s=0,
    leader_starts_per_s=5,
    idle_fraction=0,
)


class Leader:
    """Runs one MapSwitch at a time, as the gateway's group leader does."""

    def __init__(self, simulation: 'SimulatedRanks', term: int) -> None:
        self.simulation = simulation
        self.token = term * TOKENS_PER_TERM
        self.switch: map_switch.MapSwitch | None = None
        self.paused_until = simulation.now
        self._requested_at = simulation.now
        self._inbox: list[typing.Callable[[], None]] = []

    def post(self, work: typing.Callable[[], None]) -> None:
        """Queue work, which the leader runs at its next poll."""
        self._inbox.append(work)

    def poll(self) -> bool:
        """Run the leader once; return False if it was fenced."""
        simulation = self.simulation
        if simulation.now < self.paused_until:
            return True
        inbox, self._inbox = self._inbox, []
        for work in inbox:
            work()
        if self.switch is None:
            self._start_switch()
            return True
        self.execute_actions(self.switch.tick(simulation.now))
        if self.switch.state is map_switch.State.LOST:
            fenced = self.switch.fenced
            self.token = self.switch.token
            self.switch = None
            return not fenced
        self._poll_or_start_round(self.switch)
        return True

    def _start_switch(self) -> None:
        simulation = self.simulation
        if (
            simulation.now - self._requested_at < 100 * MS
            or not simulation.is_open
        ):
            return
        self._requested_at = simulation.now
        self.switch = simulation.switch_class(
            group='g',
            epoch=simulation.epoch,
            size=len(simulation.ranks),
            first_token=self.token,
        )

    def _poll_or_start_round(self, machine: map_switch.MapSwitch) -> None:
        simulation = self.simulation
        if simulation.now - self._requested_at >= 300 * MS:
            self._requested_at = simulation.now
            self.execute_actions(
                [map_switch.RequestReport(rank=map_switch.HOLD_RANK)]
            )
        elif machine.is_ready and simulation.rng.random() < 0.1:
            content = simulation.rng.randrange(1 << 30)
            self.execute_actions(
                machine.start_round((((content,),),), simulation.now)
            )

    def execute_actions(self, actions: list[map_switch.Action]) -> None:
        """Send orders and request reports."""
        machine = self.switch
        assert machine is not None
        for action in actions:
            if isinstance(action, map_switch.RequestReport):
                self._request_report(machine, action.rank)
            else:
                self.simulation.send(self, machine, action)

    def _request_report(
        self, machine: map_switch.MapSwitch, rank: int
    ) -> None:
        simulation = self.simulation
        requested_at = simulation.now
        fresh = simulation.rng.random() < simulation.faults.fresh_fraction
        report = simulation.report(rank, fresh=fresh)

        def arrive() -> None:
            if self.switch is not machine or report is None:
                return
            age = simulation.now - requested_at
            if not fresh:
                age += rank_protocol.MAX_REPORT_AGE
            aged_report = dataclasses.replace(report, age=age)
            self.execute_actions(
                machine.on_report(aged_report, simulation.now)
            )

        self.simulation.after(5 * MS, lambda: self.post(arrive))

    def on_answer(
        self,
        machine: map_switch.MapSwitch,
        order: rank_protocol.Order,
        answer: rank_protocol.Answer,
    ) -> None:
        """Handle a rank's answer; ignore it if it is for an earlier switch."""
        if self.switch is machine:
            self.execute_actions(
                machine.on_answer(order, answer, self.simulation.now)
            )


class SimulatedRanks:
    """The ranks of a group, its leaders, and the orders in transit."""

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
        self.is_open = True
        self.step = 0
        self.pass_count = 0
        self.faults = faults or Faults()
        self.switch_class = switch_class
        self.leaders: list[Leader] = []
        self.rank_switch_count = 0
        self._term = 0
        self._events: list[tuple[datetime.datetime, int, typing.Any]] = []
        self._sequence_numbers = itertools.count()
        self._next_pass = self.now
        self._past_states: list[tuple[datetime.datetime, typing.Any]] = []

    def run(self, duration: datetime.timedelta) -> None:
        """Advance the simulation by ``duration``.

        Raises MixedMapsError if a pass begins with different maps.
        """
        end = self.now + duration
        while self.now < end:
            self.now += TICK_INTERVAL
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._inject_faults()
            self._begin_pass()
            self._record_state()
            self.leaders = [x for x in self.leaders if x.poll()]

    def after(
        self, delay: datetime.timedelta, work: typing.Callable[[], None]
    ) -> None:
        """Run ``work`` after ``delay``."""
        item = (self.now + delay, next(self._sequence_numbers), work)
        heapq.heappush(self._events, item)

    def _occurs(self, rate: float) -> bool:
        return self.rng.random() < rate * (TICK_INTERVAL / (1000 * MS))

    def _inject_faults(self) -> None:
        faults = self.faults
        if self.is_open and self._occurs(faults.crashes_per_s):
            self.crash_rank()
        for leader in list(self.leaders):
            if self._occurs(faults.leader_kills_per_s):
                self.leaders.remove(leader)
            elif self._occurs(faults.leader_pauses_per_s):
                delay = self.rng.randrange(100, 4000) * MS
                leader.paused_until = self.now + delay
        running = [x for x in self.leaders if x.paused_until <= self.now]
        if not running and self._occurs(faults.leader_starts_per_s):
            self._term += 1
            self.leaders.append(Leader(self, self._term))

    def crash_rank(self) -> None:
        """Crash a random rank, which forgets the tokens that it accepted.

        The group closes, and opens again later in a new epoch.
        """
        self.is_open = False
        self.rng.choice(self.ranks).min_token = 0
        self.after(
            FORMATION_DURATION + self.rng.randrange(2000) * MS,
            self._form_group,
        )

    def _form_group(self) -> None:
        self.is_open = True
        self.epoch += 1
        self.step = 0
        for rank in self.ranks:
            rank.reset()

    def _begin_pass(self) -> None:
        """Begin the next pass if it is due and no rank holds it."""
        if not self.is_open or self.now < self._next_pass:
            return
        next_pass = self.step + 1
        if any(rank.held_pass == next_pass for rank in self.ranks):
            return
        self.step = next_pass
        self.pass_count += 1
        for rank in self.ranks:
            armed = rank.armed
            if armed is not None and armed.step == next_pass:
                self.rank_switch_count += 1
                rank.version = armed.version
                rank.map = rank.new_map
                rank.armed = None
        maps = {(rank.version, rank.map) for rank in self.ranks}
        if len(maps) > 1:
            raise MixedMapsError(
                f'pass {next_pass} of epoch {self.epoch}: maps {maps}'
            )
        delay = self.rng.randrange(30, 90) * MS
        if self.rng.random() < self.faults.idle_fraction / 20:
            delay = self.rng.randrange(500, 5000) * MS
        self._next_pass = self.now + delay

    def _record_state(self) -> None:
        rank_copies = [dataclasses.replace(rank) for rank in self.ranks]
        state = (self.epoch, self.is_open, self.step, rank_copies)
        self._past_states.append((self.now, state))
        while self._past_states[0][0] < self.now - REPORT_DELAY:
            self._past_states.pop(0)

    def report(
        self, number: int, *, fresh: bool = False
    ) -> rank_protocol.Report | None:
        """Return a rank's report, up to REPORT_DELAY old unless ``fresh``."""
        if not self._past_states:
            return None
        _, (epoch, is_open, step, ranks) = self._past_states[0]
        if fresh:
            epoch, is_open, step = self.epoch, self.is_open, self.step
            ranks = self.ranks
        rank = ranks[number]
        is_copied = rank.copied_at is not None and rank.copied_at <= self.now
        return rank_protocol.Report(
            group='g',
            epoch=epoch,
            rank=number,
            size=len(ranks),
            open=is_open,
            step=step,
            version=rank.version,
            prepared=rank.prepared if is_copied else None,
            armed=rank.armed,
            held=rank.held_pass,
        )

    def send(
        self,
        leader: Leader,
        machine: map_switch.MapSwitch,
        order: rank_protocol.Order,
    ) -> None:
        """Deliver an order; it, or its answer, may be late or lost."""
        faults = self.faults
        draw = self.rng.random()
        delay = self.rng.randrange(1, 15) * MS
        if draw < faults.lost_fraction:
            return
        if draw < faults.lost_fraction + faults.late_fraction:
            late_delay = self.rng.randrange(2000, 12000) * MS
            self.after(late_delay, lambda: self.execute(order))
            return
        answer_is_lost = self.rng.random() < faults.lost_answer_fraction

        def arrive() -> None:
            answer = self.execute(order)
            if not answer_is_lost:
                leader.post(lambda: leader.on_answer(machine, order, answer))

        self.after(delay, arrive)

    def execute(self, order: rank_protocol.Order) -> rank_protocol.Answer:
        """Execute an order now, and return the rank's answer."""
        rank = self.ranks[order.rank]
        if order.token < rank.min_token:
            return rank_protocol.Answer.FENCED
        if not self.is_open or order.epoch != self.epoch:
            return rank_protocol.Answer.REFUSED
        if not self._accept(rank, order):
            return rank_protocol.Answer.REFUSED
        rank.min_token = order.token
        return rank_protocol.Answer.ACCEPTED

    def _accept(self, rank: Rank, order: rank_protocol.Order) -> bool:
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
                if rank.held_pass is not None and rank.held_pass != order.step:
                    return False
                if order.step <= self.step:
                    return False
                rank.held_pass = order.step
            case rank_protocol.Op.RELEASE:
                if rank.held_pass == order.step:
                    rank.held_pass = None
        return True

    def _prepare(self, rank: Rank, order: rank_protocol.Order) -> bool:
        if rank.prepared == order.version:
            return True
        if rank.armed is not None or order.version <= rank.highest_version:
            return False
        rank.highest_version = order.version
        rank.prepared = order.version
        rank.new_map = order.new_map
        rank.copied_at = self.now + COPY_DURATION
        return True
