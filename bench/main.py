"""``make bench``: runs the benchmarks and prints their figures."""

import dataclasses
import json
import sys

import fire

from bench import backoff
from bench import crashes
from bench import entry_edge
from bench import gateway
from bench import load
from bench import maps
from bench import rate_limits
from bench import recovery
from bench import report
from bench import scale

MODULES = (
    load,
    maps,
    scale,
    recovery,
    gateway,
    rate_limits,
    backoff,
    crashes,
    entry_edge,
)
"""Importing these modules registers their benchmarks."""


def main(
    *names: str, seed: int = 1, as_json: bool = False, quick: bool = False
) -> None:
    """Run the benchmarks NAMES, or all of them.

    --quick skips those that start real processes.
    """
    selected = names or tuple(report.BENCHMARKS)
    if quick:
        selected = tuple(
            n for n in selected if n not in entry_edge.PROCESS_BENCHMARKS
        )
    unknown = [name for name in selected if name not in report.BENCHMARKS]
    if unknown:
        sys.exit(
            f'unknown benchmarks {unknown}; known: {list(report.BENCHMARKS)}'
        )
    results = []
    for name in selected:
        for row in report.BENCHMARKS[name](seed):
            results.append({'measure': name, **dataclasses.asdict(row)})
            if not as_json:
                print(report.format_row(row), flush=True)
    if as_json:
        print(json.dumps(results, indent=2))


if __name__ == '__main__':
    fire.Fire(main)
