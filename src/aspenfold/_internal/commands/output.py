"""Prints results as a table for people or as JSON for programs."""

from collections import abc
import json
import typing

Row = abc.Mapping[str, typing.Any]


def print_rows(rows: abc.Sequence[Row], *, as_json: bool) -> None:
    """Print ``rows``, which share their keys."""
    if as_json:
        print(json.dumps(list(rows), indent=2))
        return
    if not rows:
        print('(nothing)')
        return
    columns = list(rows[0])
    cells = [[_text(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[i]) for line in cells))
        for i, column in enumerate(columns)
    ]
    for line in [columns, *cells]:
        padded = [cell.ljust(widths[i]) for i, cell in enumerate(line)]
        print('  '.join(padded).rstrip())


def print_json(value: object) -> None:
    """Print one JSON document."""
    print(json.dumps(value, indent=2))


def _text(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(value)
