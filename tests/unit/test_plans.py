"""``aspenfold-plan``: checks, routes and changes, without a store."""

import json
import pathlib

import pytest

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import plans
from aspenfold._internal import exceptions
from aspenfold._internal.gateway import plan
from aspenfold.platform import config
from tests.lib import gateway_rig as rigs


def decoded(value: dict[str, object]) -> plan.Plan:
    """Return a plan as the store has it."""
    return config.decode(json.dumps(value).encode())


def with_routes(*routes: dict[str, object], **more: object) -> plan.Plan:
    """Return the example plan with other routes."""
    return decoded(rigs.plan(routes=list(routes), **more))


def test_a_sound_plan_has_no_mistakes(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """And is summed up without its keys."""
    found = decoded(rigs.plan(4))
    assert (
        plans.ValidateCommand().run(found, as_json=False)
        is exit_status.Exit.OK
    )
    text = capsys.readouterr().out
    assert 'version' in text
    assert rigs.KEY not in text


def test_all_mistakes_are_told_at_once() -> None:
    """Each names what it is about."""
    found = with_routes(
        rigs.route('/a/', 'safe'),
        rigs.route('/a/', 'safe'),
        rigs.route('/b', 'safe', service='none'),
        rigs.route('/c/', 'safe', target_latency_ms=9000),
        rigs.route(
            '/d/',
            'safe',
            weighted_clusters=[{'service': 'plain', 'weight': 0}],
        ),
        tenants=[
            {'name': 'one', 'api_keys': ['k']},
            {'name': 'two', 'api_keys': ['k']},
        ],
    )
    told = [
        (str(row['where']).rpartition(rigs.HOST)[2], str(row['mistake']))
        for row in plans.find_errors(found)
    ]
    assert told == [
        ('/a/', 'stands twice'),
        ('/b', 'its prefix does not begin and end with /'),
        ('/b', "no service is named 'none'"),
        ('/c/', 'its objective is longer than its timeout'),
        ('/d/', 'all its weights are 0'),
        ('organisation two', 'shares a key with one'),
    ]


def test_a_file_that_is_no_plan_is_a_coded_error(
    tmp_path: pathlib.Path,
) -> None:
    """It names the file, and the field that is wrong."""
    path = tmp_path / 'plan.json'
    with pytest.raises(exceptions.ConfigError, match='cannot read'):
        plans.load_plan(str(path), config.decode)
    path.write_text('{"version": "x"}')
    with pytest.raises(exceptions.ConfigError, match='version') as caught:
        plans.load_plan(str(path), config.decode)
    assert caught.value.failure.code is exceptions.Code.CONFIG_INVALID


def test_the_longest_prefix_is_used(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The others that match stand below it."""
    found = with_routes(
        rigs.route('/a/', 'safe'),
        rigs.route('/a/b/', 'unsafe'),
        rigs.route('/z/', 'safe'),
    )
    command = plans.ExplainCommand()
    status = command.run(found, rigs.HOST, '/a/b/c', as_json=True)
    assert status is exit_status.Exit.OK
    rows = json.loads(capsys.readouterr().out)
    assert [(r['prefix'], r['used']) for r in rows] == [
        ('/a/b/', True),
        ('/a/', False),
    ]
    status = command.run(found, rigs.HOST, '/none', as_json=True)
    assert status is exit_status.Exit.FAILED


def test_changes_name_the_fields_and_count_keys() -> None:
    """From what, to what."""
    old = with_routes(rigs.route('/a/', 'safe'), rigs.route('/b/', 'safe'))
    new = with_routes(
        rigs.route('/a/', 'safe', max_attempts=3),
        rigs.route('/c/', 'safe'),
        tenants=[{'name': 'one', 'api_keys': ['other']}],
        limits={
            'max_header_bytes': 4096,
            'max_body_bytes': 5,
            'header_timeout_ms': 400,
            'idle_timeout_ms': 3000,
        },
    )
    assert plans.describe_changes(old, old) == []
    assert plans.describe_changes(old, new) == [
        f'route {rigs.HOST}/c/ added',
        f'route {rigs.HOST}/b/ removed',
        f'route {rigs.HOST}/a/ changed: max_attempts 2 to 3',
        'organisation one: 1 keys added, 1 taken',
        'limits changed: body_bytes 10000 to 5',
    ]
