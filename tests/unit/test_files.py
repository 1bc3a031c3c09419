"""Mistakes in files are told with file, path, value and remedy."""

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
"""Importing these registered their plug-ins."""

ROOT = pathlib.Path(__file__).resolve().parents[2]


def failure_of(path: pathlib.Path, text: str) -> exceptions.Failure:
    """Load ``text`` as a fleet and return why it is refused."""
    path.write_text(text, encoding='utf-8')
    with pytest.raises(exceptions.ConfigError) as caught:
        apply.load_fleet(str(path))
    return caught.value.failure


@pytest.mark.parametrize(
    ('where', 'value', 'said'),
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
def test_fleet_mistakes(
    tmp_path: pathlib.Path,
    where: tuple[typing.Any, ...],
    value: typing.Any,
    said: str,
) -> None:
    """Each mistake is named, with the file."""
    document = fleets.document()
    place: typing.Any = document
    for step in where[:-1]:
        place = place[step]
    place[where[-1]] = value
    path = tmp_path / 'fleet.json'
    failure = failure_of(path, json.dumps(document))
    assert failure.code is exceptions.Code.CONFIG_INVALID
    assert said in failure.detail
    assert str(path) in failure.detail
    assert failure.remedy


def test_three_mistakes_are_told_together(tmp_path: pathlib.Path) -> None:
    """An operator mends them all in one go."""
    document = fleets.document()
    document['name'] = 'NO'
    document['extra'] = 1
    document['format'] = 2
    failure = failure_of(tmp_path / 'f.json', json.dumps(document))
    for name in ('name', 'extra', 'format'):
        assert f'{name}: ' in failure.detail


def test_broken_json_and_missing_file(tmp_path: pathlib.Path) -> None:
    """The line and column are told; a missing file is named."""
    failure = failure_of(tmp_path / 'f.json', '{\n  "a": }')
    assert 'line 2' in failure.detail
    with pytest.raises(exceptions.ConfigError) as caught:
        apply.load_fleet(str(tmp_path / 'nothing.json'))
    assert 'nothing.json' in caught.value.failure.detail


def test_settings_without_a_port(tmp_path: pathlib.Path) -> None:
    """A missing setting is named by its path."""
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
def test_policy_names_are_those_of_the_plug_ins(
    kind: str, allowed: typing.Any
) -> None:
    """A name that a fleet may use is registered, and no other is."""
    assert sorted(typing.get_args(allowed)) == registry.names(kind)


@pytest.mark.parametrize('name', ['partitions', 'calabash'])
def test_example_fleets_are_valid(name: str) -> None:
    """The example fleets pass their own checks."""
    document = apply.load_fleet(str(ROOT / 'examples' / f'{name}.json'))
    workers = {
        service['kind']: sum(service['workers'].values())
        for service in document['services']
    }
    assert workers == {'model': 16, 'plain': 3}
    assert len(document['organisations']) == 10
