"""CI passes over exactly the failing tests that are listed."""

import os
import pathlib
import subprocess
import sys

import pytest

from tests.lib import known_red

ROOT = pathlib.Path(__file__).resolve().parents[2]

CONFTEST = """
from tests.lib import known_red

def pytest_configure(config):
    config.pluginmanager.register(known_red.Plugin(root=config.rootpath))
"""

TESTS = """
def test_red():
    assert False

def test_green():
    pass

def test_other_red():
    assert False
"""


def entry(name: str) -> str:
    """Return the entry of a test of the file ``test_it.py``."""
    return (
        f'test: test_it.py::{name}\ncommand: pytest test_it.py\n'
        'seen: it fails\nissue: 1\n'
    )


def run(
    directory: pathlib.Path, listed: str, *args: str
) -> subprocess.CompletedProcess[str]:
    """Run ``TESTS`` with a list of known failures."""
    (directory / 'conftest.py').write_text(CONFTEST, encoding='utf-8')
    (directory / 'test_it.py').write_text(TESTS, encoding='utf-8')
    (directory / 'pytest.ini').write_text('[pytest]\n', encoding='utf-8')
    path = directory / known_red.FILE_NAME
    path.write_text(listed, encoding='utf-8')
    return subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', *args],
        cwd=directory,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )


def test_only_listed_failures_are_passed_over(tmp_path: pathlib.Path) -> None:
    """Another failure must fail the run."""
    result = run(tmp_path, '# a comment\n' + entry('test_red'))
    assert result.returncode == 1
    assert 'FAILED test_it.py::test_other_red' in result.stdout
    assert 'FAILED test_it.py::test_red' not in result.stdout
    both = entry('test_red') + '\n' + entry('test_other_red')
    result = run(tmp_path, both)
    assert result.returncode == 0
    assert 'known red: test_it.py::test_red: failed' in result.stdout
    assert 'issue 1: it fails; pytest test_it.py' in result.stdout


def test_a_listed_test_that_passes_fails_the_run(
    tmp_path: pathlib.Path,
) -> None:
    """Its entry is out of date."""
    result = run(tmp_path, entry('test_green'), '-k', 'green')
    assert result.returncode == 1
    assert 'test_green: PASSED; remove its entry' in result.stdout


@pytest.mark.parametrize(
    ('listed', 'error'),
    [
        (entry('test_red') * 2, 'an entry needs the lines'),
        (entry('test_red') + '\n' + entry('test_red'), 'listed twice'),
        (entry('test_missing'), 'no such test'),
        (entry('test_red').replace('test_it', 'gone'), 'no such file'),
        (entry('test_red').replace('it fails', ''), 'a value is empty'),
        (entry('test_red').replace('issue: 1\n', ''), 'needs the lines'),
    ],
)
def test_a_malformed_list_is_an_error(
    tmp_path: pathlib.Path, listed: str, error: str
) -> None:
    """A test must not be passed over by mistake, nor an entry ignored."""
    result = run(tmp_path, listed)
    assert result.returncode not in (0, 1)
    assert error in result.stdout + result.stderr
