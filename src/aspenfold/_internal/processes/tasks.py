"""Background tasks of a process."""

import asyncio
from collections import abc
import typing

from aspenfold._internal.observability import events

Result = typing.TypeVar('Result')
Work = abc.Coroutine[typing.Any, typing.Any, typing.Any]


class BackgroundTasks:
    """Keeps references to running tasks and logs their exceptions."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(self, work: Work) -> asyncio.Task[typing.Any]:
        """Start a task that runs ``work``."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        events.emit(events.Event.UNEXPECTED, error=repr(task.exception()))
