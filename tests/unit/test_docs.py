"""The generated pages and the links of the documentation."""

import pathlib
import re

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
