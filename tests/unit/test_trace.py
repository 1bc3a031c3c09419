"""``aspenfold trace`` finds a request's lines in several logs."""

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
    {
        'event': 301,
        'call': 'a',
        'timestamp': 2.0,
        'body_end': 'close',
        'unfinished_bytes': 31,
        'whole': False,
        'left_out': {'x': 4},
    },
    {'event': 999, 'call': 'a', 'timestamp': 4.0},
]


def write_logs(tmp_path: pathlib.Path) -> list[str]:
    """Write a plain log and one with a collector's prefix; return paths."""
    plain = tmp_path / 'one.log'
    plain.write_text('\n'.join(json.dumps(x) for x in LINES[:2]) + '\nx {\n')
    prefixed = tmp_path / 'two.log'
    prefixed.write_text(
        '\n'.join(f'  1.5 host-2 {json.dumps(x)}' for x in LINES[2:])
    )
    return [str(plain), str(prefixed)]


def test_lines_of_all_files_are_sorted_by_time(tmp_path: pathlib.Path) -> None:
    """Invalid lines and those of other requests are ignored."""
    lines = trace.read_logs(write_logs(tmp_path))
    matching = trace.request_lines(lines, 'a')
    assert [x.fields['event'] for x in matching] == [300, 301, 202, 999]
    assert matching[1].source == '1.5 host-2'
    assert trace.count_dropped_lines(lines) == {'x': 4}


def test_a_request_that_was_kept_back_leads_to_the_crashes() -> None:
    """Other crashes, and those of another quarantine, are left out."""
    fields = [
        {'event': 513, 'call': 'x', 'timestamp': 1.0, 'fingerprints': ['pA']},
        {'event': 513, 'call': 'y', 'timestamp': 2.0, 'fingerprints': ['pB']},
        {'event': 514, 'timestamp': 3.0, 'fingerprint': 'pA'},
        {'event': 514, 'timestamp': 4.0, 'fingerprint': 'pB'},
        {'event': 202, 'call': 'a', 'timestamp': 5.0, 'fingerprint': 'pA'},
    ]
    lines = [trace.LogLine(source='one', fields=f) for f in fields]
    found = trace.request_lines(lines, 'a')
    assert [x.fields['timestamp'] for x in found] == [1.0, 3.0, 5.0]


def test_command_prints_the_lines_of_a_request(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """It also reports dropped lines, and fails for an unknown id."""
    command = trace.TraceCommand()
    paths = write_logs(tmp_path)
    assert command.run('a', paths, as_json=False) is exit_status.ExitStatus.OK
    printed = capsys.readouterr().out
    assert 'CALL_FAILED' in printed
    assert 'code=1102' in printed
    assert 'body_end=close unfinished_bytes=31 whole=False' in printed
    assert '4 lines of x were dropped' in printed
    assert (
        command.run('zz', paths, as_json=False)
        is exit_status.ExitStatus.FAILED
    )


def test_missing_log_file_is_named() -> None:
    """The error must say which of the files cannot be read."""
    with pytest.raises(exceptions.ConfigError, match='nowhere.log'):
        trace.read_logs(['nowhere.log'])
