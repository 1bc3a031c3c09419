"""Formats the difference between two fleet documents as rows."""

import json
import typing

from aspenfold._internal.configuration import patch

MAX_VALUE_LENGTH = 60
"""Longer values are truncated, in characters."""


def diff_rows(
    old: patch.Document, new: patch.Document
) -> list[dict[str, typing.Any]]:
    """Return a row for each change, with the old and the new value."""
    return [
        {
            'change': operation['op'],
            'path': operation['path'],
            'from': _value_at(old, operation['path']),
            'to': (
                _format_value(operation['value'])
                if 'value' in operation
                else None
            ),
        }
        for operation in patch.diff(old, new)
    ]


def _value_at(document: patch.Document, path: str) -> str | None:
    """Return the value at a JSON pointer, or None if there is none."""
    value: typing.Any = document
    for part in path.lstrip('/').split('/'):
        try:
            value = (
                value[int(part)] if isinstance(value, list) else value[part]
            )
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return _format_value(value)


def _format_value(value: object) -> str:
    text = json.dumps(value)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[: MAX_VALUE_LENGTH - 3] + '...'
