"""Random concurrent runs under faults; one seed is one run."""

from collections import abc

from aspenfold._internal.configuration import reducer
from aspenfold._internal.models import records
from aspenfold_standins import sim as sim_module
from tests.lib import fleets
from tests.lib import operators
from tests.lib import simulated_cluster

FAULT_MS = 6000
"""How long calls and faults come."""

SETTLE_MS = 14000
"""How long everything has to settle after all faults have ended."""

PATIENCE_MS = (80, 1500)
"""How long a caller waits before it submits a key again."""

MAX_SUBMISSIONS = 4
Fault = abc.Callable[['ChaosRun'], None]


class ChaosRun:
    """Drives one world by random calls and faults."""

    def __init__(self, *, seed: int, faults: bool = True) -> None:
        self.world = simulated_cluster.SimulatedCluster(
            seed=seed, entries=3, endpoints=3
        )
        self.sim = self.world.sim
        self.rng = self.sim.rng
        self.with_faults = faults
        self.faults_done = 0
        self._jobs = 0

    def run(self) -> simulated_cluster.SimulatedCluster:
        """Run to the end and return the world with its history."""
        for _ in range(self.rng.randint(10, 30)):
            self.sim.after(self.rng.random() * FAULT_MS, self._call)
        if self.with_faults:
            for _ in range(self.rng.randint(4, 14)):
                self.sim.after(self.rng.random() * FAULT_MS, self._fault)
        self.sim.run(FAULT_MS)
        self._heal()
        self.sim.run(SETTLE_MS)
        return self.world

    # -- callers ---------------------------------------------------------

    def _call(self) -> None:
        kind = self.rng.choice(('ping', 'job', 'job', 'job', 'completions'))
        self._jobs += 1
        body = b'body-%d' % self._jobs + b'x' * self.rng.randrange(6)
        key = ''
        if kind == 'job':
            key = f'key-{self._jobs}'
            if self.rng.random() < 0.3 and self._alive_agents('till'):
                key = self.world.ticket('till')
        elif self.rng.random() < 0.2:
            key = f'key-{self._jobs}'
        self._submit(kind, key, body, MAX_SUBMISSIONS)

    def _submit(self, kind: str, key: str, body: bytes, left: int) -> None:
        entries = [e for e in self.world.entries.values() if e.alive]
        if not entries:
            return
        entry = self.rng.choice(entries)
        submission = self.world.submit(
            kind,
            entry.name,
            key=key,
            body=body,
            deadline_ms=self.rng.choice((300, 1500, 6000)),
        )
        if not key or left <= 1:
            return

        def again() -> None:
            answered = submission.answers > 0
            if submission.whole:
                return
            if answered and self.rng.random() < 0.3:
                return
            self._submit(kind, key, body, left - 1)

        self.sim.after(self.rng.uniform(*PATIENCE_MS), again)

    # -- faults ----------------------------------------------------------

    def _fault(self) -> None:
        fault = self.rng.choice(FAULTS)
        self.faults_done += 1
        fault(self)

    def _alive_agents(self, service: str) -> list[simulated_cluster.AgentNode]:
        return [
            agent
            for name, agent in sorted(self.world.agents.items())
            if agent.alive and name.startswith(service)
        ]

    def _some_agent(self) -> simulated_cluster.AgentNode | None:
        agents = self._alive_agents('')
        return self.rng.choice(agents) if agents else None

    def kill_agent(self) -> None:
        """Kill an agent; it may come back without its memory."""
        agent = self._some_agent()
        if agent is None:
            return
        self.world.kill_agent(agent.name)
        if self.rng.random() < 0.8:
            self.sim.after(
                self.rng.uniform(10, 2000),
                lambda: self.world.start_agent(agent.name),
            )

    def freeze_node(self) -> None:
        """Freeze an agent or an entry for a while."""
        nodes: list[sim_module.SimulatedProcess] = [
            *self._alive_agents(''),
            *[e for e in self.world.entries.values() if e.alive],
        ]
        node = self.rng.choice(nodes)
        node.freeze()
        self.sim.after(self.rng.uniform(50, 4000), node.thaw)

    def kill_entry(self) -> None:
        """Kill an entry, but leave one."""
        alive = [e for e in self.world.entries.values() if e.alive]
        if len(alive) > 1:
            self.world.kill_entry(self.rng.choice(alive).name)

    def cut_zones(self) -> None:
        """Separate two zones, or a zone and the platform."""
        zones = ['zone-a', 'zone-b', 'zone-c', 'platform']
        one, two = self.rng.sample(zones, 2)
        self.world.cut(one, two)
        self.sim.after(self.rng.uniform(100, 3000), self.world.network.heal)

    def platform_down(self) -> None:
        """Take the log service away for a while."""
        self.world.log.down = True

        def back() -> None:
            self.world.log.down = False

        self.sim.after(self.rng.uniform(100, 3000), back)

    def platform_slow(self) -> None:
        """Make appends slow, and lose some of their answers."""
        self.world.append_ms = self.rng.choice((4.0, 100.0, 900.0))
        self.world.lost_append_answers = self.rng.choice((0.0, 0.5))

    def break_legs(self) -> None:
        """Break every open leg."""
        self.world.break_legs()

    def bad_network(self) -> None:
        """Make messages late, out of order, lost or doubled."""
        self.world.network.jitter_ms = self.rng.choice((2.0, 60.0, 400.0))
        self.world.network.duplicate_probability = self.rng.choice((0.0, 0.4))
        self.world.network.loss_probability = self.rng.choice((0.0, 0.2))

    def lose_answers(self) -> None:
        """Have an endpoint run calls whose answers are lost."""
        names = sorted(self.world.endpoints)
        endpoint = self.world.endpoints[self.rng.choice(names)]
        endpoint.lose_answers += self.rng.randint(1, 2)

    def drain(self) -> None:
        """Drain an endpoint by the log, and perhaps take it back."""
        name = self.rng.choice(sorted(self.world.endpoints))
        self.world.member(name, 'draining')
        if self.rng.random() < 0.6:
            self.sim.after(
                self.rng.uniform(100, 2000),
                lambda: self.world.member(name, 'live'),
            )

    def leave(self) -> None:
        """Have a host leave, as the platform tells its agent."""
        agent = self._some_agent()
        if agent is not None:
            self.world.terminate_agent(agent.name)

    def race_operators(self) -> None:
        """Two operators apply on one base, in the midst of calls."""
        state = next(iter(self.world.entries.values())).kernel.fleet_reader
        old = state.state.document
        for name in ('mine', 'yours'):
            self._jobs += 1
            new = operators.with_name(
                fleets.document(), f'{name}-{self._jobs}'
            )
            change = operators.config_change(
                name, self._jobs, state.state.version, old, new, self.sim.now
            )
            self.world.log.append(records.FLEET_STREAM, change)

    def lapse_lease(self) -> None:
        """A lease passes on; its paused holder wakes and writes a plan."""
        reading = next(iter(self.world.entries.values())).kernel.fleet_reader
        name = reducer.MAP_LEASE_PREFIX + 'group-0'
        prior = reading.state.lease_token(name)
        for holder in ('entry-0', 'entry-1'):
            self._jobs += 1
            lease = records.LeaseGrant(
                id=f'lease-{self._jobs}',
                author=holder,
                at=self.sim.now,
                name=name,
                holder=holder,
                ttl_ms=100,
                prior_token=prior,
            )
            prior = self.world.log.append(records.FLEET_STREAM, lease)
        stale = records.MapPlan(
            id=f'plan-{self._jobs}',
            author='entry-0',
            at=self.sim.now,
            group='group-0',
            lease_token=prior - 1,
            placement=[[0]],
        )
        self.world.log.append(records.FLEET_STREAM, stale)

    def _heal(self) -> None:
        world = self.world
        world.network.heal()
        world.network.jitter_ms = 2.0
        world.network.duplicate_probability = 0.0
        world.network.loss_probability = 0.0
        world.log.down = False
        world.append_ms = 4.0
        for node in [*world.agents.values(), *world.entries.values()]:
            if node.frozen:
                node.thaw()


FAULTS: tuple[Fault, ...] = (
    ChaosRun.kill_agent,
    ChaosRun.freeze_node,
    ChaosRun.freeze_node,
    ChaosRun.kill_entry,
    ChaosRun.cut_zones,
    ChaosRun.platform_down,
    ChaosRun.platform_slow,
    ChaosRun.break_legs,
    ChaosRun.bad_network,
    ChaosRun.lose_answers,
    ChaosRun.drain,
    ChaosRun.leave,
    ChaosRun.race_operators,
    ChaosRun.lapse_lease,
)
