"""Plug-ins register themselves here by kind and name.

A module that holds a plug-in calls :func:`register` on import; the
package of each kind imports its modules.  The fleet file then selects a
plug-in by name.
"""

import collections
from collections import abc
import typing

from aspenfold._internal import exceptions

T = typing.TypeVar('T')
Factory = abc.Callable[..., typing.Any]

_plugins: dict[str, dict[str, Factory]] = collections.defaultdict(dict)


def register(kind: str, name: str) -> abc.Callable[[type[T]], type[T]]:
    """Class decorator: make the class available as ``kind``/``name``."""

    def add(cls: type[T]) -> type[T]:
        if name in _plugins[kind]:
            raise ValueError(f'{kind} plug-in {name!r} registered twice')
        _plugins[kind][name] = cls
        return cls

    return add


def names(kind: str) -> list[str]:
    """Return the names registered for ``kind``, sorted."""
    return sorted(_plugins[kind])


def create(kind: str, name: str, **options: object) -> typing.Any:
    """Build the plug-in ``name`` of ``kind`` with keyword ``options``."""
    factory = _plugins[kind].get(name)
    if factory is None:
        allowed = ', '.join(names(kind))
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.CONFIG_INVALID,
                detail=f'there is no {kind} policy {name!r}',
                field=f'policies.{kind}',
                remedy=f'use one of: {allowed}',
            )
        )
    return factory(**options)
