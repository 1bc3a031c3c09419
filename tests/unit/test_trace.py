"""One request's story out of the logs of several processes."""

import json
import pathlib

import pytest

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import trace
from aspenfold._internal import exceptions

LINES = [
    {'event': 202, 'call': 'a', 'timestamp': 3.0, 'code': 1102},
    {'event': 300, 'call': 'a', 'timestamp': 1.0, 'endpoint': 'w-1'},
    {'event': 300, 'call': 'b', 'timestamp': 2.0, 'endpoint': 'w-2'},
    {'event': 301, 'call': 'a', 'timestamp': 2.0, 'left_out': {'x': 4}},
    {'event': 999, 'call': 'a', 'timestamp': 4.0},
]


def logs(tmp_path: pathlib.Path) -> list[str]:
    """Write two logs: a plain one, and one with a collector's prefix."""
    plain = tmp_path / 'one.log'
    plain.write_text('\n'.join(json.dumps(x) for x in LINES[:2]) + '\nx {\n')
    prefixed = tmp_path / 'two.log'
    prefixed.write_text(
        '\n'.join(f'  1.5 host-2 {json.dumps(x)}' for x in LINES[2:])
    )
    return [str(plain), str(prefixed)]


def test_lines_come_in_order_from_all_files(tmp_path: pathlib.Path) -> None:
    """Those of other requests and broken lines are left out."""
    lines = trace.read_logs(logs(tmp_path))
    found = trace.request_lines(lines, 'a')
    assert [x.fields['event'] for x in found] == [300, 301, 202, 999]
    assert found[1].source == '1.5 host-2'
    assert trace.count_omitted_lines(lines) == {'x': 4}


def test_the_command_prints_the_story(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """With what was left out; an unknown id fails."""
    command = trace.TraceCommand()
    paths = logs(tmp_path)
    assert command.run('a', paths, as_json=False) is exit_status.Exit.OK
    printed = capsys.readouterr().out
    assert 'CALL_FAILED' in printed
    assert 'code=1102' in printed
    assert '4 lines of x were left out' in printed
    assert command.run('zz', paths, as_json=False) is exit_status.Exit.FAILED


def test_a_missing_log_is_named() -> None:
    """With what to do."""
    with pytest.raises(exceptions.ConfigError, match='nowhere.log'):
        trace.read_logs(['nowhere.log'])
