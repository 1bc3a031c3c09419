"""Runs a program from a checkout: ``run.py PROGRAM``."""

import importlib
import pathlib
import signal
import sys

SOURCE_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / 'src'


def main() -> None:
    """Run ``main`` of the module PROGRAM in ``aspenfold.cli``."""
    # A change of settings sends SIGHUP, which by default would end the
    # process while it still imports the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(SOURCE_DIRECTORY))
    importlib.import_module(f'aspenfold.cli.{sys.argv[1]}').main()


main()
