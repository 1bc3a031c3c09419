"""``aspenfold trace``: one request in the logs of several processes."""

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
"""Log fields that are not printed in the column of details."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """A parsed log line.

    ``source`` is the text before the JSON object, or the file's name.
    """

    source: str
    fields: dict[str, typing.Any]


def parse_line(text: str, file_name: str) -> LogLine | None:
    """Parse a log line; return None if it is not an aspenfold event.

    Log collectors may prefix the JSON object, such as with a host's name.
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
    """Return the events in all files.

    Raises ConfigError, naming the file, if one cannot be read.
    """
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
                    remedy='use the paths of readable log files',
                )
            ) from exc
        parsed = (parse_line(line, path) for line in text.splitlines())
        lines += [line for line in parsed if line is not None]
    return lines


def request_lines(
    lines: abc.Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines of one request, sorted by timestamp.

    If it was kept from endpoints, the crashes that led to that are included.
    """
    lines = list(lines)
    matching = [x for x in lines if x.fields.get('call') == request_id]
    held = {
        x.fields['fingerprint'] for x in matching if 'fingerprint' in x.fields
    }
    matching += [
        x
        for x in lines
        if x.fields.get('call') != request_id and _is_about(x, held)
    ]
    return sorted(matching, key=lambda x: float(x.fields.get('timestamp', 0)))


def _is_about(line: LogLine, held: set[str]) -> bool:
    """Return whether a line is about crashes or quarantines of ``held``."""
    suspects = line.fields.get('fingerprints', ())
    return line.fields.get('fingerprint') in held or bool(
        held.intersection(suspects)
    )


def count_dropped_lines(lines: abc.Iterable[LogLine]) -> dict[str, int]:
    """Return how many lines the processes dropped, by event name."""
    total: dict[str, int] = {}
    for line in lines:
        for kind, count in line.fields.get('left_out', {}).items():
            total[kind] = total.get(kind, 0) + int(count)
    return total


class TraceCommand:
    """Prints the log lines of one request."""

    def run(
        self, request_id: str, paths: abc.Sequence[str], *, as_json: bool
    ) -> exit_status.ExitStatus:
        """Print the request's lines; ``FAILED`` if there are none."""
        lines = read_logs(paths)
        matching = request_lines(lines, request_id)
        output.print_rows([_row(line) for line in matching], as_json=as_json)
        for kind, count in sorted(count_dropped_lines(lines).items()):
            print(f'note: {count} lines of {kind} were dropped under load')
        return (
            exit_status.ExitStatus.OK
            if matching
            else exit_status.ExitStatus.FAILED
        )


def _row(line: LogLine) -> dict[str, object]:
    fields = line.fields
    number = int(fields['event'])
    is_known = number in events.Event.__members__.values()
    name = events.Event(number).name if is_known else str(number)
    details = ' '.join(
        f'{key}={value}'
        for key, value in fields.items()
        if key not in HIDDEN_FIELDS
    )
    return {'from': line.source, 'event': name, 'details': details}
