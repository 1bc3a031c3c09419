"""What gateways write to the store of crashes, and read from it."""

import datetime

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import quarantine
from aspenfold._internal.gateway import quarantine_records
from aspenfold._internal.kernel import clock as clock_module
from tests.lib import samples

SECOND = datetime.timedelta(seconds=1)
NOW = clock_module.EPOCH + 10_000 * SECOND


def make_records(
    held: quarantine.Quarantine,
) -> quarantine_records.QuarantineRecords:
    """Return the records of a gateway that hears no other."""
    clock = clock_module.ManualClock(start=NOW)
    return quarantine_records.QuarantineRecords(
        host='g-0',
        quarantine=held,
        clock=clock,
        wall_clock=clock,
        hears_all_peers=lambda: False,
    )


def json_of(fields: dict[str, object]) -> bytes:
    """Return fields as JSON, with integers of any size."""
    parts = [
        f'"{name}":{value}'
        if isinstance(value, int)
        else f'"{name}":{orjson.dumps(value).decode()}'
        for name, value in fields.items()
    ]
    return ('{' + ','.join(parts) + '}').encode()


KEYS = st.sampled_from(
    [
        f'{quarantine_records.HOLD_PREFIX}pbad',
        f'{quarantine_records.CRASH_PREFIX}g-1/0',
        f'{quarantine_records.KEY_PREFIX}other',
    ]
)
NUMBERS = st.integers(-(10**30), 10**30) | st.none() | st.text(max_size=3)
FIELDS = st.dictionaries(
    st.sampled_from(
        ['begun_ms', 'seen_ms', 'crashes', 'trials', 'released_ms', 'at_ms']
    ),
    NUMBERS,
)
VALUES = (
    st.binary(max_size=9)
    | FIELDS.map(json_of)
    | FIELDS.map(
        lambda f: json_of({**f, 'incarnation': 'w@1', 'suspects': ['pbad']})
    )
)


@hypothesis.given(st.lists(st.tuples(KEYS, VALUES), max_size=5))
def test_any_record_is_applied_or_rejected(
    written: list[tuple[str, bytes]],
) -> None:
    """An error would end the task that finds the other gateways."""
    held = quarantine.Quarantine(host='g-0')
    records = make_records(held)
    for offset, (key, value) in enumerate(written):
        records.apply(ports.Record(offset=offset, key=key, value=value))
    records.due()
    held.report(NOW)


@pytest.mark.parametrize('begun_ms', [-(10**29), 10**29])
def test_a_record_of_an_absurd_time_is_no_error(begun_ms: int) -> None:
    """Its writer's clock may be anywhere."""
    held = quarantine.Quarantine(host='g-0')
    key = f'{quarantine_records.HOLD_PREFIX}pbad'
    value = json_of({'begun_ms': begun_ms, 'seen_ms': begun_ms})
    records = make_records(held)
    records.apply(ports.Record(offset=0, key=key, value=value))
    held.update(NOW)
    records.due()


def test_crashes_of_any_number_take_a_few_slots() -> None:
    """A gateway that is cut off for long sees many."""
    held = quarantine.Quarantine(host='g-0')
    records = make_records(held)
    keys = set()
    for number in range(100):
        held.record_crash(
            f'w-{number}', samples.request('bad', body=b'x').early(), NOW
        )
        for key, value in records.due():
            keys.add(key)
            records.apply(ports.Record(offset=0, key=key, value=value))
    slots = {
        key for key in keys if key.startswith(quarantine_records.CRASH_PREFIX)
    }
    assert len(slots) == quarantine_records.CRASH_SLOTS
    assert len(records._crash_slots) <= quarantine_records.CRASH_SLOTS
