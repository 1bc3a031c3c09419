"""Writes the generated documentation; ``--check`` only compares it."""

import json
import pathlib
import sys

from aspenfold._internal import exceptions
from aspenfold._internal.models import fleet
from aspenfold._internal.models import settings
from aspenfold._internal.observability import events

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
NOTE = '<!-- Written by tools/write_tables.py; edit the code instead. -->'


def render_errors() -> str:
    """Return the Markdown page of result codes."""
    lines = [
        '# Result codes',
        '',
        NOTE,
        '',
        'The first digit shows whether the request ran.  1: it did not run',
        'and never will.  2: unknown.  3: it ran, but the complete response',
        'is not available.  4 and 5 are for operators.  Callers get the',
        'code in `error.code` and in the header `Aspenfold-Code`, and the',
        'outcome in the header `Aspenfold-Outcome`.',
        '',
        'A call *with* an idempotency key is refused as "not run" only if',
        'no request with that key can have run.  Otherwise the code is',
        '2003, and the same key may be sent again after `Retry-After`.',
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


def render_events() -> str:
    """Return the Markdown page of log events."""
    lines = [
        '# Log events',
        '',
        NOTE,
        '',
        'Programs log one JSON object per line.  `event` is the number and',
        '`message_type` the name of the event.  `call` is the request id,',
        'which the caller gets in `X-Request-Id`; `attempt` is the id of',
        'one attempt at the request.  Use both to trace a request through',
        'entry and agent.  Credentials, keys and bodies are never logged.',
        '',
        '| number | name | meaning |',
        '| --- | --- | --- |',
    ]
    for event in sorted(events.Event):
        lines.append(
            f'| {int(event)} | {event.name} | {events.DESCRIPTIONS[event]} |'
        )
    return '\n'.join(lines) + '\n'


def render_schema(model: type) -> str:
    """Return the JSON Schema of a pydantic model."""
    document = model.model_json_schema()  # type: ignore[attr-defined]
    return json.dumps(document, indent=2, sort_keys=True) + '\n'


def render_pages() -> dict[str, str]:
    """Return the text of every generated page by its path below docs."""
    return {
        'ERRORS.md': render_errors(),
        'EVENTS.md': render_events(),
        'schema/fleet.json': render_schema(fleet.Fleet),
        'schema/entry.json': render_schema(settings.EntrySettings),
        'schema/agent.json': render_schema(settings.AgentSettings),
        'schema/operator.json': render_schema(settings.OperatorSettings),
    }


def stale_pages() -> list[str]:
    """Return the paths of the generated pages that are out of date."""
    result = []
    for name, text in render_pages().items():
        path = DOCS / name
        if not path.exists() or path.read_text(encoding='utf-8') != text:
            result.append(name)
    return result


def main() -> int:
    """Write or compare the pages; return the exit status."""
    if '--check' in sys.argv:
        print('\n'.join(stale_pages()))
        return 1 if stale_pages() else 0
    for name, text in render_pages().items():
        path = DOCS / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
