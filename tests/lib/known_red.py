"""Passes over the failing tests that ``KNOWN-RED.txt`` lists, and no others.

An entry is a block of ``field: value`` lines, with all fields of
:class:`Entry`; blank lines separate entries and lines that start with ``#``
are comments.  A listed test must fail: one that passes fails the run, so that
its entry is removed.
"""

from collections import abc
import dataclasses
import pathlib

import pytest

FILE_NAME = 'KNOWN-RED.txt'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A known failure.

    ``test`` is the pytest id, ``command`` shows the failure (with the seed,
    if any), ``seen`` is what it shows and ``issue`` the open issue's number.
    """

    test: str
    command: str
    seen: str
    issue: str


FIELDS = tuple(field.name for field in dataclasses.fields(Entry))


def parse(text: str) -> list[Entry]:
    """Parse the list; raises a UsageError that names a malformed entry."""
    lines = [line for line in text.splitlines() if line[:1] != '#']
    blocks = '\n'.join(lines).split('\n\n')
    return [_parse_entry(block) for block in blocks if block.strip()]


def _parse_entry(block: str) -> Entry:
    pairs = [line.partition(':') for line in block.strip().splitlines()]
    values = {name.strip(): value.strip() for name, _, value in pairs}
    if tuple(values) != FIELDS or len(pairs) != len(FIELDS):
        raise pytest.UsageError(
            f'{FILE_NAME}: an entry needs the lines {", ".join(FIELDS)}, '
            f'in this order: {block!r}'
        )
    if not all(values.values()):
        raise pytest.UsageError(f'{FILE_NAME}: a value is empty: {block!r}')
    return Entry(**values)


class Plugin:
    """Marks the listed tests as expected to fail, and reports on them."""

    def __init__(self, *, root: pathlib.Path) -> None:
        """``root`` is the directory of the list, which may be missing."""
        path = root / FILE_NAME
        text = path.read_text(encoding='utf-8') if path.exists() else ''
        entries = parse(text)
        self._entries = {entry.test: entry for entry in entries}
        if len(self._entries) != len(entries):
            raise pytest.UsageError(f'{FILE_NAME}: a test is listed twice')
        for test in self._entries:
            if not (root / test.partition('::')[0]).is_file():
                raise pytest.UsageError(f'{FILE_NAME}: {test}: no such file')
        self._outcomes: dict[str, str] = {}

    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: abc.Sequence[pytest.Item]
    ) -> None:
        """Mark the listed tests; a test of a collected file must exist."""
        collected = {item.nodeid for item in items}
        whole_files = not any('::' in arg for arg in config.args)
        files = {name.partition('::')[0] for name in collected}
        for test in self._entries if whole_files else ():
            if test.partition('::')[0] in files and test not in collected:
                raise pytest.UsageError(f'{FILE_NAME}: {test}: no such test')
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is not None:
                reason = f'{FILE_NAME}, issue {entry.issue}: {entry.seen}'
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note how the listed tests ended."""
        if report.nodeid not in self._entries:
            return
        if report.when == 'call' or report.outcome != 'passed':
            failed_as_known = report.outcome == 'skipped'
            self._outcomes[report.nodeid] = (
                'failed, as listed'
                if failed_as_known
                else f'PASSED; remove its entry from {FILE_NAME}'
            )

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the listed tests that ran."""
        for test, outcome in self._outcomes.items():
            entry = self._entries[test]
            terminalreporter.write_line(f'known red: {test}: {outcome}')
            terminalreporter.write_line(
                f'    issue {entry.issue}: {entry.seen}; {entry.command}'
            )
