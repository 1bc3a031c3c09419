"""The registry of benchmarks, and the rows that they return."""

from collections import abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """The value of one figure for one variant.

    ``aim`` is the target; ``met`` is None for a figure without one.
    """

    figure: str
    variant: str
    value: float
    aim: str = ''
    met: bool | None = None


Benchmark = abc.Callable[[int], list[Row]]
BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(name: str) -> abc.Callable[[Benchmark], Benchmark]:
    """Return a decorator that registers a benchmark under ``name``."""

    def register(function: Benchmark) -> Benchmark:
        BENCHMARKS[name] = function
        return function

    return register


def format_row(row: Row) -> str:
    """Return a row as a line of text, with whether it met its aim."""
    verdict = {True: 'met', False: 'MISSED', None: ''}[row.met]
    value = 'n/a' if math.isnan(row.value) else f'{row.value:12.3f}'
    return (
        f'{row.figure:<46} {row.variant:<22} {value:>12}  '
        f'{row.aim:<12} {verdict}'
    ).rstrip()
