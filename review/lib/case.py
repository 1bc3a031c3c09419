"""The frame of a case: its record, and its exit status."""

import asyncio
from collections import abc
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2

TIME_LIMIT_S = 115.0


class CannotRun(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """The file in which a case writes what it saw, with times."""

    def __init__(self, *, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line."""
        elapsed = time.monotonic() - self._started_at
        self._file.write(f'{elapsed:8.3f}  {text}\n')
        self._file.flush()


Play = abc.Callable[
    [Record, pathlib.Path, bool], abc.Coroutine[None, None, bool]
]


def run(record_path: pathlib.Path, play: Play) -> None:
    """Play a case, and exit with its status.

    ``play`` gets the record, which is written to ``record_path``, a temporary
    folder and whether to make the disruption.  It returns whether the rule
    held.
    """
    record = Record(path=record_path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add('with the disruption' if trouble else 'without disruption')
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(
                _play(play, record, pathlib.Path(temporary), trouble)
            )
        status = HELD if held else BROKEN
    except CannotRun as exc:
        record.add(f'the case could not run: {exc}')
    except (Exception, asyncio.CancelledError):
        record.add(f'the case could not run: {traceback.format_exc()}')
    record.add(('the rule held', 'THE RULE WAS BROKEN', 'not run')[status])
    sys.exit(status)


async def _play(
    play: Play, record: Record, folder: pathlib.Path, trouble: bool
) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # The programs are ended also if the case is.
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await play(record, folder, trouble)
