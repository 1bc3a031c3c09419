"""A malformed record on the log does not stop a reader."""

import typing

from aspenfold_standins import sim as sim_module
import hypothesis
from hypothesis import strategies as st
import pytest
from tests.lib import fleets

from aspenfold._internal.claims import table as claim_table
from aspenfold._internal.configuration import reader
from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.models import fleet

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
STEP = st.fixed_dictionaries(
    {},
    optional={
        'op': st.sampled_from(
            ['add', 'remove', 'replace', 'move', 'copy', 'test', 'x']
        ),
        'path': JSON | st.sampled_from(['', '/', '/name', '/rules/0', '/-']),
        'from': JSON | st.sampled_from(['/rules', '/name']),
        'value': JSON,
    },
)
HEADER = {'id': 'x', 'author': 'x', 'at': '2026-01-01T00:00:00Z'}
BODY = st.one_of(
    st.dictionaries(st.text(max_size=5), JSON, max_size=4),
    st.builds(
        lambda steps, digest: {
            **HEADER,
            'type': 'config',
            'base_version': 1,
            'digest': digest,
            'patch': steps,
        },
        st.lists(STEP, max_size=3),
        st.text(max_size=4),
    ),
    st.builds(
        lambda state, covers: {
            **HEADER,
            'type': 'snapshot',
            'covers': covers,
            'lease_token': 0,
            'state': state,
        },
        st.dictionaries(st.text(max_size=5), JSON, max_size=3),
        st.integers(0, 20),
    ),
    st.builds(
        lambda at, claims: {
            **HEADER,
            'type': 'claims',
            'at': at,
            'claims': claims,
        },
        st.sampled_from(['2026-01-01T00:00:00', HEADER['at'], 'never']),
        st.just([]) | JSON,
    ),
    st.builds(
        lambda placement: {
            **HEADER,
            'type': 'map',
            'group': 'g',
            'lease_token': 1,
            'placement': placement,
        },
        JSON,
    ),
)


def page(body: typing.Any, offset: int) -> reader.Page:
    """Return a page of one record; all before it are trimmed."""
    record = reader.LogRecord(offset=offset, body=body)
    return reader.Page(
        records=[record], first_offset=offset, next_offset=offset + 1
    )


@pytest.mark.explores
@hypothesis.given(body=BODY)
def test_fleet_state_skips_a_malformed_record(body: typing.Any) -> None:
    """apply_record gives a verdict and keeps the fleet valid."""
    document = fleets.document()
    state = state_module.FleetState()
    state.set_document(1, document, fleet.Fleet.model_validate(document))
    reducer.apply_record(state, 2, body)
    assert state.next_offset == 3
    assert state.fleet is not None


@pytest.mark.explores
@hypothesis.given(body=BODY)
def test_fleet_reader_skips_a_malformed_record_after_a_gap(
    body: typing.Any,
) -> None:
    """A reader that waits for a snapshot skips a malformed one."""
    fleet_reader = reader.FleetReader()
    fleet_reader.apply_page(page(body, 5))
    assert fleet_reader.position == 6


@pytest.mark.explores
@hypothesis.given(body=BODY)
def test_claim_table_skips_a_malformed_record(body: typing.Any) -> None:
    """A claim table skips the record."""
    table = claim_table.ClaimTable(window=claim_table.MAX_REQUEST_DELAY)
    record = reader.LogRecord(offset=1, body=body)
    once = reader.Page(records=[record], first_offset=1, next_offset=2)
    table.apply_page(once, sim_module.START)
    table.apply_page(page(body, 5), sim_module.START)
    assert table.position == 6
