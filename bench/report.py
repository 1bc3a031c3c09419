"""Registers measurements and prints their rows."""

from collections import abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One figure of one variant; ``met`` is None where there is no aim."""

    figure: str
    variant: str
    value: float
    aim: str = ''
    met: bool | None = None


Measure = abc.Callable[[int], list[Row]]
MEASURES: dict[str, Measure] = {}


def measure(name: str) -> abc.Callable[[Measure], Measure]:
    """Make a function available as the measurement ``name``."""

    def add(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return add


def line(row: Row) -> str:
    """Return a row as a line of text."""
    verdict = {True: 'met', False: 'MISSED', None: ''}[row.met]
    value = 'n/a' if math.isnan(row.value) else f'{row.value:12.3f}'
    return (
        f'{row.figure:<46} {row.variant:<22} {value:>12}  '
        f'{row.aim:<12} {verdict}'
    ).rstrip()
