"""Starts a program from a checkout: ``run.py PROGRAM``."""

import importlib
import pathlib
import signal
import sys

SOURCES = pathlib.Path(__file__).resolve().parent.parent / 'src'


def main() -> None:
    """Import the program's command line and call it."""
    # Settings may change while the program is still being imported; by
    # default that signal would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(SOURCES))
    importlib.import_module(f'aspenfold.cli.{sys.argv[1]}').main()


main()
