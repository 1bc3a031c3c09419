"""The datagrams between gateways."""

import datetime

import hypothesis
from hypothesis import strategies as st
import pytest
from tests.lib import peer_updates

from aspenfold._internal.gateway import peer_update
from aspenfold._internal.gateway import rate_limits
from aspenfold._internal.kernel import clock


def update_of(
    counts: dict[str, int], reports: dict[str, rate_limits.Report]
) -> peer_update.PeerUpdate:
    """Return an update with these counts and reports."""
    return peer_updates.make_update(
        in_flight_counts=counts,
        slowdowns={'i-0011223344': 2.5},
        recovery_ages={'s/g': 20 * clock.MILLISECOND},
        rate_reports=reports,
    )


REPORTS = {
    'i-0011223344': rate_limits.Report(
        rate=0.5, age=40 * clock.MILLISECOND, sent=9
    ),
    'i-5566778899': rate_limits.Report(rate=None, age=None, sent=0),
}


@hypothesis.given(
    st.dictionaries(
        st.text('0123456789abcdef', min_size=10, max_size=12),
        st.integers(1, 99),
        max_size=120,
    )
)
def test_an_update_always_fits_and_keeps_all_but_some_loads(
    counts: dict[str, int],
) -> None:
    """It used to be dropped whole, with a leader's heartbeat."""
    encoded = peer_update.encode(update_of(counts, REPORTS))
    assert encoded.data is not None
    assert len(encoded.data) <= peer_update.MAX_DATAGRAM_BYTES
    decoded = peer_update.decode(encoded.data)
    kept = decoded.in_flight_counts
    assert len(kept) + encoded.omitted == len(counts)
    assert kept.items() <= counts.items()
    omitted = counts.keys() - kept.keys()
    assert all(counts[a] <= counts[b] for a in omitted for b in kept)
    decoded.in_flight_counts = counts
    assert decoded == update_of(counts, REPORTS)


def test_an_update_that_cannot_fit_is_not_sent() -> None:
    """More reports than :data:`rate_limits.MAX_REPORTS`."""
    many = {f'i-{n:010}': REPORTS['i-0011223344'] for n in range(80)}
    encoded = peer_update.encode(update_of({'a': 1}, many))
    assert encoded == peer_update.EncodedUpdate(data=None, omitted=1)


@pytest.mark.parametrize(
    'report',
    [
        '[]',
        '[1.0, 5]',
        '["x", 5, 1]',
        '[1.0, {}, 1]',
        '[1, 1e300, 1]',
        '[1, 1e14, 1]',
        '7',
    ],
)
def test_an_invalid_report_makes_an_update_invalid(report: str) -> None:
    """No part of it may be applied."""
    text = f'["g","i",1,{{}},1,0,{{}},"z",false,{{}},{{"w":{report}}}]'
    with pytest.raises(peer_update.InvalidUpdate):
        peer_update.decode(text.encode())


def test_an_age_that_is_too_long_makes_an_update_invalid() -> None:
    """It used to raise an OverflowError in the receiver."""
    text = b'["g","i",1,{},1,0,{},"z",false,{"s/g":1e300}]'
    with pytest.raises(peer_update.InvalidUpdate):
        peer_update.decode(text)


def test_the_age_of_a_report_survives_in_milliseconds() -> None:
    """Clocks of processes are not comparable, ages are."""
    age = datetime.timedelta(milliseconds=1500, microseconds=700)
    report = rate_limits.Report(rate=1.0, age=age, sent=1)
    encoded = peer_update.encode(update_of({}, {'w': report}))
    assert encoded.data is not None
    decoded = peer_update.decode(encoded.data).rate_reports['w']
    assert decoded.age == 1500 * clock.MILLISECOND
