"""A lock-step group: true leader and rank machines, a fake engine.

The engine steps only when every rank is granted the same next step, as
a collective does, and records each rank's map version for each step it
enters.  Unlike a real collective it lets a rank *enter* a granted step
before the others do, which is the harder case.
"""

import dataclasses

from aspenfold._internal.expertmaps import leader_machine
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.expertmaps import rank_machine
from aspenfold._internal.processes import group_member
from aspenfold_standins import sim as sim_module

GROUP = 'group-0'
STEP_MS = 5
PLACEMENT = ((0, 1), (1, 2), (2, 0))
PREPARE_MS = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entered:
    """A rank entered a step with a map version.

    ``formation`` counts how often all ranks were new at the same time.
    """

    formation: int
    step: int
    rank: int
    version: int


@dataclasses.dataclass(kw_only=True)
class EngineRank:
    """One rank's engine: what it was granted and which step it is in.

    ``checks_fencing``: it refuses orders with an old fencing number.
    """

    checks_fencing: bool
    fencing: int = 0
    step: int = -1
    entered: int = -1
    last_granted_step: int = -1
    runs: set[messages.StepRun] = dataclasses.field(default_factory=set)
    prepared: set[int] = dataclasses.field(default_factory=set)

    def take(self, action: group_member.EngineOrder) -> bool:
        """Obey an order, or refuse it for its fencing number."""
        if self.checks_fencing and action.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, action.fencing)
        match action:
            case messages.OrderReset():
                self.runs.clear()
                self.entered = self.step
            case messages.OrderPrepare(version=version):
                self.prepared.add(version)
            case messages.OrderGrant(run=run):
                self.runs.add(run)
                self.last_granted_step = max(self.last_granted_step, run.last)
        return True

    def next_step(self) -> messages.StepRun | None:
        """Return the run of the first granted step after the current."""
        later = [run for run in self.runs if run.last > self.step]
        return min(later, default=None)


class AgentProcess(sim_module.SimulatedProcess):
    """One incarnation of a rank's agent, with the leader on rank 0."""

    def __init__(
        self, *, world: 'SimulatedGroup', rank: int, number: int
    ) -> None:
        super().__init__(sim=world.sim, name=f'rank-{rank}', zone='zone-a')
        self.world = world
        self.rank = rank
        engine = world.engines[rank]
        self.machine = rank_machine.RankMachine(
            group=GROUP,
            rank=rank,
            incarnation=f'{rank}/{number}',
            prepared=engine.prepared,
            step=engine.step,
        )
        self.leader: leader_machine.LeaderMachine | None = None
        if rank == 0:
            self.leader = leader_machine.LeaderMachine(
                group=GROUP, ranks=world.ranks, rng=world.sim.rng
            )
        self.sim.every(20, lambda: self.dispatch(self._tick))

    def receive(self, message: messages.Message) -> None:
        """Take a message for the rank or for the leader."""
        if message.kind in messages.TO_RANKS:
            self.apply(self.machine.receive(message))
        elif self.leader is not None:
            self.apply(self.leader.receive(message))

    def apply(self, result: list[messages.Action]) -> None:
        """Carry out a machine's actions."""
        for action in result:
            match action:
                case messages.SendMessage():
                    self.world.send(self, action.message)
                case messages.OrderPrepare():
                    self._order(action, PREPARE_MS)
                case _:
                    self._order(action, 0)

    def _tick(self) -> None:
        engine = self.world.engines[self.rank]
        held = {run for run in engine.runs if run.last > engine.step}
        self.apply(self.machine.on_engine_state(engine.step, held))
        if self.leader is not None:
            version, placement = self.world.plan
            self.apply(self.leader.set_plan(version, placement))
            self.apply(self.leader.tick(self.sim.now))

    def _order(self, action: group_member.EngineOrder, ms: float) -> None:
        engine = self.world.engines[self.rank]

        def arrive() -> None:
            # The order left the process, so it arrives even if the
            # agent is dead or frozen by now.
            taken = engine.take(action)
            lost = self.world.lost_order_answers
            if self.sim.rng.random() < lost:
                taken = False
            work = self._taken if taken else self._refused
            self.sim.after(
                self.world.network.draw_delay_ms(),
                lambda: self.dispatch(lambda: work(action)),
            )

        self.sim.after(self.world.network.draw_delay_ms() + ms, arrive)

    def _refused(self, action: group_member.EngineOrder) -> None:
        self.apply(self.machine.on_order_failed(action))

    def _taken(self, action: group_member.EngineOrder) -> None:
        engine = self.world.engines[self.rank]
        match action:
            case messages.OrderReset(fencing=token):
                result = self.machine.on_engine_reset(
                    token, engine.last_granted_step, engine.step
                )
            case messages.OrderPrepare(version=version):
                result = self.machine.on_engine_prepared(version)
            case messages.OrderGrant(run=run, fencing=token):
                result = self.machine.on_engine_granted(run, token)
        self.apply(result)


class SimulatedGroup:
    """A group, its network, and the history of its steps."""

    def __init__(
        self, *, seed: int, ranks: int = 3, checks_fencing: bool = True
    ) -> None:
        self.sim = sim_module.Simulation(seed=seed)
        self.network = sim_module.Network(sim=self.sim)
        self.ranks = ranks
        self.checks_fencing = checks_fencing
        self.plan: tuple[int, leader_machine.Placement] = (0, ())
        self.stalled: set[int] = set()
        self.deaf: set[int] = set()
        self.cut: set[int] = set()
        self.lost_order_answers = 0.0
        self.formation = 0
        self.entered: list[Entered] = []
        self.steps_done = 0
        self._numbers = 0
        self.engines = [self._new_engine() for _ in range(ranks)]
        self.all_agents: list[AgentProcess] = []
        self.agents: list[AgentProcess] = []
        for rank in range(ranks):
            self.agents.append(self._new_agent(rank))
        self.sim.every(STEP_MS, self._step)

    def put_plan(self, version: int) -> None:
        """Have the agents learn of plan ``version``."""
        self.plan = (version, PLACEMENT[: self.ranks])

    def restart_agent(self, rank: int) -> None:
        """Kill an agent and start one beside the same engine."""
        self.agents[rank].kill()
        self.agents[rank] = self._new_agent(rank)

    def take_over(self, rank: int) -> None:
        """Start a new agent while the old one lives, paused or not."""
        self.agents[rank] = self._new_agent(rank)

    def replace_rank(self, rank: int) -> None:
        """Replace a rank's host: agent and engine state are gone."""
        self.agents[rank].kill()
        self.engines[rank] = self._new_engine()
        if all(engine.last_granted_step < 0 for engine in self.engines):
            # Nobody is left who took part in a step: a new group.
            self.formation += 1
        self.agents[rank] = self._new_agent(rank)

    def send(self, sender: AgentProcess, message: messages.Message) -> None:
        """Carry a message: late, lost or doubled.

        Grants do not reach ranks in ``deaf``; nothing passes between a
        rank in ``cut`` and the others.
        """
        apart = (sender.rank in self.cut) != (message.target in self.cut)
        if apart and sender.rank != message.target:
            return
        granting = message.kind is messages.Kind.GRANT
        if granting and message.target in self.deaf:
            return
        for _ in range(self.network.draw_copies()):
            target = self.agents[message.target]
            self.sim.after(
                self.network.draw_delay_ms(),
                lambda target=target: target.dispatch(
                    lambda: target.receive(message)
                ),
            )

    def _new_agent(self, rank: int) -> AgentProcess:
        self._numbers += 1
        agent = AgentProcess(world=self, rank=rank, number=self._numbers)
        self.all_agents.append(agent)
        return agent

    def _new_engine(self) -> EngineRank:
        return EngineRank(checks_fencing=self.checks_fencing)

    def _step(self) -> None:
        """Let ranks enter their next step, and finish it if all have."""
        for rank, engine in enumerate(self.engines):
            run = engine.next_step()
            if run is None or rank in self.stalled:
                continue
            step = max(run.first, engine.step + 1)
            if step != engine.entered:
                engine.entered = step
                self.entered.append(
                    Entered(
                        formation=self.formation,
                        step=step,
                        rank=rank,
                        version=run.version,
                    )
                )
        entered = {engine.entered for engine in self.engines}
        behind = any(engine.entered <= engine.step for engine in self.engines)
        if len(entered) == 1 and not behind and not self.stalled:
            for engine in self.engines:
                engine.step = engine.entered
            self.steps_done += 1


def one_map_each_step(world: SimulatedGroup) -> list[str]:
    """P1: over all ranks, a step is entered with one map version."""
    versions: dict[tuple[int, int], set[int]] = {}
    for entry in world.entered:
        step = (entry.formation, entry.step)
        versions.setdefault(step, set()).add(entry.version)
    return [
        f'step {step} used maps {sorted(used)}'
        for step, used in versions.items()
        if len(used) > 1
    ]


class GroupChaosRun:
    """Random faults on a group; one seed is one run."""

    def __init__(self, *, seed: int, checks_fencing: bool = True) -> None:
        self.world = SimulatedGroup(seed=seed, checks_fencing=checks_fencing)
        self.sim = self.world.sim
        self.rng = self.sim.rng
        self.faults_done = 0

    def run(self) -> SimulatedGroup:
        """Run to the end and return the world with its history."""
        world = self.world
        for number in range(self.rng.randint(1, 5)):
            self.sim.after(
                self.rng.random() * 5000,
                lambda number=number: world.put_plan(
                    max(world.plan[0], 10 + number)
                ),
            )
        self.sim.after(0, lambda: world.put_plan(5))
        for _ in range(self.rng.randint(3, 12)):
            self.sim.after(self.rng.random() * 6000, self._fault)
        self.sim.run(7000)
        self._heal()
        done = world.steps_done
        self.sim.run(4000)
        self.recovered = world.steps_done > done
        return world

    def _fault(self) -> None:
        self.faults_done += 1
        rank = self.rng.choice((0, 0, 1, 2))
        world = self.world
        match self.rng.randrange(9):
            case 0:
                world.restart_agent(rank)
            case 1:
                world.replace_rank(rank)
            case 2:
                agent = world.agents[rank]
                agent.freeze()
                self.sim.after(self.rng.uniform(50, 2500), agent.thaw)
            case 3:
                agent = world.agents[0]
                agent.freeze()
                world.take_over(0)
                self.sim.after(self.rng.uniform(50, 2500), agent.thaw)
            case 4:
                world.network.jitter_ms = self.rng.choice((2.0, 50.0, 300.0))
                world.network.loss_probability = self.rng.choice((0.0, 0.3))
                world.network.duplicate_probability = self.rng.choice(
                    (0.0, 0.4)
                )
            case 5:
                world.stalled.add(rank)
                self.sim.after(
                    self.rng.uniform(50, 2000),
                    lambda: world.stalled.discard(rank),
                )
            case 6:
                # The leader dies soon after a map change began.
                world.put_plan(world.plan[0] + 1)
                self.sim.after(
                    self.rng.uniform(0, 120),
                    lambda: world.restart_agent(0),
                )

            case 7:
                world.cut.add(rank)
                self.sim.after(
                    self.rng.uniform(50, 2500),
                    lambda: world.cut.discard(rank),
                )
            case 8:
                # The engine obeys, but its answers are lost.
                world.lost_order_answers = self.rng.choice((0.0, 0.4))

    def _heal(self) -> None:
        world = self.world
        world.cut.clear()
        world.lost_order_answers = 0.0
        world.network.jitter_ms = 2.0
        world.network.loss_probability = 0.0
        world.network.duplicate_probability = 0.0
        world.stalled.clear()
        for agent in world.agents:
            if agent.frozen:
                agent.thaw()
