"""Exit statuses of all programs, and the frame that gives them."""

from collections import abc
import enum
import sys
import typing

from aspenfold._internal import exceptions


class Exit(enum.IntEnum):
    """Exit statuses."""

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


def run_and_exit(work: abc.Callable[[], Exit]) -> typing.NoReturn:
    """Run a command and end the process with its status."""
    sys.exit(run_command(work))


def run_command(work: abc.Callable[[], Exit]) -> Exit:
    """Run a command; errors become a line and an exit status."""
    try:
        return work()
    except exceptions.AspenfoldError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return STATUS_BY_CODE.get(exc.failure.code, Exit.FAILED)
    except KeyboardInterrupt:
        return Exit.FAILED
