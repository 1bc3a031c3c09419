"""The commands of ``aspenfold-plan`` on plans from files."""

import json
import pathlib

import pytest

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import plans
from aspenfold._internal import exceptions
from aspenfold._internal.gateway import plan
from aspenfold.platform import config
from tests.lib import gateway_rig as rigs


def decode(value: dict[str, object]) -> plan.Plan:
    """Decode a plan from the platform's format."""
    return config.decode(json.dumps(value).encode())


def plan_with_routes(
    *routes: dict[str, object], **fields: object
) -> plan.Plan:
    """Return the example plan with other routes and fields."""
    return decode(rigs.make_plan(routes=list(routes), **fields))


def test_valid_plan_is_summarised_without_its_keys(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The organisations' keys are secrets."""
    valid = decode(rigs.make_plan(4))
    assert (
        plans.ValidateCommand().run(valid, as_json=False)
        is exit_status.ExitStatus.OK
    )
    text = capsys.readouterr().out
    assert 'version' in text
    assert rigs.KEY not in text


def test_all_errors_are_reported_at_once() -> None:
    """Each error names its route or organisation."""
    invalid = plan_with_routes(
        rigs.make_route('/a/', 'safe'),
        rigs.make_route('/a/', 'safe'),
        rigs.make_route('/b', 'safe', service='none'),
        rigs.make_route('/c/', 'safe', target_latency_ms=9000),
        rigs.make_route(
            '/d/',
            'safe',
            weighted_clusters=[{'service': 'plain', 'weight': 0}],
        ),
        tenants=[
            {'name': 'one', 'api_keys': ['k']},
            {'name': 'two', 'api_keys': ['k']},
        ],
    )
    errors = [
        (str(row['where']).rpartition(rigs.HOST)[2], str(row['mistake']))
        for row in plans.find_errors(invalid)
    ]
    assert errors == [
        ('/a/', 'is defined more than once'),
        ('/b', 'its prefix does not begin and end with /'),
        ('/b', "no service is named 'none'"),
        ('/c/', 'its objective is longer than its timeout'),
        ('/d/', 'all its weights are 0'),
        ('organisation two', 'shares a key with one'),
    ]


def test_invalid_plan_file_is_a_config_error(
    tmp_path: pathlib.Path,
) -> None:
    """The error says whether the file or a field in it is the problem."""
    path = tmp_path / 'plan.json'
    with pytest.raises(exceptions.ConfigError, match='cannot read'):
        plans.load_plan(str(path), config.decode)
    path.write_text('{"version": "x"}')
    with pytest.raises(exceptions.ConfigError, match='version') as caught:
        plans.load_plan(str(path), config.decode)
    assert caught.value.failure.code is exceptions.Code.CONFIG_INVALID


def test_explain_shows_the_longest_prefix_as_used(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The other matching routes follow."""
    example = plan_with_routes(
        rigs.make_route('/a/', 'safe'),
        rigs.make_route('/a/b/', 'unsafe'),
        rigs.make_route('/z/', 'safe'),
    )
    command = plans.ExplainCommand()
    status = command.run(example, rigs.HOST, '/a/b/c', as_json=True)
    assert status is exit_status.ExitStatus.OK
    rows = json.loads(capsys.readouterr().out)
    assert [(r['prefix'], r['used']) for r in rows] == [
        ('/a/b/', True),
        ('/a/', False),
    ]
    status = command.run(example, rigs.HOST, '/none', as_json=True)
    assert status is exit_status.ExitStatus.FAILED


def test_changes_show_old_and_new_values_and_count_keys() -> None:
    """Changes of keys are counted, as keys are secrets."""
    old = plan_with_routes(
        rigs.make_route('/a/', 'safe'), rigs.make_route('/b/', 'safe')
    )
    new = plan_with_routes(
        rigs.make_route('/a/', 'safe', max_attempts=3),
        rigs.make_route('/c/', 'safe'),
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
        'organisation one: 1 keys added, 1 removed',
        'limits changed: body_bytes 10000 to 5',
    ]
