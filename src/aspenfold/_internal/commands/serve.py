"""Starts a server program from its settings file."""

from collections import abc
import typing

import fire

from aspenfold._internal.commands import exit_status
from aspenfold._internal.models import base
from aspenfold._internal.models import settings as settings_module

S = typing.TypeVar('S', bound=base.Model)


def main(program: str, cls: type[S], run: abc.Callable[[S], None]) -> None:
    """Read the settings that the command line names, and serve."""

    def command(settings: str) -> None:
        """Serve with the JSON file SETTINGS until SIGTERM."""

        def work() -> exit_status.Exit:
            run(settings_module.load(settings, cls))
            return exit_status.Exit.OK

        exit_status.run_and_exit(work)

    fire.Fire(command, name=program)
