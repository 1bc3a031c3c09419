"""Who reads the store, and who follows whom, by a driven clock."""

import datetime

from aspenfold._internal.gateway import reader_selection
from aspenfold._internal.kernel import clock

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
START = clock.EPOCH
FULL, PROBE, NONE = (
    reader_selection.Pace.FULL,
    reader_selection.Pace.PROBE,
    reader_selection.Pace.NONE,
)


def reader(host: str = 'g-2') -> reader_selection.Source:
    """Return a gateway of zone a that reads the store."""
    found = reader_selection.Source(host=host, zone='a', now=START)
    found.store_answered()
    return found


def test_one_that_knows_nobody_reads() -> None:
    """Others may follow it once the store has answered."""
    found = reader_selection.Source(host='g-2', zone='a', now=START)
    assert found.pace(START) is FULL
    assert not found.reads(START)
    found.store_answered()
    assert found.reads(START)


def test_it_follows_a_reader_of_its_zone_that_goes_before_it() -> None:
    """And reads no more once that gives news."""
    found = reader()
    found.heard('g-1', 'a', True, START)
    found.heard('g-0', 'b', True, START)
    assert found.follows(START) == 'g-1'
    assert found.pace(START) is FULL
    found.news('g-1', START)
    assert found.pace(START) is NONE
    assert not found.reads(START)


def test_it_does_not_follow_one_behind_it_nor_one_that_follows() -> None:
    """So that two never wait for each other."""
    found = reader()
    found.heard('g-3', 'a', True, START)
    found.heard('g-1', 'a', False, START)
    assert found.follows(START) == ''


def test_what_one_gateway_does_is_left_to_readers_that_have_settled() -> None:
    """Not at a start, nor while the store or a peer's news is away."""
    found = reader()
    assert found.rests(START)
    later = START + reader_selection.SETTLE_TIME
    assert not found.rests(later)
    found.store_failed(later)
    assert not found.rests(later)
    found.store_failed(later)
    assert found.rests(later)
    found.store_answered()
    found.heard('g-1', 'a', True, later)
    assert not found.rests(later)
    found.news('g-1', later)
    assert found.rests(later)


def test_late_news_is_no_news() -> None:
    """It reads at once, and does not follow that peer for a while."""
    found = reader()
    found.heard('g-1', 'a', True, START)
    found.news('g-1', START)
    later = START + reader_selection.RELAY_LIMIT + MS
    assert found.pace(later) is FULL
    found.dropped('g-1', later)
    found.heard('g-1', 'a', True, later)
    assert found.follows(later) == ''
    after = later + reader_selection.DISTRUST
    found.heard('g-1', 'a', True, after)
    assert found.follows(after) == 'g-1'


def test_one_that_the_store_turns_away_follows_any_zone() -> None:
    """It asks the store at times, and comes back to its own zone."""
    found = reader('g-1')
    found.heard('h-1', 'b', True, START)
    assert found.follows(START) == ''
    found.store_failed(START)
    assert not found.lost
    assert found.reads(START)
    found.store_failed(START)
    assert found.lost
    assert found.follows(START) == 'h-1'
    found.news('h-1', START + SECOND)
    assert found.pace(START + SECOND) is NONE
    found.news('h-1', START + 2 * SECOND)
    assert found.pace(START + 2 * SECOND) is PROBE
    assert not found.reads(START + 2 * SECOND)
    found.store_answered()
    assert found.follows(START + 2 * SECOND) == ''


def test_one_that_stops_reading_is_followed_only_when_it_says_so() -> None:
    """A peer that answered that it does not read."""
    found = reader()
    found.heard('g-1', 'a', True, START)
    found.ended('g-1')
    assert found.follows(START) == ''
    found.heard('g-1', 'a', True, START)
    assert found.follows(START) == 'g-1'


def test_a_silent_peer_is_not_followed() -> None:
    """Its last word is too old."""
    found = reader()
    found.heard('g-1', 'a', True, START)
    assert found.follows(START + reader_selection.HEARD_LIMIT + MS) == ''


def test_only_the_first_of_a_zone_asks_a_lost_store_quickly() -> None:
    """The others hear from it when the store is back."""
    found = reader('g-2')
    found.heard('h-1', 'b', False, START)
    assert found.longest_retry(START) == reader_selection.QUICK_RETRY
    found.heard('g-1', 'a', False, START)
    assert found.longest_retry(START) == reader_selection.SLOW_RETRY
    later = START + reader_selection.HEARD_LIMIT + MS
    assert found.longest_retry(later) == reader_selection.QUICK_RETRY
