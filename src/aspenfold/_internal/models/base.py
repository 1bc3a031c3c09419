"""Base class of the models, and loading of JSON files with clear errors."""

import json
import pathlib
import typing

import pydantic

from aspenfold._internal import exceptions

Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
"""A name in fleet and settings files: lower case, digits, hyphens."""

MAX_ERRORS_SHOWN = 12


class Model(pydantic.BaseModel):
    """An immutable model that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


M = typing.TypeVar('M', bound=pydantic.BaseModel)


def format_errors(exc: pydantic.ValidationError) -> str:
    """Return the errors, each with path, problem and value, joined by "; ".

    At most :const:`MAX_ERRORS_SHOWN` errors are listed.
    """
    lines = []
    for error in exc.errors(include_url=False)[:MAX_ERRORS_SHOWN]:
        path = '.'.join(str(part) for part in error['loc']) or '(top level)'
        value = error['input']
        shown = '' if isinstance(value, dict) else f' (got {value!r:.60})'
        lines.append(f'{path}: {error["msg"]}{shown}')
    return '; '.join(lines)


def first_error_path(exc: pydantic.ValidationError) -> str:
    """Return the dotted path of the field of the first error."""
    return '.'.join(str(part) for part in exc.errors()[0]['loc'])


def load_json(path: str, *, code: exceptions.Code) -> object:
    """Return the value in a JSON file.

    Raises ConfigError with ``code`` if it cannot be read or decoded.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return json.loads(text)
    except OSError as exc:
        detail = f'cannot read {path}: {exc.strerror}'
    except UnicodeDecodeError:
        detail = f'{path} is not UTF-8 text'
    except json.JSONDecodeError as exc:
        detail = (
            f'{path} is not valid JSON: {exc.msg} at line {exc.lineno}, '
            f'column {exc.colno}'
        )
    raise exceptions.ConfigError(
        exceptions.Failure(
            code=code,
            detail=detail,
            field=path,
            remedy='give the path of a readable JSON file',
        )
    )


def load_model(path: str, cls: type[M], *, code: exceptions.Code) -> M:
    """Return a JSON file validated as ``cls``.

    Raises ConfigError with ``code`` if it is unreadable or invalid.
    """
    data = load_json(path, code=code)
    try:
        return cls.model_validate(data)
    except pydantic.ValidationError as exc:
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=code,
                detail=f'{path}: {format_errors(exc)}',
                field=first_error_path(exc),
                remedy='correct these fields; docs/CONFIGURATION.md lists '
                'the allowed ones',
            )
        ) from None
