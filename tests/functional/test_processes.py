"""What must always hold, once more with real processes."""

import json
import pathlib

import pytest
from tests.lib import deployment_client

from aspenfold_standins import engine
from aspenfold_standins import launcher

PLAINS = ('plain-till-zone-a', 'plain-till-zone-b')
AGENTS = ('till-zone-a-0', 'till-zone-b-0')


@pytest.fixture
def client(
    deployment: launcher.Deployment,
) -> deployment_client.DeploymentClient:
    """Return a caller of the small deployment."""
    return deployment_client.DeploymentClient(deployment)


def busy(deployment: launcher.Deployment, names: tuple[str, ...]) -> list[str]:
    """Return the stand-ins that have executed something."""
    return [name for name in names if deployment.fetch_record(name)['runs']]


def one_map(deployment: launcher.Deployment) -> int:
    """Assert P1 on the engine's record; return the steps."""
    steps = deployment.fetch_record('engine-group-0')['steps']
    mixed = [step for step, maps in steps if len(set(maps)) != 1]
    assert mixed == []
    return len(steps)


def test_keyed_job_survives_a_killed_entry(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P4: the till asks another entry; the job runs once."""
    for name in PLAINS:
        deployment.set_faults(name, delay_ms=700)
    first = client.submit(client.job, 0, 'sale-1')
    deployment.wait_for('the job', lambda: bool(client.executions('/job')))
    deployment.processes[deployment.entry_names()[0]].kill()
    second = client.job(1, 'sale-1')
    assert first.result().status == 0
    assert second.status == 200
    assert len(client.executions('/job')) == 1


def test_keyed_job_with_a_killed_agent_is_unknown_for_good(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P4, P3: the key's memory is lost, so nobody runs it again."""
    for name in PLAINS:
        deployment.set_faults(name, delay_ms=700)
    first = client.submit(client.job, 0, 'sale-2')
    deployment.wait_for('the job', lambda: bool(client.executions('/job')))
    (ran,) = busy(deployment, PLAINS)
    zone = ran.removeprefix('plain-till-')
    agent = f'till-{zone}-0'
    deployment.restart_agent(agent)
    assert first.result().outcome == 'unknown'
    assert client.job(1, 'sale-2').outcome == 'unknown'
    assert len(client.executions('/job')) == 1


def test_frozen_agent_answers_both_submissions_once_thawed(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P4, P2: a pause delays the one answer and doubles nothing."""
    for name in PLAINS:
        deployment.set_faults(name, delay_ms=400)
    first = client.submit(client.job, 0, 'sale-3')
    deployment.wait_for('the job', lambda: bool(client.executions('/job')))
    (ran,) = busy(deployment, PLAINS)
    agent = f'till-{ran.removeprefix("plain-till-")}-0'
    deployment.processes[agent].freeze()
    second = client.submit(client.job, 1, 'sale-3')
    deployment.wait_for('the claim', lambda: claimed(deployment))
    deployment.processes[agent].thaw()
    assert first.result().status == second.result().status == 200
    assert first.result().body == second.result().body
    assert len(client.executions('/job')) == 1


def claimed(deployment: launcher.Deployment) -> bool:
    """Return whether any key is claimed."""
    streams = deployment.fetch_record('log')['streams']
    return any(streams[name] for name in streams if 'claims' in name)


def test_platform_outage(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P4, P7, P1: tickets run, other keys wait, fleet and steps go on."""
    ticket = client.post(0, '/v1/tickets', {'service': 'till'})
    key = json.loads(ticket.body)['idempotency_key']
    deployment.set_faults('log', down=1)
    deployment.wait_for(
        'the entries to notice',
        lambda: (
            not any(
                (deployment.fetch_entry_status(name) or {}).get('log_up')
                for name in deployment.entry_names()
            )
        ),
    )
    steps = one_map(deployment)
    deployment.wait_for('steps', lambda: one_map(deployment) > steps + 100)
    assert client.ping(0).status == 200
    assert client.job(0, key).body == client.job(1, key).body
    refused = client.job(0, 'sale-4')
    assert refused.status == 503
    assert refused.outcome == 'unknown'
    assert 'retry-after' in refused.headers
    assert len(client.executions('/job')) == 1
    status = deployment.fetch_entry_status(deployment.entry_names()[0])
    assert status is not None
    assert status['version'] > 0
    deployment.set_faults('log', down=0)
    deployment.wait_for(
        'the log', lambda: client.job(0, 'sale-4').status == 200
    )
    assert len(client.executions('/job')) == 2


def test_lost_append_answers(
    deployment: launcher.Deployment,
    client: deployment_client.DeploymentClient,
    tmp_path: pathlib.Path,
) -> None:
    """P4, P7: an append that took effect is neither lost nor doubled."""
    deployment.set_faults('log', lose_answers=2)
    assert client.job(0, 'sale-5').status == 200
    document = json.loads(deployment.fleet_file.read_text())
    document['name'] = 'renamed'
    changed = tmp_path / 'changed.json'
    changed.write_text(json.dumps(document))
    deployment.set_faults('log', lose_answers=1)
    result = deployment.run_operator_command('apply', str(changed))
    assert result.returncode == 0, result.stderr
    history = json.loads(
        deployment.run_operator_command('history', '--json').stdout
    )
    assert len(history) == 2
    assert len(client.executions('/job')) == 1


def test_lost_endpoint_answer_is_unknown(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P3, P4: the endpoint ran the job, and its answer is lost, twice."""
    for name in PLAINS:
        deployment.set_faults(name, lose_answers=2)
    assert client.job(0, 'sale-6').outcome == 'unknown'
    assert client.job(1, 'sale-6').outcome == 'unknown'
    assert len(client.executions('/job')) == 1


def test_stream_resumes_after_a_killed_agent(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P2, P1: the other rank goes on, once the agent is replaced."""
    stream = client.submit(client.stream, 0, 'Credo', 300)
    deployment.wait_for('the stream', lambda: bool(streaming(deployment)))
    (name,) = streaming(deployment)
    deployment.restart_agent(name)
    assert stream.result().text() == engine.generate_text('Credo', 300)
    one_map(deployment)


def streaming(deployment: launcher.Deployment) -> list[str]:
    """Return the endpoints where an entry has work."""
    names = set()
    for entry in deployment.entry_names():
        status = deployment.fetch_entry_status(entry)
        for endpoint in status['endpoints'] if status else []:
            if endpoint['in_flight_here']:
                names.add(endpoint['name'])
    return sorted(names)


def test_frozen_leader_and_stalled_rank(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P1: the group waits and goes on, with one map in each step."""
    before = one_map(deployment)
    leader = deployment.processes['group-0-0']
    leader.freeze()
    deployment.set_faults('engine-group-0', stall=[1])
    leader.thaw()
    deployment.set_faults('engine-group-0', stall=[])
    deployment.wait_for(
        'more steps', lambda: one_map(deployment) > before + 500
    )
    assert client.stream(0, 'Sanctus', 20).text() == engine.generate_text(
        'Sanctus', 20
    )


def test_replaced_rank(deployment: launcher.Deployment) -> None:
    """P1: a rank loses engine state and agent; the group forms anew."""
    before = one_map(deployment)
    deployment.processes['group-0-1'].kill()
    deployment.set_faults('engine-group-0', replace=[1])
    deployment.restart_agent('group-0-1')
    deployment.wait_for(
        'more steps', lambda: one_map(deployment) > before + 300
    )


def test_graceful_shutdowns_cut_nothing(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P6, P5: SIGTERM at the agent and at the entry, under streams."""
    streams = [
        client.submit(client.stream, 0, f'Agnus {n}', 300) for n in range(4)
    ]
    deployment.wait_for('streams', lambda: len(streaming(deployment)) == 2)
    entry = deployment.processes[deployment.entry_names()[0]]
    agent = deployment.processes['group-0-1']
    entry.terminate()
    agent.terminate()
    for number, stream in enumerate(streams):
        right = engine.generate_text(f'Agnus {number}', 300)
        assert stream.result().text() == right
    assert entry.wait() == 0
    assert agent.wait() == 0


def test_drained_endpoint_gets_no_new_work(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """P5: the agent itself refuses, whatever an entry still believes."""
    deployment.set_faults('hosts', lag_ms=60_000)
    assert deployment.run_operator_command('drain', AGENTS[0]).returncode == 0
    deployment.wait_for(
        'the drain',
        lambda: all(
            leaving(deployment, entry, AGENTS[0])
            for entry in deployment.entry_names()
        ),
    )
    before = len(deployment.fetch_record(PLAINS[0])['runs'])
    for _ in range(20):
        assert client.ping(0).status == 200
    assert len(deployment.fetch_record(PLAINS[0])['runs']) == before


def leaving(deployment: launcher.Deployment, entry: str, name: str) -> bool:
    """Return whether an entry sees the endpoint as leaving."""
    status = deployment.fetch_entry_status(entry)
    assert status is not None
    rows = [e for e in status['endpoints'] if e['name'] == name]
    return bool(rows) and rows[0]['leaving']


def test_fresh_entry_without_platform_learns_from_a_peer(
    deployment: launcher.Deployment,
) -> None:
    """P7: a fresh host in a cut-off zone has the newest known fleet."""
    deployment.set_faults('log', down=1)
    peers = [
        deployment.processes[name].ready_message['peer_port']
        for name in deployment.entry_names()
    ]
    deployment.entry_peers = peers
    fresh = deployment.start_entry('entry-fresh', 'zone-a')
    fresh.wait_ready()
    deployment.wait_for(
        'the fleet',
        lambda: (
            (deployment.fetch_entry_status('entry-fresh') or {}).get(
                'version', 0
            )
            > 0
        ),
    )


def test_racing_operators(
    deployment: launcher.Deployment, tmp_path: pathlib.Path
) -> None:
    """P7, P8: one winner, a conflict for the other, both in the audit."""
    document = json.loads(deployment.fleet_file.read_text())
    paths = []
    for name in ('mine', 'yours'):
        document['name'] = name
        path = tmp_path / f'{name}.json'
        path.write_text(json.dumps(document))
        paths.append(str(path))
    first = deployment.run_operator_command('apply', paths[0], '--base=1')
    second = deployment.run_operator_command('apply', paths[1], '--base=1')
    assert first.returncode == 0
    assert second.returncode == 3
    assert '4001' in second.stderr
    assert '/name' in second.stderr
    shown = json.loads(deployment.run_operator_command('show').stdout)
    assert shown['name'] == 'mine'


@pytest.mark.parametrize('delay_ms', [0, 300])
def test_popularity_that_shifts_changes_the_map(
    deployment: launcher.Deployment, delay_ms: int
) -> None:
    """P1, P8: a rebalanced map comes in force, from a slow log too."""
    deployment.set_faults('log', delay_ms=delay_ms)
    popularity = [1.0] * 7 + [12.0]
    deployment.set_faults('engine-group-0', popularity=popularity)

    def newer() -> bool:
        steps = deployment.fetch_record('engine-group-0')['steps']
        return len({maps[0] for _, maps in steps}) > 1

    deployment.wait_for('a new map', newer)
    one_map(deployment)
    audit = deployment.run_operator_command('audit', '--kind=map').stdout
    assert 'skew' in audit
