"""A simulated group of ranks that run each step together.

Runs the real LeaderMachine and RankMachine on a simulated engine and
network.  The engine finishes a step when every rank has entered it, as a
collective does, and records the map version with which each rank enters.
Unlike in a real collective, a rank may enter a granted step before the
others do, which makes the test stricter.
"""

import dataclasses

from aspenfold._internal.expertmaps import leader_machine
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.expertmaps import rank_machine
from aspenfold._internal.processes import group_member
from aspenfold_standins import sim as sim_module

GROUP = 'group-0'
STEP_INTERVAL_MS = 5
PLACEMENT = ((0, 1), (1, 2), (2, 0))
PREPARE_DURATION_MS = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepEntry:
    """A rank entered a step with a map version.

    ``formation`` increments when no rank is left that was granted a step;
    steps are then numbered from the start.
    """

    formation: int
    step: int
    rank: int
    version: int


@dataclasses.dataclass(kw_only=True)
class EngineRank:
    """One rank's engine.

    ``step`` is the last step that it finished, ``entered_step`` the last
    that it entered, and ``fencing_token`` the highest token of its
    orders.  With ``checks_fencing`` it refuses orders with a lower token.
    """

    checks_fencing: bool
    fencing_token: int = 0
    step: int = -1
    entered_step: int = -1
    last_granted_step: int = -1
    runs: set[messages.StepRun] = dataclasses.field(default_factory=set)
    prepared: set[int] = dataclasses.field(default_factory=set)

    def execute(self, action: group_member.EngineOrder) -> bool:
        """Execute an order; return False if its token is too low."""
        if self.checks_fencing and action.token < self.fencing_token:
            return False
        self.fencing_token = max(self.fencing_token, action.token)
        match action:
            case messages.OrderReset():
                self.runs.clear()
                self.entered_step = self.step
            case messages.OrderPrepare(version=version):
                self.prepared.add(version)
            case messages.OrderGrant(run=run):
                self.runs.add(run)
                self.last_granted_step = max(self.last_granted_step, run.last)
        return True

    def next_run(self) -> messages.StepRun | None:
        """Return the first granted run that ends after the current step."""
        later = [run for run in self.runs if run.last > self.step]
        return min(later, default=None)


class AgentProcess(sim_module.SimulatedProcess):
    """One incarnation of a rank's agent; rank 0 also runs the leader."""

    def __init__(
        self, *, group: 'SimulatedGroup', rank: int, number: int
    ) -> None:
        super().__init__(sim=group.sim, name=f'rank-{rank}', zone='zone-a')
        self.group = group
        self.rank = rank
        engine = group.engines[rank]
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
                group=GROUP, ranks=group.ranks, rng=group.sim.rng
            )
        self.sim.every(20, lambda: self.dispatch(self._tick))

    def receive(self, message: messages.Message) -> None:
        """Handle a message for the rank or for the leader."""
        if message.kind in messages.TO_RANKS:
            self.apply(self.machine.receive(message))
        elif self.leader is not None:
            self.apply(self.leader.receive(message))

    def apply(self, result: list[messages.Action]) -> None:
        """Carry out a machine's actions."""
        for action in result:
            match action:
                case messages.SendMessage():
                    self.group.send(self, action.message)
                case messages.OrderPrepare():
                    self._order(action, PREPARE_DURATION_MS)
                case _:
                    self._order(action, 0)

    def _tick(self) -> None:
        engine = self.group.engines[self.rank]
        unfinished = {run for run in engine.runs if run.last > engine.step}
        self.apply(self.machine.on_engine_state(engine.step, unfinished))
        if self.leader is not None:
            version, placement = self.group.plan
            self.apply(self.leader.set_plan(version, placement))
            self.apply(self.leader.tick(self.sim.now))

    def _order(self, action: group_member.EngineOrder, ms: float) -> None:
        engine = self.group.engines[self.rank]

        def arrive() -> None:
            # An order that was sent arrives even if the agent is now dead
            # or frozen.
            accepted = engine.execute(action)
            loss_probability = self.group.order_answer_loss_probability
            if self.sim.rng.random() < loss_probability:
                accepted = False
            work = self._on_accepted if accepted else self._on_failed
            self.sim.after(
                self.group.network.draw_delay_ms(),
                lambda: self.dispatch(lambda: work(action)),
            )

        self.sim.after(self.group.network.draw_delay_ms() + ms, arrive)

    def _on_failed(self, action: group_member.EngineOrder) -> None:
        self.apply(self.machine.on_order_failed(action))

    def _on_accepted(self, action: group_member.EngineOrder) -> None:
        engine = self.group.engines[self.rank]
        match action:
            case messages.OrderReset(token=token):
                result = self.machine.on_engine_reset(
                    token, engine.last_granted_step, engine.step
                )
            case messages.OrderPrepare(version=version):
                result = self.machine.on_engine_prepared(version)
            case messages.OrderGrant(run=run, token=token):
                result = self.machine.on_engine_granted(run, token)
        self.apply(result)


class SimulatedGroup:
    """A group of ranks, their network, and the steps that they entered.

    Ranks in ``stalled`` enter no step.  Ranks in ``grants_blocked`` get no
    grants.  No message passes between a rank in ``partitioned`` and one
    that is not.
    """

    def __init__(
        self, *, seed: int, ranks: int = 3, checks_fencing: bool = True
    ) -> None:
        self.sim = sim_module.Simulation(seed=seed)
        self.network = sim_module.Network(sim=self.sim)
        self.ranks = ranks
        self.checks_fencing = checks_fencing
        self.plan: tuple[int, leader_machine.Placement] = (0, ())
        self.stalled: set[int] = set()
        self.grants_blocked: set[int] = set()
        self.partitioned: set[int] = set()
        self.order_answer_loss_probability = 0.0
        self.formation = 0
        self.step_entries: list[StepEntry] = []
        self.completed_steps = 0
        self._agent_count = 0
        self.engines = [self._new_engine() for _ in range(ranks)]
        self.all_agents: list[AgentProcess] = []
        self.agents: list[AgentProcess] = []
        for rank in range(ranks):
            self.agents.append(self._new_agent(rank))
        self.sim.every(STEP_INTERVAL_MS, self._step)

    def set_plan(self, version: int) -> None:
        """Make ``version`` the newest plan that the agents know."""
        self.plan = (version, PLACEMENT[: self.ranks])

    def restart_agent(self, rank: int) -> None:
        """Kill an agent and start a new one for the same engine."""
        self.agents[rank].kill()
        self.agents[rank] = self._new_agent(rank)

    def start_second_agent(self, rank: int) -> None:
        """Start a new agent without killing the old one."""
        self.agents[rank] = self._new_agent(rank)

    def replace_rank(self, rank: int) -> None:
        """Replace a rank's host, which loses its agent and engine state."""
        self.agents[rank].kill()
        self.engines[rank] = self._new_engine()
        if all(engine.last_granted_step < 0 for engine in self.engines):
            # No rank has been granted a step: this is a new group.
            self.formation += 1
        self.agents[rank] = self._new_agent(rank)

    def send(self, sender: AgentProcess, message: messages.Message) -> None:
        """Send a message, which may be delayed, lost or duplicated."""
        separated = (sender.rank in self.partitioned) != (
            message.target in self.partitioned
        )
        if separated and sender.rank != message.target:
            return
        is_grant = message.kind is messages.Kind.GRANT
        if is_grant and message.target in self.grants_blocked:
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
        self._agent_count += 1
        agent = AgentProcess(group=self, rank=rank, number=self._agent_count)
        self.all_agents.append(agent)
        return agent

    def _new_engine(self) -> EngineRank:
        return EngineRank(checks_fencing=self.checks_fencing)

    def _step(self) -> None:
        """Let ranks enter their next step; finish it if all have entered."""
        for rank, engine in enumerate(self.engines):
            run = engine.next_run()
            if run is None or rank in self.stalled:
                continue
            step = max(run.first, engine.step + 1)
            if step != engine.entered_step:
                engine.entered_step = step
                self.step_entries.append(
                    StepEntry(
                        formation=self.formation,
                        step=step,
                        rank=rank,
                        version=run.version,
                    )
                )
        entered_steps = {engine.entered_step for engine in self.engines}
        is_behind = any(
            engine.entered_step <= engine.step for engine in self.engines
        )
        if len(entered_steps) == 1 and not is_behind and not self.stalled:
            for engine in self.engines:
                engine.step = engine.entered_step
            self.completed_steps += 1


def steps_with_mixed_maps(group: SimulatedGroup) -> list[str]:
    """Return a description of each step that ranks entered with two maps."""
    versions: dict[tuple[int, int], set[int]] = {}
    for entry in group.step_entries:
        step = (entry.formation, entry.step)
        versions.setdefault(step, set()).add(entry.version)
    return [
        f'step {step} used maps {sorted(maps)}'
        for step, maps in versions.items()
        if len(maps) > 1
    ]


class GroupChaosRun:
    """Runs a group under random faults; the seed determines the run."""

    def __init__(self, *, seed: int, checks_fencing: bool = True) -> None:
        self.group = SimulatedGroup(seed=seed, checks_fencing=checks_fencing)
        self.sim = self.group.sim
        self.rng = self.sim.rng
        self.fault_count = 0

    def run(self) -> SimulatedGroup:
        """Run with faults, then without, and return the group.

        Sets ``recovered``: whether steps continued after the faults.
        """
        group = self.group
        for number in range(self.rng.randint(1, 5)):
            self.sim.after(
                self.rng.random() * 5000,
                lambda number=number: group.set_plan(
                    max(group.plan[0], 10 + number)
                ),
            )
        self.sim.after(0, lambda: group.set_plan(5))
        for _ in range(self.rng.randint(3, 12)):
            self.sim.after(self.rng.random() * 6000, self._inject_fault)
        self.sim.run(7000)
        self._end_faults()
        steps_before = group.completed_steps
        self.sim.run(4000)
        self.recovered = group.completed_steps > steps_before
        return group

    def _inject_fault(self) -> None:
        self.fault_count += 1
        rank = self.rng.choice((0, 0, 1, 2))
        group = self.group
        match self.rng.randrange(9):
            case 0:
                group.restart_agent(rank)
            case 1:
                group.replace_rank(rank)
            case 2:
                agent = group.agents[rank]
                agent.freeze()
                self.sim.after(self.rng.uniform(50, 2500), agent.thaw)
            case 3:
                agent = group.agents[0]
                agent.freeze()
                group.start_second_agent(0)
                self.sim.after(self.rng.uniform(50, 2500), agent.thaw)
            case 4:
                group.network.jitter_ms = self.rng.choice((2.0, 50.0, 300.0))
                group.network.loss_probability = self.rng.choice((0.0, 0.3))
                group.network.duplicate_probability = self.rng.choice(
                    (0.0, 0.4)
                )
            case 5:
                group.stalled.add(rank)
                self.sim.after(
                    self.rng.uniform(50, 2000),
                    lambda: group.stalled.discard(rank),
                )
            case 6:
                # Restart the leader soon after a map change begins.
                group.set_plan(group.plan[0] + 1)
                self.sim.after(
                    self.rng.uniform(0, 120),
                    lambda: group.restart_agent(0),
                )

            case 7:
                group.partitioned.add(rank)
                self.sim.after(
                    self.rng.uniform(50, 2500),
                    lambda: group.partitioned.discard(rank),
                )
            case 8:
                # Orders are executed, but some of their answers are lost.
                group.order_answer_loss_probability = self.rng.choice(
                    (0.0, 0.4)
                )

    def _end_faults(self) -> None:
        group = self.group
        group.partitioned.clear()
        group.order_answer_loss_probability = 0.0
        group.network.jitter_ms = 2.0
        group.network.loss_probability = 0.0
        group.network.duplicate_probability = 0.0
        group.stalled.clear()
        for agent in group.agents:
            if agent.frozen:
                agent.thaw()
