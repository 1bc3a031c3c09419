"""Errors in fleet and settings files name the file, field and remedy."""

import json
import pathlib
import typing

import pytest
from tests.lib import fleets

from aspenfold._internal import admission
from aspenfold._internal.commands import apply
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import registry
from aspenfold._internal.leases import leased_tasks
from aspenfold._internal.models import fleet
from aspenfold._internal.models import settings
from aspenfold._internal import retries
from aspenfold._internal import routing

PLUGINS = (admission, leased_tasks, retries, routing)
"""Importing these packages registers their plug-ins."""

ROOT = pathlib.Path(__file__).resolve().parents[2]


def failure_of(path: pathlib.Path, text: str) -> exceptions.Failure:
    """Load ``text`` as a fleet file and return the failure."""
    path.write_text(text, encoding='utf-8')
    with pytest.raises(exceptions.ConfigError) as caught:
        apply.load_fleet(str(path))
    return caught.value.failure


@pytest.mark.parametrize(
    ('path_to_value', 'value', 'message'),
    [
        (('unknown',), 1, 'unknown: Extra inputs'),
        (('rules', 0, 'service'), 'tills', "no such service 'tills'"),
        (('services', 0, 'workers'), {'zone-x': 1}, 'no such availability'),
        (('rules', 0, 'priority'), 'top', "'interactive', 'generation'"),
        (
            ('services', 0, 'policies'),
            {'routing': 'nearest'},
            "'two-choices', 'round-robin' or 'random'",
        ),
        (('services', 0, 'kind'), 'odd', "'model' or 'plain'"),
        (('organisations', 0, 'name'), 'Big Shop', 'organisations.0.name'),
        (('organisations', 0, 'weight'), 0, 'organisations.0.weight'),
        (('organisations', 0, 'credential_sha256'), ['x'], 'should match'),
        (('services', 1, 'name'), 'till', "'till' is listed more than once"),
    ],
)
def test_invalid_fleet_value_is_reported(
    tmp_path: pathlib.Path,
    path_to_value: tuple[typing.Any, ...],
    value: typing.Any,
    message: str,
) -> None:
    """The failure names the invalid value and the file."""
    document = fleets.document()
    container: typing.Any = document
    for key in path_to_value[:-1]:
        container = container[key]
    container[path_to_value[-1]] = value
    path = tmp_path / 'fleet.json'
    failure = failure_of(path, json.dumps(document))
    assert failure.code is exceptions.Code.CONFIG_INVALID
    assert message in failure.detail
    assert str(path) in failure.detail
    assert failure.remedy


def test_all_errors_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """An operator can correct three errors without three attempts."""
    document = fleets.document()
    document['name'] = 'NO'
    document['extra'] = 1
    document['format'] = 2
    failure = failure_of(tmp_path / 'f.json', json.dumps(document))
    for name in ('name', 'extra', 'format'):
        assert f'{name}: ' in failure.detail


def test_invalid_json_and_missing_file(tmp_path: pathlib.Path) -> None:
    """Invalid JSON is reported with its line, a missing file by name."""
    failure = failure_of(tmp_path / 'f.json', '{\n  "a": }')
    assert 'line 2' in failure.detail
    with pytest.raises(exceptions.ConfigError) as caught:
        apply.load_fleet(str(tmp_path / 'nothing.json'))
    assert 'nothing.json' in caught.value.failure.detail


def test_missing_setting_is_reported(tmp_path: pathlib.Path) -> None:
    """The failure names the path of the missing setting."""
    path = tmp_path / 'entry.json'
    path.write_text(
        json.dumps({'name': 'e', 'listen': {'address': '127.0.0.1'}})
    )
    with pytest.raises(exceptions.ConfigError) as caught:
        settings.load(str(path), settings.EntrySettings)
    assert caught.value.failure.code is exceptions.Code.SETTINGS_INVALID
    assert 'listen.port' in caught.value.failure.detail


@pytest.mark.parametrize(
    ('kind', 'allowed'),
    [
        ('routing', fleet.RoutingName),
        ('admission', fleet.AdmissionName),
        ('retry', fleet.RetryName),
        ('map', fleet.PlannerName),
    ],
)
def test_policy_names_match_the_registered_plug_ins(
    kind: str, allowed: typing.Any
) -> None:
    """The schema allows exactly the names that are registered."""
    assert sorted(typing.get_args(allowed)) == registry.names(kind)


@pytest.mark.parametrize('name', ['partitions', 'calabash'])
def test_example_fleets_are_valid(name: str) -> None:
    """The example fleets load and have the expected sizes."""
    document = apply.load_fleet(str(ROOT / 'examples' / f'{name}.json'))
    workers = {
        service['kind']: sum(service['workers'].values())
        for service in document['services']
    }
    assert workers == {'model': 16, 'plain': 3}
    assert len(document['organisations']) == 10
