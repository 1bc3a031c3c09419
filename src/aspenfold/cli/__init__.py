"""Entry points of the programs; see :mod:`aspenfold._internal.commands`."""
