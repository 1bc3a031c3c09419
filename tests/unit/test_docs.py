"""The generated pages and the links of the documentation."""

import pathlib
import re

import pytest
from tools import write_tables

from aspenfold._internal import exceptions
from aspenfold._internal.observability import events

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_generated_pages_are_current() -> None:
    """``python -m tools.write_tables`` must have been run."""
    assert write_tables.stale_pages() == []


def test_every_code_and_event_is_used() -> None:
    """Unused codes and events must not be documented."""
    sources = ''.join(
        path.read_text(encoding='utf-8')
        for path in (ROOT / 'src').rglob('*.py')
        if path.name not in ('exceptions.py', 'events.py')
    )
    unused = [
        code.name
        for code in exceptions.Code
        if not re.search(rf'Code\.{code.name}\b', sources)
    ]
    unused += [
        event.name
        for event in events.Event
        if not re.search(rf'Event\.{event.name}\b', sources)
    ]
    assert unused == []


def test_relative_links_are_valid() -> None:
    """Relative links must name existing files."""
    broken = []
    for page in [*ROOT.glob('*.md'), *(ROOT / 'docs').glob('*.md')]:
        text = page.read_text(encoding='utf-8')
        for target in re.findall(r'\]\(([^)#:]+)\)', text):
            if not (page.parent / target).exists():
                broken.append(f'{page.name}: {target}')
    assert broken == []


@pytest.mark.parametrize('page', ['PLATFORM.md', 'PROOFS.md'])
def test_every_test_that_a_page_names_exists(page: str) -> None:
    """A renamed test would leave a proof that is none."""
    tests = ROOT / 'tests'
    files = {path.name: path for path in tests.rglob('test_*.py')}
    sources = ''.join(path.read_text('utf-8') for path in files.values())
    text = (ROOT / 'docs' / page).read_text('utf-8')
    named = set(re.findall(r'`(test_\w+(?:\.py)?)`', text))
    assert named
    missing = [
        name
        for name in named
        if name not in files and f'def {name}(' not in sources
    ]
    assert not missing
