"""Scripted runs for cases that random runs meet too seldom."""

from tests.lib import simulated_cluster
from tests.lib import simulated_group


def rival_claims(seed: int) -> simulated_cluster.SimulatedCluster:
    """Two entries claim a key; the second before it can know of the first.

    The first claim is folded and acted on before the second lands.
    """
    world = simulated_cluster.SimulatedCluster(
        seed=seed, entries=2, endpoints=2
    )
    world.append_ms = 80.0
    world.submit('job', 'entry-0', key='sale', body=b'{"n": 1}')
    world.sim.run(60)
    world.submit('job', 'entry-1', key='sale', body=b'{"n": 1}')
    world.sim.run(12_000)
    return world


def late_request(seed: int) -> simulated_cluster.SimulatedCluster:
    """A request reaches its entry after a later one was told "not run".

    The later submission's attempts are all refused by a full agent.
    """
    world = simulated_cluster.SimulatedCluster(
        seed=seed, entries=4, endpoints=1
    )
    world.endpoints['till-0'].service_ms = 1200.0
    world.submit('job', 'entry-0', key='sale', delay_ms=1700)
    for _ in range(20):
        world.submit('ping', 'entry-2')
        world.submit('ping', 'entry-3')
    world.submit('job', 'entry-1', key='sale')
    world.sim.run(20_000)
    return world


def lost_rank(seed: int) -> simulated_group.SimulatedGroup:
    """Only a rank that is then replaced is told of the next run."""
    world = simulated_group.SimulatedGroup(seed=seed)
    world.set_plan(5)
    world.sim.run(500)
    world.grants_blocked = {0, 1}
    world.sim.run(2500)
    world.replace_rank(2)
    world.restart_agent(0)
    world.set_plan(6)
    world.grants_blocked = set()
    world.sim.run(4000)
    return world


def overtaken(seed: int) -> simulated_cluster.SimulatedCluster:
    """A question about an attempt overtakes the attempt's own message."""
    world = simulated_cluster.SimulatedCluster(
        seed=seed, entries=1, endpoints=2
    )
    world.network.jitter_ms = 3000.0
    world.submit('job', 'entry-0', key='sale')
    world.sim.run(60)
    world.network.jitter_ms = 2.0
    world.break_legs()
    world.sim.run(12_000)
    return world


def forgetful(seed: int) -> simulated_cluster.SimulatedCluster:
    """Both agents restart, without memory, while a job runs."""
    world = simulated_cluster.SimulatedCluster(
        seed=seed, entries=2, endpoints=2
    )
    for endpoint in world.endpoints.values():
        endpoint.service_ms = 500.0
    world.submit('job', 'entry-0', key='sale')
    world.sim.run(200)
    world.start_agent('till-0')
    world.start_agent('till-1')
    world.sim.run(3000)
    world.submit('job', 'entry-1', key='sale')
    world.sim.run(12_000)
    return world


def terminated_agent(seed: int) -> simulated_cluster.SimulatedCluster:
    """An agent gets SIGTERM while it runs work, and more work comes."""
    world = simulated_cluster.SimulatedCluster(
        seed=seed, entries=1, endpoints=1
    )
    for endpoint in world.endpoints.values():
        endpoint.service_ms = 800.0
    world.submit('job', 'entry-0', key='sale')
    world.submit('completions', 'entry-0', body=b'abcdef')
    world.sim.run(200)
    world.terminate_agent('till-0')
    world.terminate_agent('llm-0')
    for _ in range(20):
        world.submit('ping', 'entry-0')
        world.sim.run(100)
    world.sim.run(12_000)
    return world


def terminated_entry(seed: int) -> simulated_cluster.SimulatedCluster:
    """An entry gets SIGTERM while calls are in flight."""
    world = simulated_cluster.SimulatedCluster(
        seed=seed, entries=2, endpoints=1
    )
    for endpoint in world.endpoints.values():
        endpoint.service_ms = 800.0
    world.submit('job', 'entry-0', key='sale')
    world.submit('completions', 'entry-0', body=b'abcdef')
    world.sim.run(200)
    world.terminate_entry('entry-0')
    world.sim.run(12_000)
    return world


def split_group(seed: int) -> simulated_group.SimulatedGroup:
    """Two leaders in turn each reach all ranks but one, another each.

    The second one's host is new, so it knows nothing of the first one.
    """
    world = simulated_group.SimulatedGroup(seed=seed)
    world.set_plan(5)
    world.sim.run(1000)
    world.partitioned = {2}
    world.restart_agent(0)
    world.set_plan(6)
    world.sim.run(1000)
    world.partitioned = {1}
    world.replace_rank(0)
    world.set_plan(7)
    world.sim.run(1500)
    world.partitioned = set()
    world.sim.run(3000)
    return world
