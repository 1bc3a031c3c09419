"""Background tasks of a process; what they raise is logged."""

import asyncio
from collections import abc
import typing

from aspenfold._internal.observability import events

Result = typing.TypeVar('Result')
Work = abc.Coroutine[typing.Any, typing.Any, typing.Any]


class BackgroundTasks:
    """Keeps running tasks alive and logs the errors of failed ones."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(self, work: Work) -> asyncio.Task[typing.Any]:
        """Run ``work`` in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def cancel(self) -> None:
        """Cancel all that still run."""
        for task in list(self._tasks):
            task.cancel()

    def _done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        events.emit(events.Event.UNEXPECTED, error=repr(task.exception()))
