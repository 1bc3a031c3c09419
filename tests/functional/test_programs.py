"""Programs report errors with a code and without a traceback."""

import concurrent.futures
import json
import pathlib
import socket
import subprocess
import sys
import threading

import pytest
from tests.lib import deployment_client
import urllib3

from aspenfold_standins import launcher

CONCURRENT_CALLERS = 120
BIN = pathlib.Path(sys.executable).parent


def run(program: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a program until it exits."""
    return subprocess.run(
        [str(BIN / program), *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


@pytest.mark.parametrize('program', ['aspenfold-entry', 'aspenfold-agent'])
def test_missing_settings_file_is_named(program: str) -> None:
    """Server programs exit with the usage status."""
    result = run(program, '/nowhere.json')
    assert result.returncode == 2
    assert '[5000] cannot read /nowhere.json' in result.stderr
    assert 'Traceback' not in result.stderr


def test_port_in_use_names_the_setting(tmp_path: pathlib.Path) -> None:
    """The error must say which setting has the port."""
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        settings = tmp_path / 'agent.json'
        settings.write_text(
            json.dumps(
                {
                    'name': 'a',
                    'availability_zone': 'z',
                    'listen': {'address': '127.0.0.1', 'port': port},
                    'endpoint': {'address': '127.0.0.1', 'port': 1},
                    'service': 's',
                    'kind': 'plain',
                    'operations': {},
                    'system_key': 'k' * 16,
                }
            )
        )
        result = run('aspenfold-agent', str(settings))
    assert result.returncode == 1
    assert '[5001]' in result.stderr
    assert 'listen.port' in result.stderr
    assert 'Traceback' not in result.stderr


def test_operator_command_without_settings_fails() -> None:
    """The command exits with the usage status."""
    result = run('aspenfold', 'status')
    assert result.returncode == 2
    assert 'Traceback' not in result.stderr


def test_entry_reports_errors_health_and_metrics(
    deployment: launcher.Deployment,
) -> None:
    """Covers oversized bodies, unknown paths and missing credentials."""
    client = deployment_client.DeploymentClient(deployment)
    large = client.post(0, '/services/till/ping', {'x': 'y' * 1_100_000})
    assert (large.status, large.code) == (413, 1004)
    unknown = client.post(0, '/nothing/here', {})
    assert (unknown.status, unknown.code) == (404, 4005)
    assert client.ping(0).status == 200
    entry = deployment.processes[deployment.entry_names()[0]]
    pool = urllib3.PoolManager()
    ready = pool.request('GET', entry.url + '/health/ready')
    assert ready.status == 200
    admin = pool.request('GET', entry.url + '/admin/status')
    assert admin.status == 401
    metrics = pool.request('GET', entry.url + '/metrics').data.decode()
    assert 'aspenfold_call_quantile_seconds{' in metrics
    assert 'aspenfold_refusals_total{label="1004"}' not in metrics
    assert 'aspenfold_config_version 1.0' in metrics


def test_concurrent_connections_are_not_reset(
    deployment: launcher.Deployment,
) -> None:
    """A too short listen queue lets the kernel reset connections."""
    entry = deployment.processes[deployment.entry_names()[0]]
    start = threading.Barrier(CONCURRENT_CALLERS)

    def ping() -> int:
        pool = urllib3.PoolManager(retries=False)
        start.wait()
        url = entry.url + '/services/till/ping'
        headers = deployment_client.HEADERS
        return pool.request('POST', url, json={}, headers=headers).status

    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_CALLERS) as executor:
        futures = [executor.submit(ping) for _ in range(CONCURRENT_CALLERS)]
        statuses = {future.result() for future in futures}
    assert statuses == {200}
