"""Two signs by which a gateway, stopped as planned, cuts streams under way.

The first argument names the one to play: ``entries`` of another writer come,
or a caller expects other ``weights``.
"""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import caller  # noqa: E402
from standins_2 import deployment  # noqa: E402
from standins_2 import endpoint  # noqa: E402
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


async def expect_other_weights(
    case: deployment.Case, stopped: gateways.Gateway
) -> None:
    """Send one request that expects weights which no rank has."""
    one = caller.Caller(stopped.ip, stopped.port)
    attempt = await one.call(
        method='POST',
        host=deployment.HOST,
        path='/notes/other',
        key=deployment.KEY,
        deadline_ms=planned_stop.DEADLINE_MS,
        headers=[
            *planned_stop.MODEL_HEADERS,
            (endpoint.EXPECTED_VERSION, '2'),
        ],
        body=b'prompt',
    )
    one.close()
    case.note(
        f'{attempt.id} expects version 2, the ranks have 1: '
        f'{attempt.status} {attempt.end}'
    )


TROUBLES = {
    'entries': write_foreign_entries,
    'weights': expect_other_weights,
}


async def play(case: deployment.Case) -> bool:
    """Play the case; return whether the rule held."""
    name = sys.argv[1]
    case.note(f'play: {name}')
    return await planned_stop.play(case, TROUBLES[name])


deployment.main(play, FOLDER / 'record.txt')
