"""Registry of plug-ins by kind and name.

A module with a plug-in calls :func:`register` when it is imported; the
package of each kind imports all of its modules.  The fleet file selects
plug-ins by name.
"""

import collections
from collections import abc
import typing

from aspenfold._internal import exceptions

T = typing.TypeVar('T')
Factory = abc.Callable[..., typing.Any]

_plugins: dict[str, dict[str, Factory]] = collections.defaultdict(dict)


def register(kind: str, name: str) -> abc.Callable[[type[T]], type[T]]:
    """Return a class decorator that registers a plug-in.

    It raises ValueError if ``kind`` already has a plug-in ``name``.
    """

    def add(cls: type[T]) -> type[T]:
        if name in _plugins[kind]:
            raise ValueError(f'{kind} plug-in {name!r} registered twice')
        _plugins[kind][name] = cls
        return cls

    return add


def names(kind: str) -> list[str]:
    """Return the sorted names of the plug-ins of ``kind``."""
    return sorted(_plugins[kind])


def create(kind: str, name: str, **options: object) -> typing.Any:
    """Return a new plug-in ``name`` of ``kind``.

    ``options`` are its keyword arguments.  Raises ConfigError if there
    is no such plug-in.
    """
    factory = _plugins[kind].get(name)
    if factory is None:
        allowed = ', '.join(names(kind))
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.CONFIG_INVALID,
                detail=f'unknown {kind} policy {name!r}',
                field=f'policies.{kind}',
                remedy=f'use one of: {allowed}',
            )
        )
    return factory(**options)
