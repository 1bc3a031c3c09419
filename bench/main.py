"""``make bench``: prints every measurement beside its baseline."""

import dataclasses
import json
import sys

import fire

from bench import entry_edge
from bench import gateway
from bench import load
from bench import maps
from bench import recovery
from bench import report
from bench import scale

MODULES = (load, maps, scale, recovery, gateway, entry_edge)
"""Importing these modules registered their measurements."""


def main(
    *names: str, seed: int = 1, as_json: bool = False, quick: bool = False
) -> None:
    """Run the measurements NAMES, or all of them.

    --quick leaves out those that start real processes.
    """
    chosen = names or tuple(report.MEASURES)
    if quick:
        chosen = tuple(n for n in chosen if n not in entry_edge.REAL)
    unknown = [name for name in chosen if name not in report.MEASURES]
    if unknown:
        sys.exit(f'no measurement {unknown}; use {list(report.MEASURES)}')
    found = []
    for name in chosen:
        for row in report.MEASURES[name](seed):
            found.append({'measure': name, **dataclasses.asdict(row)})
            if not as_json:
                print(report.line(row), flush=True)
    if as_json:
        print(json.dumps(found, indent=2))


if __name__ == '__main__':
    fire.Fire(main)
