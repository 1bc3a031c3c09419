"""Entries, agents and the operator's commands as real processes."""

import collections
import json
import pathlib

import pytest
from tests.lib import deployment_client

from aspenfold_standins import engine
from aspenfold_standins import launcher

PLAIN_ENDPOINTS = ('plain-till-zone-a', 'plain-till-zone-b')
PLAIN_AGENTS = ('till-zone-a-0', 'till-zone-b-0')


@pytest.fixture
def client(
    deployment: launcher.Deployment,
) -> deployment_client.DeploymentClient:
    """Return a client of the small deployment."""
    return deployment_client.DeploymentClient(deployment)


def endpoints_with_runs(
    deployment: launcher.Deployment, names: tuple[str, ...]
) -> list[str]:
    """Return those endpoints that have executed a request."""
    return [name for name in names if deployment.fetch_record(name)['runs']]


def count_single_map_steps(deployment: launcher.Deployment) -> int:
    """Check that no step used two map versions; return the number of steps."""
    steps = deployment.fetch_record('engine-group-0')['steps']
    mixed = [step for step, maps in steps if len(set(maps)) != 1]
    assert mixed == []
    return len(steps)


def test_keyed_job_runs_once_if_an_entry_is_killed(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """A resubmission at another entry must not run the job again."""
    for name in PLAIN_ENDPOINTS:
        deployment.set_faults(name, delay_ms=700)
    first = client.submit(client.job, 0, 'sale-1')
    deployment.wait_for('the job', lambda: bool(client.executions('/job')))
    deployment.processes[deployment.entry_names()[0]].kill()
    second = client.job(1, 'sale-1')
    assert first.result().status == 0
    assert second.status == 200
    assert len(client.executions('/job')) == 1


def test_keyed_job_of_a_killed_agent_stays_unknown(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """A new agent cannot know of earlier runs, so the job must not rerun."""
    for name in PLAIN_ENDPOINTS:
        deployment.set_faults(name, delay_ms=700)
    first = client.submit(client.job, 0, 'sale-2')
    deployment.wait_for('the job', lambda: bool(client.executions('/job')))
    (ran,) = endpoints_with_runs(deployment, PLAIN_ENDPOINTS)
    zone = ran.removeprefix('plain-till-')
    agent = f'till-{zone}-0'
    deployment.restart_agent(agent)
    assert first.result().outcome == 'unknown'
    assert client.job(1, 'sale-2').outcome == 'unknown'
    assert len(client.executions('/job')) == 1


def test_frozen_agent_answers_both_submissions_after_thaw(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """A paused agent must not cause a second run or another answer."""
    for name in PLAIN_ENDPOINTS:
        deployment.set_faults(name, delay_ms=400)
    first = client.submit(client.job, 0, 'sale-3')
    deployment.wait_for('the job', lambda: bool(client.executions('/job')))
    (ran,) = endpoints_with_runs(deployment, PLAIN_ENDPOINTS)
    agent = f'till-{ran.removeprefix("plain-till-")}-0'
    deployment.processes[agent].freeze()
    second = client.submit(client.job, 1, 'sale-3')
    deployment.wait_for('the claim', lambda: has_claims(deployment))
    deployment.processes[agent].thaw()
    assert first.result().status == second.result().status == 200
    assert first.result().body == second.result().body
    assert len(client.executions('/job')) == 1


def has_claims(deployment: launcher.Deployment) -> bool:
    """Return whether the log holds a claim of a key."""
    streams = deployment.fetch_record('log')['streams']
    return any(streams[name] for name in streams if 'claims' in name)


def test_log_outage_stops_only_keyed_calls_without_ticket(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """Without the log, keyed calls need tickets; others must succeed."""
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
    steps = count_single_map_steps(deployment)
    deployment.wait_for(
        'steps', lambda: count_single_map_steps(deployment) > steps + 100
    )
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


def test_lost_append_responses_do_not_repeat_the_append(
    deployment: launcher.Deployment,
    client: deployment_client.DeploymentClient,
    tmp_path: pathlib.Path,
) -> None:
    """An append without an answer must be neither lost nor repeated."""
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
    """A job whose answer was lost must not be reported as not run."""
    for name in PLAIN_ENDPOINTS:
        deployment.set_faults(name, lose_answers=2)
    assert client.job(0, 'sale-6').outcome == 'unknown'
    assert client.job(1, 'sale-6').outcome == 'unknown'
    assert len(client.executions('/job')) == 1


def test_stream_resumes_after_a_killed_agent(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """A stream must not end or repeat text when its agent is killed."""
    stream = client.submit(client.stream, 0, 'Credo', 300)
    deployment.wait_for(
        'the stream', lambda: bool(endpoints_in_use(deployment))
    )
    (name,) = endpoints_in_use(deployment)
    deployment.restart_agent(name)
    assert stream.result().text() == engine.generate_text('Credo', 300)
    count_single_map_steps(deployment)


def requests_in_flight(
    deployment: launcher.Deployment,
) -> collections.Counter[str]:
    """Return how many requests of all entries each endpoint has."""
    counts: collections.Counter[str] = collections.Counter()
    for entry in deployment.entry_names():
        status = deployment.fetch_entry_status(entry)
        for endpoint in status['endpoints'] if status else []:
            counts[endpoint['name']] += endpoint['in_flight_here']
    return +counts


def endpoints_in_use(deployment: launcher.Deployment) -> list[str]:
    """Return the endpoints with requests of an entry in flight."""
    return sorted(requests_in_flight(deployment))


def test_group_continues_after_frozen_leader_and_stalled_rank(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """A paused leader and a stalled rank must not mix two maps."""
    before = count_single_map_steps(deployment)
    leader_agent = deployment.processes['group-0-0']
    leader_agent.freeze()
    deployment.set_faults('engine-group-0', stall=[1])
    leader_agent.thaw()
    deployment.set_faults('engine-group-0', stall=[])
    deployment.wait_for(
        'more steps', lambda: count_single_map_steps(deployment) > before + 500
    )
    assert client.stream(0, 'Sanctus', 20).text() == engine.generate_text(
        'Sanctus', 20
    )


def test_group_continues_after_rank_is_replaced(
    deployment: launcher.Deployment,
) -> None:
    """The group must recover when a rank loses its engine and agent."""
    before = count_single_map_steps(deployment)
    deployment.processes['group-0-1'].kill()
    deployment.set_faults('engine-group-0', replace=[1])
    deployment.restart_agent('group-0-1')
    deployment.wait_for(
        'more steps', lambda: count_single_map_steps(deployment) > before + 300
    )


def test_sigterm_does_not_truncate_streams(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """SIGTERM to an agent and an entry must not truncate streams."""
    streams = [
        client.submit(client.stream, 0, f'Agnus {n}', 300) for n in range(4)
    ]

    def all_streams_have_begun() -> bool:
        counts = requests_in_flight(deployment)
        return counts.total() == len(streams) and len(counts) == 2

    deployment.wait_for('streams', all_streams_have_begun)
    entry = deployment.processes[deployment.entry_names()[0]]
    agent = deployment.processes['group-0-1']
    entry.terminate()
    agent.terminate()
    for number, stream in enumerate(streams):
        expected = engine.generate_text(f'Agnus {number}', 300)
        assert stream.result().text() == expected
    assert entry.wait() == 0
    assert agent.wait() == 0


def test_drained_endpoint_gets_no_new_work(
    deployment: launcher.Deployment, client: deployment_client.DeploymentClient
) -> None:
    """A drain must take effect even while the host list is outdated."""
    deployment.set_faults('hosts', lag_ms=60_000)
    assert (
        deployment.run_operator_command('drain', PLAIN_AGENTS[0]).returncode
        == 0
    )
    deployment.wait_for(
        'the drain',
        lambda: all(
            is_leaving(deployment, entry, PLAIN_AGENTS[0])
            for entry in deployment.entry_names()
        ),
    )
    before = len(deployment.fetch_record(PLAIN_ENDPOINTS[0])['runs'])
    for _ in range(20):
        assert client.ping(0).status == 200
    assert len(deployment.fetch_record(PLAIN_ENDPOINTS[0])['runs']) == before


def is_leaving(deployment: launcher.Deployment, entry: str, name: str) -> bool:
    """Return whether an entry has marked the endpoint as leaving."""
    status = deployment.fetch_entry_status(entry)
    assert status is not None
    endpoints = [e for e in status['endpoints'] if e['name'] == name]
    return bool(endpoints) and endpoints[0]['leaving']


def test_new_entry_without_log_gets_the_fleet_from_a_peer(
    deployment: launcher.Deployment,
) -> None:
    """An entry that starts while the log is down must get the fleet."""
    deployment.set_faults('log', down=1)
    peers = [
        deployment.processes[name].ready_message['peer_port']
        for name in deployment.entry_names()
    ]
    deployment.entry_peer_ports = peers
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


def test_second_of_two_racing_operators_gets_a_conflict(
    deployment: launcher.Deployment, tmp_path: pathlib.Path
) -> None:
    """Of two changes to the same version, only one may be accepted."""
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
def test_shifted_popularity_changes_the_map(
    deployment: launcher.Deployment, delay_ms: int
) -> None:
    """A new map must be used and audited, even with a slow log."""
    deployment.set_faults('log', delay_ms=delay_ms)
    popularity = [1.0] * 7 + [12.0]
    deployment.set_faults('engine-group-0', popularity=popularity)

    def has_two_versions() -> bool:
        steps = deployment.fetch_record('engine-group-0')['steps']
        return len({maps[0] for _, maps in steps}) > 1

    deployment.wait_for('a new map', has_two_versions)
    count_single_map_steps(deployment)
    audit = deployment.run_operator_command('audit', '--kind=map').stdout
    assert 'skew' in audit
