"""Quarantine over several gateways, and its messages."""

import datetime

import hypothesis
from hypothesis import strategies as st
import pytest
from tests.lib import peer_updates

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import hold
from aspenfold._internal.gateway import peer_update
from aspenfold._internal.gateway import peers
from aspenfold._internal.gateway import quarantine
from aspenfold._internal.gateway import quarantine_report
from aspenfold._internal.gateway import settings
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock
from tests.lib import samples

SECOND = datetime.timedelta(seconds=1)
NOW = clock.EPOCH + 10_000 * SECOND


class Gateways:
    """Gateways that exchange reports at once."""

    def __init__(self, count: int) -> None:
        self.now = NOW
        self.all = [
            quarantine.Quarantine(host=f'g-{number}')
            for number in range(count)
        ]
        self._endpoints = 0

    def crash(
        self, number: int, request: fingerprints.RequestFingerprints
    ) -> None:
        """Let a new endpoint end under a request of a gateway."""
        self._endpoints += 1
        self.all[number].record_crash(
            f'w-{self._endpoints}', request.early(), self.now
        )

    def wait(self, seconds: float = 1.0) -> None:
        """Let time pass, with an exchange at its end."""
        self.now += seconds * SECOND
        for one in self.all:
            one.update(self.now)
        for sender in self.all:
            report = sender.report(self.now)
            for one in self.all:
                if one is not sender:
                    one.receive('peer', report, self.now)

    def send(
        self, number: int, request: fingerprints.RequestFingerprints
    ) -> bool:
        """Return whether a gateway sends a request."""
        one = self.all[number]
        if one.admit(request, self.now) is not None:
            return False
        one.record_sent(request)
        return True

    def held(self, request: fingerprints.RequestFingerprints) -> list[bool]:
        """Return whether each gateway keeps a request back."""
        return [one.is_held(request) for one in self.all]


def test_an_endpoint_that_seems_to_end_again_and_again_ended_once() -> None:
    """Soak seed 2: its address took connections and reset or refused them."""
    gateways = Gateways(3)
    asked_for = samples.request(body=b'what many ask for')
    for number in range(30):
        start = 'w-1' + start_ledger.UNLISTED_MARK * number
        gateways.all[number % 3].record_crash(
            start, asked_for.early(), gateways.now
        )
        gateways.wait(0.015)
    gateways.wait(1.0)
    gateways.wait(1.0)
    assert gateways.held(asked_for) == [False] * 3


def test_a_request_that_is_held_after_many_crashes_is_tried_soon() -> None:
    """What many ask for may have been at each of them by chance."""
    gateways = Gateways(1)
    request = samples.request(body=b'what many ask for')
    for _ in range(9):
        gateways.crash(0, request)
        gateways.wait(0.1)
    gateways.wait(1.0)
    assert gateways.held(request) == [True]
    gateways.now += hold.EARLY_TRIAL_AGE
    request = samples.request(body=b'what many ask for')
    assert gateways.all[0].admit(request, gateways.now) is None
    gateways.all[0].record_answer(request, gateways.now)
    assert not gateways.all[0].count()


def test_a_trial_that_no_endpoint_gets_is_not_spent() -> None:
    """Another request takes its turn; one at a time."""
    gateways = Gateways(1)
    (one,) = gateways.all
    request = samples.request(body=b'x')
    for _ in range(3):
        gateways.crash(0, request)
        gateways.wait()
    gateways.wait()
    gateways.now += hold.EARLY_TRIAL_AGE
    first, second, third = (samples.request(body=b'x') for _ in range(3))
    assert one.admit(first, gateways.now) is None
    assert one.admit(second, gateways.now) is not None
    one.end_trial(first)
    assert one.admit(second, gateways.now) is None
    one.record_sent(second)
    one.end_trial(second)
    assert one.admit(third, gateways.now) is not None


@pytest.mark.parametrize('are_silent', [True, False])
def test_requests_at_silent_endpoints_speak_for_nothing(
    are_silent: bool,
) -> None:
    """Play 65: the copies that waited at them kept the request from a hold."""
    ledger = start_ledger.StartLedger()
    one = quarantine.Quarantine(host='g-1', ledger=ledger)
    bad = samples.request(body=b'bad')
    waiting = [f'w-{number}' for number in range(4)]
    for name in waiting:
        ledger.begin(
            call_id=name,
            incarnation=name,
            request=bad,
            withdraw=lambda: None,
            now=NOW,
        )
    for number in range(3):
        one.record_crash(f'ended-{number}', bad.early(), NOW)
    for step in range(1, 14):
        now = NOW + 0.1 * step * SECOND
        for name in waiting:
            if not are_silent:
                ledger.record_sign(name, now)
        one.update(now)
        assert not (step <= 5 and one.is_held(bad))
    assert one.is_held(bad) is are_silent


def test_crashes_at_three_gateways_make_one_verdict_at_all() -> None:
    """None of them has seen more than one."""
    gateways = Gateways(8)
    for number in range(3):
        gateways.crash(
            number, samples.request('a', 'bad', body=b'%d' % number)
        )
        gateways.all[7].record_answer(samples.request('a'), gateways.now)
        gateways.wait()
    gateways.wait()
    assert gateways.held(samples.request('x', 'bad')) == [True] * 8
    assert gateways.held(samples.request('a')) == [False] * 8


def test_a_suspect_is_cleared_by_the_answer_of_any_gateway() -> None:
    """The others never sent a request with it."""
    gateways = Gateways(4)
    for number in range(5):
        gateways.crash(number % 3, samples.request('a', body=b'%d' % number))
        gateways.wait()
        gateways.all[3].record_answer(samples.request('a'), gateways.now)
        gateways.wait()
    assert gateways.held(samples.request('a')) == [False] * 4


def test_a_new_gateway_knows_the_quarantine_from_any_peer() -> None:
    """Also once the crashes themselves are forgotten."""
    gateways = Gateways(2)
    for number in range(3):
        gateways.crash(0, samples.request('bad', body=b'%d' % number))
        gateways.wait()
    gateways.wait(700)
    gateways.all[0] = quarantine.Quarantine(host='g-0')
    gateways.wait()
    assert gateways.held(samples.request('bad')) == [True, True]


def test_a_quarantine_lasts_while_such_requests_come_to_any_gateway() -> None:
    """It ends an hour after the last one."""
    gateways = Gateways(2)
    for number in range(3):
        gateways.crash(0, samples.request('bad', body=b'%d' % number))
        gateways.wait()
    for _ in range(5):
        gateways.wait(1800)
        gateways.all[1].admit(samples.request('bad'), gateways.now)
        assert gateways.held(samples.request('bad')) == [True, True]
    assert gateways.all[0].count() == 1
    gateways.wait(3601)
    gateways.wait()
    assert [one.count() for one in gateways.all] == [0, 0]


def hold_bad(count: int) -> Gateways:
    """Return gateways that hold a part."""
    gateways = Gateways(count)
    for number in range(3):
        gateways.crash(0, samples.request('bad', body=b'%d' % number))
        gateways.wait()
    for one in gateways.all:
        one.set_peers([f'g-{number}' for number in range(count)])
    assert gateways.held(samples.request('bad')) == [True] * count
    return gateways


def sent(gateways: Gateways) -> int:
    """Return how many gateways send a request with the held part."""
    return sum(
        gateways.send(number, samples.request('bad'))
        for number in range(len(gateways.all))
    )


def test_all_gateways_together_make_two_trials_of_a_quarantine() -> None:
    """Each may cost an endpoint."""
    gateways = hold_bad(5)
    trials = 0
    for _ in range(48):
        gateways.wait(300)
        trials += sent(gateways)
        trials += sent(gateways)
        gateways.wait()
        assert trials <= 2
    assert trials == 2


def test_a_trial_that_is_answered_ends_the_quarantine() -> None:
    """The endpoints were mended."""
    gateways = hold_bad(3)
    gateways.wait(601)
    for number, one in enumerate(gateways.all):
        request = samples.request('bad')
        if gateways.send(number, request):
            assert not one.is_held(request)
            assert not one.may_retry(request, gateways.now)
            one.record_answer(request, gateways.now)
    gateways.wait()
    assert gateways.held(samples.request('bad')) == [False] * 3


def test_an_answer_ends_a_quarantine_everywhere() -> None:
    """A request that was sent before it was answered after all."""
    gateways = Gateways(3)
    for number in range(3):
        gateways.crash(0, samples.request('bad', body=b'%d' % number))
        gateways.wait()
    gateways.wait()
    assert gateways.held(samples.request('bad')) == [True] * 3
    gateways.all[2].record_answer(samples.request('bad'), gateways.now)
    gateways.wait()
    gateways.wait()
    assert gateways.held(samples.request('bad')) == [False] * 3


def test_a_repeated_request_is_held_and_others_of_its_path_are_not() -> None:
    """Another caller may be served another way."""
    gateways = Gateways(3)
    for number in range(3):
        gateways.crash(number, samples.request(body=b'crash'))
        gateways.wait()
    gateways.wait()
    assert gateways.held(samples.request(body=b'crash')) == [True] * 3
    assert gateways.held(samples.request(body=b'other')) == [False] * 3
    other = samples.request(body=b'crash', organisation='two')
    assert gateways.held(other) == [False] * 3


def test_requests_without_a_body_are_told_apart_by_their_prompts() -> None:
    """They have the path in common with many sound ones."""
    names = {samples.request('a').whole, samples.request('b').whole}
    assert len(names) == 2
    body = b'the same'
    one = samples.request('a', body=body)
    assert one.whole == samples.request('b', body=body).whole


def test_a_lost_request_is_tried_again_if_its_parts_were_answered() -> None:
    """The repeat of the cause would end a second endpoint."""
    one = quarantine.Quarantine(host='g-0')
    sound = samples.request('a')
    assert not one.may_retry(sound, NOW)
    one.record_answer(sound, NOW)
    assert one.may_retry(sound, NOW)
    assert not one.may_retry(samples.request('a', 'bad'), NOW)
    assert one.may_retry(samples.request(), NOW)


def test_a_request_that_ended_two_endpoints_is_not_tried_again() -> None:
    """The first may have been a coincidence."""
    one = quarantine.Quarantine(host='g-0')
    request = samples.request(body=b'x')
    one.record_crash('w-1', request.early(), NOW)
    assert one.may_retry(request, NOW)
    one.record_crash('w-2', request.early(), NOW + SECOND)
    assert not one.may_retry(request, NOW + SECOND)


def test_what_is_told_late_counts_from_when_it_was_sent() -> None:
    """A suspended gateway reads old updates when it goes on."""
    one = quarantine.Quarantine(host='g-0')
    for number in range(2):
        request = samples.request('bad', body=b'%d' % number)
        one.record_crash(f'w-{number}', request.early(), NOW + number * SECOND)
    one.update(NOW + 2 * SECOND)
    assert one.is_held(samples.request('bad'))
    report = quarantine_report.Report(
        answer_ages={samples.request('bad').parts[0]: SECOND}
    )
    late = NOW + 9 * SECOND
    one.receive('peer', report, late, sent_at=NOW)
    assert one.is_held(samples.request('bad'))
    one.receive('peer', report, late)
    assert not one.is_held(samples.request('bad'))


def test_the_delay_of_an_update_is_told_from_the_quickest_one() -> None:
    """Each says how long its process had run when it was sent."""
    sender = make_peers('g-1')
    receiver = make_peers('g-0')
    delays = []
    for seconds, delay_s in ((1, 0.0), (2, 0.05), (3, 4.0), (8, 0.02)):
        sent_at = NOW + seconds * SECOND
        outgoing = sender.next_update(sent_at)
        assert outgoing is not None
        now = sent_at + delay_s * SECOND
        update = receiver.receive(outgoing.data, '10.0.0.1', now)
        assert update is not None
        delays.append((now - receiver.sent_at(update, now)) / SECOND)
    # The clocks may have drifted by 2 ms in this time.
    assert delays == pytest.approx([0.0, 0.05, 4.0, 0.02], abs=0.002)


def test_clocks_that_drift_apart_make_no_update_late() -> None:
    """The sender's runs slower by 100 in a million, for a day."""
    sender = make_peers('g-1')
    receiver = make_peers('g-0')
    for minutes in range(24 * 60):
        now = NOW + minutes * 60 * SECOND
        outgoing = sender.next_update(NOW + minutes * 59.994 * SECOND)
        assert outgoing is not None
        update = receiver.receive(outgoing.data, '10.0.0.1', now)
        assert update is not None
    assert now - receiver.sent_at(update, now) < 0.1 * SECOND


def make_peers(host: str) -> peers.Peers:
    """Return the peer updates of a gateway that was started just now."""
    made = peers.Peers(
        host=host,
        zone='zone-a',
        incarnation=host,
        port=9,
        endpoint_directory=directory.Directory(),
        now=NOW,
    )
    addresses = {
        f'g-{number}': settings.TcpAddress(host=f'10.0.0.{number}', port=9)
        for number in range(2)
    }
    made.set_addresses(addresses)
    return made


NAMES = st.text('abcdefghij-_0123456789', min_size=1, max_size=12)
FINGERPRINTS = NAMES.map(fingerprints.Fingerprint)
AGES = st.integers(0, 3_600_000).map(lambda ms: ms * clock.MILLISECOND)
REPORTS = st.builds(
    quarantine_report.Report,
    crashes=st.lists(
        st.builds(
            quarantine_report.CrashReport,
            incarnation=NAMES,
            age=AGES,
            suspects=st.lists(FINGERPRINTS, max_size=6).map(tuple),
        ),
        max_size=6,
    ).map(tuple),
    answer_ages=st.dictionaries(FINGERPRINTS, AGES, max_size=40),
    holds=st.dictionaries(
        FINGERPRINTS,
        st.builds(
            quarantine_report.HoldReport,
            age=AGES,
            seen_age=AGES,
            crashes=st.integers(0, 99),
        ),
        max_size=32,
    ),
)


@hypothesis.given(REPORTS, st.dictionaries(NAMES, st.integers(1, 9)))
def test_an_update_fits_with_any_report(
    report: quarantine_report.Report, counts: dict[str, int]
) -> None:
    """What is in quarantine is left out last."""
    update = peer_updates.make_update(
        in_flight_counts=counts, quarantine=report
    )
    encoded = peer_update.encode(update)
    assert encoded.data is not None
    assert len(encoded.data) <= peer_update.MAX_DATAGRAM_BYTES
    decoded = peer_update.decode(encoded.data).quarantine
    assert decoded.crashes == report.crashes[: len(decoded.crashes)]
    if decoded.crashes:
        assert decoded == report or decoded.holds == report.holds


@hypothesis.given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=4),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=4), inner, max_size=3)
        ),
        max_leaves=12,
    )
)
def test_a_malformed_report_is_rejected(value: object) -> None:
    """It ends no task of the receiver."""
    try:
        report = quarantine_report.decode(value)
    except (ValueError, TypeError, AttributeError):
        return
    quarantine.Quarantine(host='g').receive('peer', report, NOW)


def held_early(count: int) -> Gateways:
    """Return gateways that hold a request after three crashes at once."""
    gateways = Gateways(count)
    for number in range(3):
        gateways.crash(number % count, samples.request(body=b'x'))
    gateways.wait()
    gateways.wait()
    for one in gateways.all:
        one.set_peers({f'g-{number}' for number in range(count)})
    assert gateways.held(samples.request(body=b'x')) == [True] * count
    return gateways


@pytest.mark.parametrize('is_sound', [False, True])
def test_a_request_held_after_three_crashes_is_soon_tried_once(
    is_sound: bool,
) -> None:
    """A failure of three hosts that had it looks the same."""
    gateways = held_early(3)
    tried = []
    for _ in range(40):
        gateways.wait(0.1)
        for number, one in enumerate(gateways.all):
            request = samples.request(body=b'x')
            if not gateways.send(number, request):
                continue
            tried.append(number)
            if is_sound:
                one.record_answer(request, gateways.now)
            else:
                gateways.crash(number, request)
    if is_sound:
        assert gateways.held(samples.request(body=b'x')) == [False] * 3
    else:
        assert len(tried) == 1
        assert gateways.held(samples.request(body=b'x')) == [True] * 3


@pytest.mark.parametrize('gateway_count', [1, 3, 8])
def test_a_request_among_many_suspects_is_known_to_all_gateways(
    gateway_count: int,
) -> None:
    """An update tells some suspects of a crash only."""
    for bad in range(8):
        gateways = Gateways(gateway_count)
        for number in range(4):
            suspects = [
                *samples.request(body=b'bad %d' % bad).early(),
                *(
                    fingerprint
                    for other in range(12)
                    for fingerprint in samples.request(
                        body=b'%d %d %d' % (bad, number, other)
                    ).early()
                ),
            ]
            gateways.all[number % gateway_count].record_crash(
                f'w-{number}', suspects, gateways.now
            )
            gateways.wait()
        gateways.wait()
        held = gateways.held(samples.request(body=b'bad %d' % bad))
        assert held == [True] * gateway_count
