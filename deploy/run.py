"""Starts a program from a checkout: ``run.py PROGRAM``."""

import importlib
import pathlib
import sys

SOURCES = pathlib.Path(__file__).resolve().parent.parent / 'src'


def main() -> None:
    """Import the program's command line and call it."""
    sys.path.insert(0, str(SOURCES))
    importlib.import_module(f'aspenfold.cli.{sys.argv[1]}').main()


main()
