"""Writes the generated pages; ``--check`` only compares them."""

import json
import pathlib
import sys

from aspenfold._internal import exceptions
from aspenfold._internal.models import fleet
from aspenfold._internal.models import settings
from aspenfold._internal.observability import events

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
NOTE = '<!-- Written by tools/write_tables.py; edit the code instead. -->'


def errors() -> str:
    """Return the table of result codes."""
    lines = [
        '# Result codes',
        '',
        NOTE,
        '',
        'The first digit tells whether the request ran.  1: not run, and',
        'it never will.  2: unknown.  3: it ran, but its answer cannot be',
        'given whole.  4 and 5 are for operators.  Callers find the code',
        'in `error.code` and in the header `Aspenfold-Code`, and the',
        'outcome in `Aspenfold-Outcome`.',
        '',
        'A refusal of a call *with* a key says "not run" only if the key',
        'itself cannot have run; otherwise it is 2003, and the same key',
        'may be submitted again after `Retry-After`.',
        '',
        '| code | name | HTTP | outcome | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    for code in sorted(exceptions.Code):
        failure = exceptions.Failure(code=code, detail='')
        status = str(failure.http_status) if code < 4000 else '-'
        outcome = failure.outcome.value if code < 4000 else '-'
        lines.append(
            f'| {int(code)} | {code.name} | {status} | {outcome} '
            f'| {exceptions.DESCRIPTIONS[code]} |'
        )
    return '\n'.join(lines) + '\n'


def event_catalogue() -> str:
    """Return the table of log events."""
    lines = [
        '# Log events',
        '',
        NOTE,
        '',
        'Programs log one JSON object a line.  `event` is the number,',
        '`message_type` the name.  `call` is the id that the caller got in',
        '`X-Request-Id`, `attempt` the id of one attempt at it: together',
        'they follow a request over entry and agent.  Credentials, keys',
        'and bodies are never logged.',
        '',
        '| number | name | meaning |',
        '| --- | --- | --- |',
    ]
    for event in sorted(events.Event):
        lines.append(
            f'| {int(event)} | {event.name} | {events.DESCRIPTIONS[event]} |'
        )
    return '\n'.join(lines) + '\n'


def schema(model: type) -> str:
    """Return a model's JSON Schema."""
    document = model.model_json_schema()  # type: ignore[attr-defined]
    return json.dumps(document, indent=2, sort_keys=True) + '\n'


def pages() -> dict[str, str]:
    """Return every generated page by its file name."""
    return {
        'ERRORS.md': errors(),
        'EVENTS.md': event_catalogue(),
        'schema/fleet.json': schema(fleet.Fleet),
        'schema/entry.json': schema(settings.EntrySettings),
        'schema/agent.json': schema(settings.AgentSettings),
        'schema/operator.json': schema(settings.OperatorSettings),
    }


def stale() -> list[str]:
    """Return the generated pages that differ from the code."""
    result = []
    for name, text in pages().items():
        path = DOCS / name
        if not path.exists() or path.read_text(encoding='utf-8') != text:
            result.append(name)
    return result


def main() -> int:
    """Write the pages, or compare them."""
    if '--check' in sys.argv:
        print('\n'.join(stale()))
        return 1 if stale() else 0
    for name, text in pages().items():
        path = DOCS / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
