"""Describes the difference between two fleets for people."""

import json
import typing

from aspenfold._internal.configuration import patch

MAX_VALUE_LENGTH = 60


def diff_rows(
    old: patch.Document, new: patch.Document
) -> list[dict[str, typing.Any]]:
    """Return one row for each change: path, from, to."""
    return [
        {
            'change': step['op'],
            'path': step['path'],
            'from': _value(old, step['path']),
            'to': _short(step['value']) if 'value' in step else None,
        }
        for step in patch.diff(old, new)
    ]


def _value(document: patch.Document, path: str) -> str | None:
    value: typing.Any = document
    for part in path.lstrip('/').split('/'):
        try:
            value = (
                value[int(part)] if isinstance(value, list) else value[part]
            )
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return _short(value)


def _short(value: object) -> str:
    text = json.dumps(value)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[: MAX_VALUE_LENGTH - 3] + '...'
