"""Command line of the server programs."""

from collections import abc
import typing

import fire

from aspenfold._internal.commands import exit_status
from aspenfold._internal.models import base
from aspenfold._internal.models import settings as settings_module

S = typing.TypeVar('S', bound=base.Model)


def main(program: str, cls: type[S], run: abc.Callable[[S], None]) -> None:
    """Load the settings file named by the command line and call ``run``.

    ``cls`` is the model of the settings.
    """

    def command(settings: str) -> None:
        """Run the server with the JSON file SETTINGS until SIGTERM."""

        def serve() -> exit_status.ExitStatus:
            run(settings_module.load(settings, cls))
            return exit_status.ExitStatus.OK

        exit_status.run_and_exit(serve)

    fire.Fire(command, name=program)
