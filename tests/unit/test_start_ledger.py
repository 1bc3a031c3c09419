"""What was begun under a start of an endpoint, until it ends."""

import asyncio
import datetime

import hypothesis
from hypothesis import strategies as st
import pytest

from aspenfold._internal.gateway import endpoint_connection
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock
from aspenfold._internal.network import http1_client
from tests.lib import samples

SECOND = datetime.timedelta(seconds=1)
NOW = clock.EPOCH + 1_000 * SECOND
START = 'w-1@1'


class Ledger(start_ledger.StartLedger):
    """A ledger whose requests differ in their bodies only."""

    def send(
        self, body: bytes, at_s: float, incarnation: str = START
    ) -> start_ledger.BegunRequest:
        """Begin a request ``at_s`` seconds after the start of the test."""
        return self.begin(
            call_id=body.decode(),
            incarnation=incarnation,
            request=samples.request(body=body),
            withdraw=lambda: None,
            now=at(at_s),
        )

    def present(self, incarnation: str = START) -> list[str]:
        """End a start; return the requests that it had not answered."""
        return [one.call_id for one in self.end(incarnation).begun]


def at(seconds: float) -> datetime.datetime:
    """Return a time of the test."""
    return NOW + seconds * SECOND


def test_a_request_is_there_until_it_is_answered() -> None:
    """Whether its attempt goes on, or has stopped."""
    ledger = Ledger()
    ledger.send(b'waits', 0)
    ledger.stop(ledger.send(b'left', 0), at(0.1))
    ledger.finish(ledger.send(b'answered', 0))
    ledger.send(b'elsewhere', 0, 'w-2@1')
    assert ledger.present() == ['waits', 'left']
    assert ledger.present() == []
    assert ledger.present('w-2@1') == ['elsewhere']


def test_a_request_is_forgotten_some_time_after_its_attempt() -> None:
    """Endpoints end for other reasons later."""
    ledger = Ledger()
    retention_s = start_ledger.RETENTION / SECOND
    ledger.stop(ledger.send(b'early', 0), at(1))
    ledger.stop(ledger.send(b'late', 0), at(2))
    ledger.send(b'waits', 0)
    ledger.forget_old(at(1 + retention_s))
    assert ledger.present() == ['late', 'waits']


def test_what_is_kept_of_a_stopped_attempt_is_small_and_limited() -> None:
    """Bodies are not kept; the oldest attempts are forgotten first."""
    ledger = Ledger()
    limit = start_ledger.MAX_STOPPED_PER_START
    for number in range(limit + 3):
        begun = ledger.send(b'%d' % number, 0)
        suspects = begun.find_suspects()
        ledger.stop(begun, at(0.1))
        assert begun.request is None
        assert begun.find_suspects() == suspects
    assert ledger.present() == [str(n) for n in range(3, limit + 3)]


def test_starts_share_a_limit() -> None:
    """Many endpoints with few requests each."""
    ledger = Ledger()
    limit = start_ledger.MAX_STOPPED
    for number in range(limit + 1):
        ledger.stop(ledger.send(b'x', 0, f'w-{number}'), at(0.1))
    assert ledger.present('w-0') == []
    assert ledger.present('w-1') == ['x']
    assert ledger.present(f'w-{limit}') == ['x']


def test_what_is_sent_after_an_end_is_at_the_next_start() -> None:
    """The list shows that one later; its end is one more (issue 39)."""
    ledger = Ledger()
    ledger.send(b'first', 0)
    assert ledger.present() == ['first']
    second = ledger.send(b'second', 4)
    assert second.incarnation != START
    assert ledger.present(START) == []
    assert ledger.present(second.incarnation) == ['second']
    third = ledger.send(b'third', 8)
    assert third.incarnation not in (START, second.incarnation)


def test_the_listed_start_takes_over_what_was_sent_to_it_before() -> None:
    """It was sent under a name that other gateways may not use."""
    ledger = Ledger()
    ledger.send(b'first', 0)
    ledger.present()
    ledger.send(b'second', 4)
    assert ledger.replace(START, 'w-1@2', at(4)).begun == ()
    ledger.send(b'third', 5, 'w-1@2')
    assert ledger.present('w-1@2') == ['second', 'third']


def test_a_start_whose_place_another_one_has_has_ended() -> None:
    """By its name, or by its address."""
    for successor in ('w-1@2', None):
        ledger = Ledger()
        ledger.send(b'first', 0)
        (begun,) = ledger.replace(START, successor, at(1)).begun
        assert begun.has_ended


def test_who_is_heard_after_a_sign_of_the_end_was_not_there() -> None:
    """Streams at sound endpoints were cut by false signs (issue 45)."""
    for successor in ('w-1@2', None):
        ledger = Ledger()
        ledger.send(b'silent', 0)
        heard = ledger.send(b'heard', 1)
        later = ledger.send(b'later', 2)
        ledger.record_output(heard, at(4))
        (begun,) = ledger.replace(START, successor, at(3)).begun
        assert begun.call_id == 'silent'
        assert not heard.has_ended
        assert not later.has_ended
        assert ledger.count_begun(heard.incarnation) == 2


def test_a_start_that_is_heard_after_a_sign_has_not_ended() -> None:
    """Nothing that was sent to it is older than what was heard."""
    ledger = Ledger()
    heard = ledger.send(b'heard', 0)
    ledger.send(b'silent', 1)
    ledger.record_output(heard, at(4))
    assert ledger.replace(START, None, at(3)).begun == ()
    assert ledger.current(START) == START
    assert ledger.count_begun(START) == 2


def test_who_was_sent_after_a_peer_told_of_an_end_was_not_there() -> None:
    """The peer tells it again in each update."""
    ledger = Ledger()
    ledger.send(b'before', 1)
    after = ledger.send(b'after', 3)
    (begun,) = ledger.end_as_told(START, at(2)).begun
    assert begun.call_id == 'before'
    assert begun.has_ended
    assert not after.has_ended
    assert ledger.end_as_told(START, at(9)).begun == ()
    assert ledger.present(ledger.current(START)) == ['after']


def test_a_peer_may_know_of_a_start_that_was_never_listed() -> None:
    """What is sent now is at the one after that."""
    ledger = Ledger()
    ledger.end_as_told(f'{START}{start_ledger.UNLISTED_MARK}', at(1))
    begun = ledger.send(b'x', 2)
    assert begun.incarnation == f'{START}{2 * start_ledger.UNLISTED_MARK}'


def test_an_end_is_dated_by_the_last_sign_of_who_was_there() -> None:
    """Answers that came since clear their fingerprints."""
    ledger = Ledger()
    assert ledger.end(START).alive_at() is None
    ledger.send(b'silent', 1)
    ledger.record_output(ledger.send(b'begun', 0), at(2))
    ledger.finish(ledger.send(b'answered', 3))
    assert ledger.end(START).alive_at() == at(2)


@pytest.mark.parametrize('stopped', [False, True])
def test_an_end_late_in_an_answer_is_told_from_an_early_one(
    stopped: bool,
) -> None:
    """A stream that is repeated may end each endpoint after seconds."""
    ledger = Ledger()
    requests = [samples.request(f'part-{n}', body=b'%d' % n) for n in range(2)]
    for request, until in zip(requests, (1.0, 0.9), strict=True):
        begun = ledger.begin(
            call_id='one',
            incarnation=START,
            request=request,
            withdraw=lambda: None,
            now=at(0),
        )
        ledger.record_output(begun, at(0))
        ledger.record_output(begun, at(until))
        if stopped:
            ledger.stop(begun, at(2))
    long, short = requests
    assert ledger.end(START).suspects() == {long.late, *short.early()}


def test_a_start_is_checked_once_it_was_silent_for_long_enough() -> None:
    """The time counts from its last sign, in whichever request."""
    ledger = Ledger()
    silence_s = start_ledger.MIN_SILENCE / SECOND
    waiting_s = start_ledger.MAX_SILENCE / SECOND
    other = ledger.send(b'other', 0)
    left = ledger.send(b'left', 0)
    assert ledger.time_to_check(START, at(0.1)) == (waiting_s - 0.1) * SECOND
    ledger.stop(left, at(0.1))
    assert ledger.time_to_check(START, at(0.1)) == (silence_s - 0.1) * SECOND
    ledger.record_output(other, at(0.4))
    assert ledger.time_to_check(START, at(0.5)) == (silence_s - 0.1) * SECOND
    assert not ledger.time_to_check(START, at(5))
    ledger.record_output(other, at(0.1 + silence_s))
    assert (
        ledger.time_to_check(START, at(0.1 + silence_s)) == waiting_s * SECOND
    )
    ledger.finish(other)
    assert ledger.time_to_check(START, at(0.1 + silence_s)) is None


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(['send', 'output', 'stop', 'finish', 'end']),
            st.integers(0, 5),
            st.floats(0, 3),
        ),
        max_size=60,
    )
)
def test_nobody_who_was_there_lately_is_missed(
    steps: list[tuple[str, int, float]],
) -> None:
    """Any order of sends, outputs, stops, answers and ends."""
    ledger, now_s = Ledger(), 0.0
    open_: dict[int, start_ledger.BegunRequest] = {}
    there: dict[str, float | None] = {}
    for count, (step, number, wait_s) in enumerate(steps):
        now_s += wait_s
        begun = open_.get(number)
        if step == 'send':
            open_[number] = ledger.send(b'%d' % count, now_s)
            there[str(count)] = None
        elif step == 'end':
            retention_s = start_ledger.RETENTION / SECOND
            expected = {
                name
                for name, stopped_s in there.items()
                if stopped_s is None or now_s - stopped_s < retention_s
            }
            assert expected <= set(ledger.present(ledger.current(START)))
            there.clear()
        elif begun is None or begun.call_id not in there:
            continue
        elif step == 'output':
            ledger.record_output(begun, at(now_s))
        elif step == 'stop' and there[begun.call_id] is None:
            ledger.stop(begun, at(now_s))
            there[begun.call_id] = now_s
        elif step == 'finish' and there[begun.call_id] is None:
            ledger.finish(begun)
            del there[begun.call_id]


def test_an_endpoint_has_not_ended_since_one_connection_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On a lossy link the packet that opens it is lost now and then."""
    listing = endpoint_listing.Listing(
        name='w-1',
        service='plain',
        host='127.0.0.1',
        port=1,
        zone='zone-a',
        capacity=1,
        draining=False,
    )
    results = [False, True, False, False]

    async def connect(*_: object) -> http1_client.Connection:
        if results.pop(0):
            return http1_client.Connection()
        raise http1_client.NotConnected('lost')

    monkeypatch.setattr(http1_client, 'connect', connect)
    assert asyncio.run(endpoint_connection.is_listening(listing))
    assert not asyncio.run(endpoint_connection.is_listening(listing))
    assert not results
