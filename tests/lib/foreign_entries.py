"""Entries that another writer may have put into the list of endpoints."""

from collections import abc
import json
import random

Record = dict[str, object]

WRONG_VALUES: tuple[object, ...] = (None, True, -1, 1.5, '', 'x', [], {})
"""Values of other types than fields have, or outside their range."""

TEXT_FIELDS = ('version', 'service', 'zone')
"""Fields in which any text could be an endpoint's."""

UNREADABLE = (b'\xff\xfe', b'{', b'[]', b'null', b'"entry"', b'[' * 5000)

UNNAMED_STATES = ('inventoried', 'READY', 'leaving', 'unknown')


def malformed(record: Record) -> abc.Iterator[bytes]:
    """Yield entries with a field that is missing or of another type.

    ``record`` is the sound one; a missing ``born`` alone is not among them.
    """
    for field in record:
        lacking = {k: v for k, v in record.items() if k != field}
        if field != 'born':
            yield encode(lacking)
        for value in WRONG_VALUES:
            if not _may_be_sound(field, value):
                yield encode({**record, field: value})
    for state in UNNAMED_STATES:
        yield encode({**record, 'state': state})
    yield from UNREADABLE


def _may_be_sound(field: str, value: object) -> bool:
    if field in TEXT_FIELDS:
        return isinstance(value, str) and (value != '' or field == 'version')
    if field == 'born':
        return value is None
    return field == 'cold_remaining_ms' and value == 1.5


def whole(
    record: Record, rng: random.Random, *, same_address: bool = False
) -> bytes:
    """Return an entry that is whole and says something else of the start.

    With ``same_address`` it is of the endpoint's address at least.
    """
    born = record['born']
    assert isinstance(born, int)
    other_port = rng.randint(1, 1023)
    changed: Record = rng.choice(
        [
            {'address': f'127.0.0.1:{other_port}'} if not same_address else {},
            {'born': None},
            {'born': born - rng.randint(1, 10**9)},
            {'born': born + rng.randint(1, 10**9)},
            {'service': f'unnamed-{rng.random()}'},
            {'zone': f'zone-{rng.random()}'},
            {'slots': rng.randint(7, 10**6)},
        ]
    )
    entry = {**record, **changed}
    return encode({k: v for k, v in entry.items() if v is not None})


def encode(entry: Record) -> bytes:
    """Return an entry as the store holds it."""
    return json.dumps(entry).encode()
