"""The token bucket that limits of rates share."""

import datetime

import hypothesis
from hypothesis import strategies as st

from aspenfold._internal.kernel import clock
from aspenfold._internal.kernel import token_bucket

SECOND = datetime.timedelta(seconds=1)


def make_bucket(rate: float, burst: float) -> token_bucket.TokenBucket:
    """Return a full bucket at the epoch."""
    return token_bucket.TokenBucket(rate=rate, burst=burst, now=clock.EPOCH)


@hypothesis.given(
    st.floats(0, 50),
    st.integers(1, 5),
    st.lists(st.integers(0, 500), min_size=1, max_size=40),
)
def test_no_more_than_the_rate_and_the_burst(
    rate: float, burst: int, pauses_ms: list[int]
) -> None:
    """Over any time, however often tokens are asked for."""
    bucket = make_bucket(rate, burst)
    now = clock.EPOCH
    taken = 0
    for pause in pauses_ms:
        now += pause * clock.MILLISECOND
        taken += bucket.take(now) is None
        elapsed = (now - clock.EPOCH) / SECOND
        assert taken <= burst + rate * elapsed + 1e-6


def test_the_wait_ends_with_a_token() -> None:
    """Callers get the wait as Retry-After."""
    bucket = make_bucket(2.0, 1.0)
    assert bucket.take(clock.EPOCH) is None
    wait = bucket.take(clock.EPOCH)
    assert wait == SECOND / 2
    assert bucket.take(clock.EPOCH + wait) is None


def test_a_rate_of_zero_has_a_wait() -> None:
    """An organisation or endpoint may be limited to nothing."""
    bucket = make_bucket(0.0, 1.0)
    assert bucket.take(clock.EPOCH) is None
    assert bucket.take(clock.EPOCH) == token_bucket.MAX_WAIT


def test_tokens_used_elsewhere_are_owed_up_to_a_limit() -> None:
    """A debt delays the next token, but not for ever."""
    bucket = make_bucket(1.0, 1.0)
    bucket.debit(3, clock.EPOCH, max_debt=4)
    assert bucket.wait(clock.EPOCH) == 3 * SECOND
    bucket.debit(100, clock.EPOCH, max_debt=4)
    assert bucket.wait(clock.EPOCH) == 5 * SECOND
