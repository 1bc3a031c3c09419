"""Scripted runs for cases that random runs rarely reach."""

from tests.lib import simulated_cluster
from tests.lib import simulated_group


def competing_claims(seed: int) -> simulated_cluster.SimulatedCluster:
    """Two entries claim a key, the second before it reads the first claim.

    With some seeds the first entry acts on its claim before the second
    claim is appended.
    """
    cluster = simulated_cluster.SimulatedCluster(
        seed=seed, entries=2, endpoints=2
    )
    cluster.append_duration_ms = 80.0
    cluster.submit('job', 'entry-0', key='sale', body=b'{"n": 1}')
    cluster.sim.run(60)
    cluster.submit('job', 'entry-1', key='sale', body=b'{"n": 1}')
    cluster.sim.run(12_000)
    return cluster


def late_request(seed: int) -> simulated_cluster.SimulatedCluster:
    """A request reaches its entry after a later one was reported not run.

    A full agent refuses all attempts of the later submission.
    """
    cluster = simulated_cluster.SimulatedCluster(
        seed=seed, entries=4, endpoints=1
    )
    cluster.endpoints['till-0'].service_time_ms = 1200.0
    cluster.submit('job', 'entry-0', key='sale', delay_ms=1700)
    for _ in range(20):
        cluster.submit('ping', 'entry-2')
        cluster.submit('ping', 'entry-3')
    cluster.submit('job', 'entry-1', key='sale')
    cluster.sim.run(20_000)
    return cluster


def lost_grant(seed: int) -> simulated_group.SimulatedGroup:
    """Only one rank receives a grant, and that rank is then replaced."""
    group = simulated_group.SimulatedGroup(seed=seed)
    group.set_plan(5)
    group.sim.run(500)
    group.grants_blocked = {0, 1}
    group.sim.run(2500)
    group.replace_rank(2)
    group.restart_agent(0)
    group.set_plan(6)
    group.grants_blocked = set()
    group.sim.run(4000)
    return group


def query_before_request(seed: int) -> simulated_cluster.SimulatedCluster:
    """A query about an attempt arrives before the attempt's request."""
    cluster = simulated_cluster.SimulatedCluster(
        seed=seed, entries=1, endpoints=2
    )
    cluster.network.jitter_ms = 3000.0
    cluster.submit('job', 'entry-0', key='sale')
    cluster.sim.run(60)
    cluster.network.jitter_ms = 2.0
    cluster.break_streams()
    cluster.sim.run(12_000)
    return cluster


def restarted_agents(seed: int) -> simulated_cluster.SimulatedCluster:
    """Both agents restart while a job runs, and forget the job."""
    cluster = simulated_cluster.SimulatedCluster(
        seed=seed, entries=2, endpoints=2
    )
    for endpoint in cluster.endpoints.values():
        endpoint.service_time_ms = 500.0
    cluster.submit('job', 'entry-0', key='sale')
    cluster.sim.run(200)
    cluster.start_agent('till-0')
    cluster.start_agent('till-1')
    cluster.sim.run(3000)
    cluster.submit('job', 'entry-1', key='sale')
    cluster.sim.run(12_000)
    return cluster


def terminated_agent(seed: int) -> simulated_cluster.SimulatedCluster:
    """Agents receive SIGTERM while they run calls and more arrive."""
    cluster = simulated_cluster.SimulatedCluster(
        seed=seed, entries=1, endpoints=1
    )
    for endpoint in cluster.endpoints.values():
        endpoint.service_time_ms = 800.0
    cluster.submit('job', 'entry-0', key='sale')
    cluster.submit('completions', 'entry-0', body=b'abcdef')
    cluster.sim.run(200)
    cluster.terminate_agent('till-0')
    cluster.terminate_agent('llm-0')
    for _ in range(20):
        cluster.submit('ping', 'entry-0')
        cluster.sim.run(100)
    cluster.sim.run(12_000)
    return cluster


def terminated_entry(seed: int) -> simulated_cluster.SimulatedCluster:
    """An entry receives SIGTERM while calls are in flight."""
    cluster = simulated_cluster.SimulatedCluster(
        seed=seed, entries=2, endpoints=1
    )
    for endpoint in cluster.endpoints.values():
        endpoint.service_time_ms = 800.0
    cluster.submit('job', 'entry-0', key='sale')
    cluster.submit('completions', 'entry-0', body=b'abcdef')
    cluster.sim.run(200)
    cluster.terminate_entry('entry-0')
    cluster.sim.run(12_000)
    return cluster


def partitioned_leaders(seed: int) -> simulated_group.SimulatedGroup:
    """Two successive leaders are each partitioned from a different rank.

    The second leader runs on a new host, which has no state of the first.
    """
    group = simulated_group.SimulatedGroup(seed=seed)
    group.set_plan(5)
    group.sim.run(1000)
    group.partitioned = {2}
    group.restart_agent(0)
    group.set_plan(6)
    group.sim.run(1000)
    group.partitioned = {1}
    group.replace_rank(0)
    group.set_plan(7)
    group.sim.run(1500)
    group.partitioned = set()
    group.sim.run(3000)
    return group
