"""Implementations of the command lines in :mod:`aspenfold.cli`."""
