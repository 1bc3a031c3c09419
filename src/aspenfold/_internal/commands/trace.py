"""Tells the story of one request from the logs of several processes."""

from collections import abc
import dataclasses
import json
import pathlib
import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions
from aspenfold._internal.observability import events

HIDDEN_FIELDS = frozenset(
    {'event', 'call', 'timestamp', 'task_uuid', 'task_level', 'message_type'}
)
"""Fields that have a column of their own, or that only eliot needs."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One log line; ``source`` is what stood before its JSON object."""

    source: str
    fields: dict[str, typing.Any]


def parse_line(text: str, file_name: str) -> LogLine | None:
    """Return the line's fields, None if it is not one of ours.

    Collectors put the time and the host's name before the object.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'event' not in fields:
        return None
    return LogLine(source=text[:start].strip() or file_name, fields=fields)


def read_logs(paths: abc.Iterable[str]) -> list[LogLine]:
    """Read all files, or raise a coded error that names the file."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text('utf-8', 'replace')
        except OSError as exc:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.NOT_FOUND,
                    detail=f'cannot read {path}: {exc.strerror}',
                    field='log_files',
                    remedy='name files that hold log lines',
                )
            ) from exc
        found = (parse_line(line, path) for line in text.splitlines())
        lines += [line for line in found if line is not None]
    return lines


def request_lines(
    lines: abc.Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the request's lines in the order of their times."""
    found = [x for x in lines if x.fields.get('call') == request_id]
    return sorted(found, key=lambda x: float(x.fields.get('timestamp', 0)))


def count_omitted_lines(lines: abc.Iterable[LogLine]) -> dict[str, int]:
    """Return how many lines were left out, by event, over all files."""
    total: dict[str, int] = {}
    for line in lines:
        for kind, count in line.fields.get('left_out', {}).items():
            total[kind] = total.get(kind, 0) + int(count)
    return total


class TraceCommand:
    """``aspenfold trace``."""

    def run(
        self, request_id: str, paths: abc.Sequence[str], *, as_json: bool
    ) -> exit_status.Exit:
        """Print the request's story; failed if no line names it."""
        lines = read_logs(paths)
        found = request_lines(lines, request_id)
        output.print_rows([_row(line) for line in found], as_json=as_json)
        for kind, count in sorted(count_omitted_lines(lines).items()):
            print(f'note: {count} lines of {kind} were left out under load')
        return exit_status.Exit.OK if found else exit_status.Exit.FAILED


def _row(line: LogLine) -> dict[str, object]:
    fields = line.fields
    number = int(fields['event'])
    known = number in events.Event.__members__.values()
    name = events.Event(number).name if known else str(number)
    details = ' '.join(
        f'{key}={value}'
        for key, value in fields.items()
        if key not in HIDDEN_FIELDS
    )
    return {'from': line.source, 'event': name, 'details': details}
