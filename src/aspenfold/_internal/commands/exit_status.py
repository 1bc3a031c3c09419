"""Exit statuses of all programs, and how commands end with them."""

from collections import abc
import enum
import sys
import typing

from aspenfold._internal import exceptions


class ExitStatus(enum.IntEnum):
    """Exit status of a program."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5


STATUS_BY_CODE: dict[exceptions.Code, ExitStatus] = {
    exceptions.Code.CONFIG_CONFLICT: ExitStatus.CONFLICT,
    exceptions.Code.NOT_IN_FORCE: ExitStatus.NOT_IN_FORCE,
    exceptions.Code.APPEND_UNKNOWN: ExitStatus.UNREACHABLE,
    exceptions.Code.LOG_DOWN: ExitStatus.UNREACHABLE,
    exceptions.Code.HOST_LIST_DOWN: ExitStatus.UNREACHABLE,
    exceptions.Code.SETTINGS_INVALID: ExitStatus.USAGE,
    exceptions.Code.CONFIG_INVALID: ExitStatus.USAGE,
}
"""Exit status for each result code; ``FAILED`` for all others."""


def run_and_exit(command: abc.Callable[[], ExitStatus]) -> typing.NoReturn:
    """Run ``command`` and end the process with its exit status."""
    sys.exit(run_command(command))


def run_command(command: abc.Callable[[], ExitStatus]) -> ExitStatus:
    """Run ``command`` and return its exit status.

    Prints an AspenfoldError as one line and returns the status for it.
    """
    try:
        return command()
    except exceptions.AspenfoldError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return STATUS_BY_CODE.get(exc.failure.code, ExitStatus.FAILED)
    except KeyboardInterrupt:
        return ExitStatus.FAILED
