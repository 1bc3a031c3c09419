"""Random calls to a simulated cluster, under random faults."""

from collections import abc

from aspenfold._internal.configuration import reducer
from aspenfold._internal.models import records
from aspenfold_standins import sim as sim_module
from tests.lib import fleets
from tests.lib import operators
from tests.lib import simulated_cluster

FAULT_PERIOD_MS = 6000
"""Length of the period in which calls and faults begin."""

RECOVERY_PERIOD_MS = 14000
"""Length of the period at the end of a run in which no faults begin."""

RESUBMIT_DELAY_RANGE_MS = (80, 1500)
"""Range of the delay before a caller submits a key again."""

MAX_SUBMISSIONS = 4
Fault = abc.Callable[['ChaosRun'], None]


class ChaosRun:
    """Runs a cluster with random calls and faults.

    The seed determines the run.
    """

    def __init__(self, *, seed: int, faults: bool = True) -> None:
        self.cluster = simulated_cluster.SimulatedCluster(
            seed=seed, entries=3, endpoints=3
        )
        self.sim = self.cluster.sim
        self.rng = self.sim.rng
        self.with_faults = faults
        self.fault_count = 0
        self._last_id = 0

    def run(self) -> simulated_cluster.SimulatedCluster:
        """Run the period with calls and faults, then the recovery period.

        The faults of the log and the network end in between, but appends
        and executions may still lose their responses or answers.
        """
        for _ in range(self.rng.randint(10, 30)):
            self.sim.after(
                self.rng.random() * FAULT_PERIOD_MS, self._submit_random_call
            )
        if self.with_faults:
            for _ in range(self.rng.randint(4, 14)):
                self.sim.after(
                    self.rng.random() * FAULT_PERIOD_MS, self._inject_fault
                )
        self.sim.run(FAULT_PERIOD_MS)
        self._end_faults()
        self.sim.run(RECOVERY_PERIOD_MS)
        return self.cluster

    def _submit_random_call(self) -> None:
        operation = self.rng.choice(
            ('ping', 'job', 'job', 'job', 'completions')
        )
        self._last_id += 1
        body = b'body-%d' % self._last_id + b'x' * self.rng.randrange(6)
        key = ''
        if operation == 'job':
            key = f'key-{self._last_id}'
            if self.rng.random() < 0.3 and self._alive_agents('till'):
                key = self.cluster.mint_ticket('till')
        elif self.rng.random() < 0.2:
            key = f'key-{self._last_id}'
        self._submit(operation, key, body, MAX_SUBMISSIONS)

    def _submit(
        self, operation: str, key: str, body: bytes, submissions_left: int
    ) -> None:
        entries = [e for e in self.cluster.entries.values() if e.alive]
        if not entries:
            return
        entry = self.rng.choice(entries)
        submission = self.cluster.submit(
            operation,
            entry.name,
            key=key,
            body=body,
            deadline_ms=self.rng.choice((300, 1500, 6000)),
        )
        if not key or submissions_left <= 1:
            return

        def resubmit() -> None:
            answered = submission.answer_count > 0
            if submission.complete:
                return
            if answered and self.rng.random() < 0.3:
                return
            self._submit(operation, key, body, submissions_left - 1)

        self.sim.after(self.rng.uniform(*RESUBMIT_DELAY_RANGE_MS), resubmit)

    def _inject_fault(self) -> None:
        fault = self.rng.choice(FAULTS)
        self.fault_count += 1
        fault(self)

    def _alive_agents(
        self, service: str
    ) -> list[simulated_cluster.SimulatedAgent]:
        return [
            agent
            for name, agent in sorted(self.cluster.agents.items())
            if agent.alive and name.startswith(service)
        ]

    def _random_agent(self) -> simulated_cluster.SimulatedAgent | None:
        agents = self._alive_agents('')
        return self.rng.choice(agents) if agents else None

    def kill_agent(self) -> None:
        """Kill an agent; a new incarnation may start later."""
        agent = self._random_agent()
        if agent is None:
            return
        self.cluster.kill_agent(agent.name)
        if self.rng.random() < 0.8:
            self.sim.after(
                self.rng.uniform(10, 2000),
                lambda: self.cluster.start_agent(agent.name),
            )

    def freeze_process(self) -> None:
        """Freeze an agent or an entry for a while."""
        processes: list[sim_module.SimulatedProcess] = [
            *self._alive_agents(''),
            *[e for e in self.cluster.entries.values() if e.alive],
        ]
        process = self.rng.choice(processes)
        process.freeze()
        self.sim.after(self.rng.uniform(50, 4000), process.thaw)

    def kill_entry(self) -> None:
        """Kill an entry, but not the last one."""
        alive = [e for e in self.cluster.entries.values() if e.alive]
        if len(alive) > 1:
            self.cluster.kill_entry(self.rng.choice(alive).name)

    def partition_zones(self) -> None:
        """Disconnect two zones, or a zone and the platform, for a while."""
        zones = ['zone-a', 'zone-b', 'zone-c', 'platform']
        zone_a, zone_b = self.rng.sample(zones, 2)
        self.cluster.partition(zone_a, zone_b)
        self.sim.after(self.rng.uniform(100, 3000), self.cluster.network.heal)

    def stop_platform(self) -> None:
        """Make the log service unavailable for a while."""
        self.cluster.log.down = True

        def restart() -> None:
            self.cluster.log.down = False

        self.sim.after(self.rng.uniform(100, 3000), restart)

    def slow_platform(self) -> None:
        """Make appends slow, and lose some of their responses."""
        self.cluster.append_duration_ms = self.rng.choice((4.0, 100.0, 900.0))
        self.cluster.append_response_loss_probability = self.rng.choice(
            (0.0, 0.5)
        )

    def break_streams(self) -> None:
        """Break every open answer stream."""
        self.cluster.break_streams()

    def degrade_network(self) -> None:
        """Delay, reorder, lose or duplicate messages."""
        self.cluster.network.jitter_ms = self.rng.choice((2.0, 60.0, 400.0))
        self.cluster.network.duplicate_probability = self.rng.choice(
            (0.0, 0.4)
        )
        self.cluster.network.loss_probability = self.rng.choice((0.0, 0.2))

    def lose_answers(self) -> None:
        """Lose the answers of an endpoint's next executions."""
        names = sorted(self.cluster.endpoints)
        endpoint = self.cluster.endpoints[self.rng.choice(names)]
        endpoint.answers_to_lose += self.rng.randint(1, 2)

    def drain_endpoint(self) -> None:
        """Drain an endpoint through the log; it may become live again."""
        name = self.rng.choice(sorted(self.cluster.endpoints))
        self.cluster.change_membership(name, 'draining')
        if self.rng.random() < 0.6:
            self.sim.after(
                self.rng.uniform(100, 2000),
                lambda: self.cluster.change_membership(name, 'live'),
            )

    def terminate_agent(self) -> None:
        """Send SIGTERM to an agent."""
        agent = self._random_agent()
        if agent is not None:
            self.cluster.terminate_agent(agent.name)

    def apply_conflicting_changes(self) -> None:
        """Append two changes based on the same version of the fleet."""
        reader = next(iter(self.cluster.entries.values())).kernel.fleet_reader
        old = reader.state.document
        for name in ('mine', 'yours'):
            self._last_id += 1
            new = operators.with_name(
                fleets.document(), f'{name}-{self._last_id}'
            )
            change = operators.config_change(
                name,
                self._last_id,
                reader.state.version,
                old,
                new,
                self.sim.now,
            )
            self.cluster.log.append(records.FLEET_STREAM, change)

    def write_with_expired_lease(self) -> None:
        """Append a map plan whose lease has passed to another holder."""
        reader = next(iter(self.cluster.entries.values())).kernel.fleet_reader
        name = reducer.MAP_LEASE_PREFIX + 'group-0'
        previous_token = reader.state.lease_token(name)
        for holder in ('entry-0', 'entry-1'):
            self._last_id += 1
            lease = records.LeaseGrant(
                id=f'lease-{self._last_id}',
                author=holder,
                at=self.sim.now,
                name=name,
                holder=holder,
                ttl_ms=100,
                prior_token=previous_token,
            )
            previous_token = self.cluster.log.append(
                records.FLEET_STREAM, lease
            )
        stale_plan = records.MapPlan(
            id=f'plan-{self._last_id}',
            author='entry-0',
            at=self.sim.now,
            group='group-0',
            lease_token=previous_token - 1,
            placement=[[0]],
        )
        self.cluster.log.append(records.FLEET_STREAM, stale_plan)

    def _end_faults(self) -> None:
        cluster = self.cluster
        cluster.network.heal()
        cluster.network.jitter_ms = 2.0
        cluster.network.duplicate_probability = 0.0
        cluster.network.loss_probability = 0.0
        cluster.log.down = False
        cluster.append_duration_ms = 4.0
        for process in [*cluster.agents.values(), *cluster.entries.values()]:
            if process.frozen:
                process.thaw()


FAULTS: tuple[Fault, ...] = (
    ChaosRun.kill_agent,
    ChaosRun.freeze_process,
    ChaosRun.freeze_process,
    ChaosRun.kill_entry,
    ChaosRun.partition_zones,
    ChaosRun.stop_platform,
    ChaosRun.slow_platform,
    ChaosRun.break_streams,
    ChaosRun.degrade_network,
    ChaosRun.lose_answers,
    ChaosRun.drain_endpoint,
    ChaosRun.terminate_agent,
    ChaosRun.apply_conflicting_changes,
    ChaosRun.write_with_expired_lease,
)
