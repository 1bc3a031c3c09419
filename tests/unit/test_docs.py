"""Generated pages match the code; every page that is linked exists."""

import pathlib
import re

from tools import write_tables

from aspenfold._internal import exceptions
from aspenfold._internal.observability import events

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_generated_pages_are_current() -> None:
    """Run ``python -m tools.write_tables`` after a change of tables."""
    assert write_tables.stale_pages() == []


def test_every_code_and_event_is_used() -> None:
    """A number that nothing raises or logs has no place in a table."""
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


def test_links_lead_somewhere() -> None:
    """Relative links in all pages name files that exist."""
    broken = []
    for page in [*ROOT.glob('*.md'), *(ROOT / 'docs').glob('*.md')]:
        text = page.read_text(encoding='utf-8')
        for target in re.findall(r'\]\(([^)#:]+)\)', text):
            if not (page.parent / target).exists():
                broken.append(f'{page.name}: {target}')
    assert broken == []
