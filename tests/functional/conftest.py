"""A small deployment of real processes."""

import json
import pathlib
import typing

import pytest
from tests.lib import fleets

from aspenfold_standins import launcher


def small_fleet() -> dict[str, typing.Any]:
    """Return a fleet with a group of two ranks and two plain workers."""
    document = fleets.document()
    document['services'][0]['workers'] = {'zone-a': 1, 'zone-b': 1}
    document['services'][1]['workers'] = {'zone-a': 2}
    document['groups'] = [
        {
            'name': 'group-0',
            'service': 'llm',
            'ranks': 2,
            'experts': 8,
            'slots_per_rank': 5,
        }
    ]
    return document


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path,
) -> typing.Iterator[launcher.Deployment]:
    """Start a deployment and apply the small fleet to it."""
    path = tmp_path / 'fleet.json'
    path.write_text(json.dumps(small_fleet()), encoding='utf-8')
    running = launcher.Deployment(fleet_file=path, directory=tmp_path)
    try:
        running.start()
        result = running.run_operator_command('apply', str(path))
        assert result.returncode == 0, result.stderr
        running.wait_for('both ranks', running.all_ranks_have_map)
        yield running
    finally:
        running.stop()
