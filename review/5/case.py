"""Another writer's entries come while a gateway is stopped as planned."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import deployment  # noqa: E402
from standins_2 import gateways  # noqa: E402
from standins_2 import planned_stop  # noqa: E402
from standins_2 import store as store_module  # noqa: E402


async def write_foreign_entries(
    case: deployment.Case, stopped: gateways.Gateway
) -> None:
    """Write an entry of another writer for each rank's address.

    Its state is not one that the pages name, so that it names no endpoint to
    use.
    """
    for number, rank in enumerate(case.endpoints):
        entry = {**rank.entry(), 'state': 'inventoried'}
        del entry['born']
        key = f'asset-{number:04d}'
        await case.store.put_json(store_module.SERVERS, key, entry)
        case.note(f'entry {key}: {entry}')


async def play(case: deployment.Case) -> bool:
    """Play the case; return whether the rule held."""
    return await planned_stop.play(case, write_foreign_entries)


deployment.main(play, FOLDER / 'record.txt')
