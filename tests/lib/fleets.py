"""A small fleet for tests."""

import hashlib
import typing

from aspenfold._internal.models import fleet

ORGANISATION = 'lutrin'
SECRET = 'lutrin-secret'
ZONES = ('zone-a', 'zone-b', 'zone-c')


def document(**changes: typing.Any) -> dict[str, typing.Any]:
    """Return a fleet with a plain and a model service, as JSON values.

    ``changes`` replace top-level fields.
    """
    data = {
        'format': 1,
        'name': 'testing',
        'regions': [{'name': 'here', 'availability_zones': list(ZONES)}],
        'organisations': [
            {
                'name': ORGANISATION,
                'credential_sha256': [
                    hashlib.sha256(SECRET.encode()).hexdigest()
                ],
                'limits': {
                    'requests_per_second': 1e6,
                    'burst': 1e6,
                    'in_flight': 10**6,
                },
            }
        ],
        'services': [
            {
                'name': 'till',
                'kind': 'plain',
                'operations': [
                    {'name': 'ping', 'path': '/ping'},
                    {'name': 'job', 'path': '/job', 'repeatable': False},
                ],
                'workers': {ZONES[0]: 1},
            },
            {
                'name': 'llm',
                'kind': 'model',
                'operations': [
                    {
                        'name': 'completions',
                        'path': '/v1/completions',
                        'streamed': True,
                    }
                ],
                'workers': {ZONES[0]: 2},
            },
        ],
        'rules': [{'priority': 'interactive'}],
        **changes,
    }
    return fleet.Fleet.model_validate(data).model_dump(mode='json')
