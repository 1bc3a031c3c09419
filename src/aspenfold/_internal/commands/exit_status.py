"""Exit statuses of all programs, and how commands end with them."""

from collections import abc
import enum
import sys
import typing

from aspenfold._internal import exceptions


class Exit(enum.IntEnum):
    """Exit status of a program."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5


STATUS_BY_CODE: dict[exceptions.Code, Exit] = {
    exceptions.Code.CONFIG_CONFLICT: Exit.CONFLICT,
    exceptions.Code.NOT_IN_FORCE: Exit.NOT_IN_FORCE,
    exceptions.Code.APPEND_UNKNOWN: Exit.UNREACHABLE,
    exceptions.Code.LOG_DOWN: Exit.UNREACHABLE,
    exceptions.Code.HOST_LIST_DOWN: Exit.UNREACHABLE,
    exceptions.Code.SETTINGS_INVALID: Exit.USAGE,
    exceptions.Code.CONFIG_INVALID: Exit.USAGE,
}
"""Exit status for each result code; ``FAILED`` for all others."""


def run_and_exit(command: abc.Callable[[], Exit]) -> typing.NoReturn:
    """Run ``command`` and end the process with its exit status."""
    sys.exit(run_command(command))


def run_command(command: abc.Callable[[], Exit]) -> Exit:
    """Run ``command`` and return its exit status.

    Prints an AspenfoldError as one line and returns the status for it.
    """
    try:
        return command()
    except exceptions.AspenfoldError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return STATUS_BY_CODE.get(exc.failure.code, Exit.FAILED)
    except KeyboardInterrupt:
        return Exit.FAILED
