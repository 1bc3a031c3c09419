"""The table of what endpoints state, beside the code that reads it."""

import collections
import pathlib
import re

from aspenfold.platform import endpoint_records
from aspenfold.platform import endpoint_statements
from aspenfold.platform import engine

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'PLATFORM.md'
SECTION = '## What endpoints state'

KNOWN = {
    'header': {name.decode() for name in endpoint_statements.KNOWN_HEADERS},
    'entry': endpoint_records.IGNORED_FIELDS
    | endpoint_records._Entry.model_fields.keys(),
    'report': engine.IGNORED_REPORT_FIELDS
    | engine._Report.model_fields.keys(),
    'group': set(engine._Group.model_fields),
    'armed': set(engine._Armed.model_fields),
    'counts': set(engine._Counts.model_fields),
    'lists': set(engine._Lists.model_fields),
    'map': set(engine._RankMap.model_fields),
}
"""The names that the code knows, by where they stand."""


def rows() -> list[list[str]]:
    """Return the cells of each row of the table."""
    text = PAGE.read_text(encoding='utf-8')
    section = text.partition(SECTION)[2].partition('\n## ')[0]
    lines = [x for x in section.splitlines() if x.startswith('| ')]
    return [[c.strip() for c in x.strip('|').split('|')] for x in lines[2:]]


def test_every_name_that_the_code_knows_has_one_row() -> None:
    """A name without a row, or without code, is a rule that may be missed."""
    named: dict[str, list[str]] = collections.defaultdict(list)
    for where, names, *_ in rows():
        named[where] += re.findall(r'`([^`]+)`', names)
    assert {k: sorted(v) for k, v in named.items()} == {
        k: sorted(v) for k, v in KNOWN.items()
    }


def test_every_row_has_a_test_or_a_reason() -> None:
    """The tests exist; what nothing reads says why."""
    sources = ''.join(
        path.read_text(encoding='utf-8')
        for path in (ROOT / 'tests').rglob('test_*.py')
    )
    for _, names, decides, reason in rows():
        tests = re.findall(r'`(test_\w+)`', reason)
        assert reason, names
        assert tests or decides.startswith('nothing'), names
        for test in tests:
            assert f'def {test}(' in sources, test
