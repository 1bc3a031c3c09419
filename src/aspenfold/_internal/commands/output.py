"""Prints results as a table or as JSON."""

from collections import abc
import json
import typing

Row = abc.Mapping[str, typing.Any]
"""A line of a table: a value for each column name."""


def print_rows(rows: abc.Sequence[Row], *, as_json: bool) -> None:
    """Print ``rows``; a table has the columns of the first row."""
    if as_json:
        print(json.dumps(list(rows), indent=2))
        return
    if not rows:
        print('(nothing)')
        return
    columns = list(rows[0])
    cells = [[_format(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[i]) for line in cells))
        for i, column in enumerate(columns)
    ]
    for line in [columns, *cells]:
        padded = [cell.ljust(widths[i]) for i, cell in enumerate(line)]
        print('  '.join(padded).rstrip())


def print_json(value: object) -> None:
    """Print ``value`` as an indented JSON document."""
    print(json.dumps(value, indent=2))


def _format(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(value)
