"""Who reads the store, and who follows whom, by a driven clock."""

import datetime

from aspenfold._internal.gateway import reader_selection
from aspenfold._internal.kernel import clock

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
START = clock.EPOCH
FULL, PROBE, NONE = (
    reader_selection.ReadMode.FULL,
    reader_selection.ReadMode.PROBE,
    reader_selection.ReadMode.NONE,
)


def reader(host: str = 'g-2') -> reader_selection.ReaderSelection:
    """Return a gateway of zone a that reads the store."""
    found = reader_selection.ReaderSelection(host=host, zone='a', now=START)
    found.on_store_success()
    return found


def test_one_that_knows_nobody_reads() -> None:
    """Others may follow it once the store has answered."""
    found = reader_selection.ReaderSelection(host='g-2', zone='a', now=START)
    assert found.read_mode(START) is FULL
    assert not found.is_reader(START)
    found.on_store_success()
    assert found.is_reader(START)


def test_it_follows_a_reader_of_its_zone_that_goes_before_it() -> None:
    """And reads no more once that gives news."""
    found = reader()
    found.on_peer_update('g-1', 'a', True, START)
    found.on_peer_update('g-0', 'b', True, START)
    assert found.reader_to_follow(START) == 'g-1'
    assert found.read_mode(START) is FULL
    found.on_relayed('g-1', START)
    assert found.read_mode(START) is NONE
    assert not found.is_reader(START)


def test_it_does_not_follow_one_behind_it_nor_one_that_follows() -> None:
    """So that two never wait for each other."""
    found = reader()
    found.on_peer_update('g-3', 'a', True, START)
    found.on_peer_update('g-1', 'a', False, START)
    assert found.reader_to_follow(START) == ''


def test_what_one_gateway_does_is_left_to_readers_that_have_settled() -> None:
    """Not at a start, nor while the store or a peer's news is away."""
    found = reader()
    assert found.is_passive(START)
    later = START + reader_selection.PEER_DISCOVERY_DURATION
    assert not found.is_passive(later)
    found.on_store_failure(later)
    assert not found.is_passive(later)
    found.on_store_failure(later)
    assert found.is_passive(later)
    found.on_store_success()
    found.on_peer_update('g-1', 'a', True, later)
    assert not found.is_passive(later)
    found.on_relayed('g-1', later)
    assert found.is_passive(later)


def test_late_news_is_no_news() -> None:
    """It reads at once, and does not follow that peer for a while."""
    found = reader()
    found.on_peer_update('g-1', 'a', True, START)
    found.on_relayed('g-1', START)
    later = START + reader_selection.RELAY_TIMEOUT + MS
    assert found.read_mode(later) is FULL
    found.on_relay_failed('g-1', later)
    found.on_peer_update('g-1', 'a', True, later)
    assert found.reader_to_follow(later) == ''
    after = later + reader_selection.PEER_BACKOFF_DURATION
    found.on_peer_update('g-1', 'a', True, after)
    assert found.reader_to_follow(after) == 'g-1'


def test_one_that_the_store_turns_away_follows_any_zone() -> None:
    """It asks the store at times, and comes back to its own zone."""
    found = reader('g-1')
    found.on_peer_update('h-1', 'b', True, START)
    assert found.reader_to_follow(START) == ''
    found.on_store_failure(START)
    assert not found.store_lost
    assert found.is_reader(START)
    found.on_store_failure(START)
    assert found.store_lost
    assert found.reader_to_follow(START) == 'h-1'
    found.on_relayed('h-1', START + SECOND)
    assert found.read_mode(START + SECOND) is NONE
    found.on_relayed('h-1', START + 2 * SECOND)
    assert found.read_mode(START + 2 * SECOND) is PROBE
    assert not found.is_reader(START + 2 * SECOND)
    found.on_store_success()
    assert found.reader_to_follow(START + 2 * SECOND) == ''


def test_one_that_stops_reading_is_followed_only_when_it_says_so() -> None:
    """A peer that answered that it does not read."""
    found = reader()
    found.on_peer_update('g-1', 'a', True, START)
    found.on_reader_stopped('g-1')
    assert found.reader_to_follow(START) == ''
    found.on_peer_update('g-1', 'a', True, START)
    assert found.reader_to_follow(START) == 'g-1'


def test_a_silent_peer_is_not_followed() -> None:
    """Its last word is too old."""
    found = reader()
    found.on_peer_update('g-1', 'a', True, START)
    assert (
        found.reader_to_follow(START + reader_selection.PEER_TIMEOUT + MS)
        == ''
    )


def test_only_the_first_of_a_zone_asks_a_lost_store_quickly() -> None:
    """The others hear from it when the store is back."""
    found = reader('g-2')
    found.on_peer_update('h-1', 'b', False, START)
    assert (
        found.max_retry_delay(START)
        == reader_selection.FIRST_HOST_MAX_RETRY_DELAY
    )
    found.on_peer_update('g-1', 'a', False, START)
    assert (
        found.max_retry_delay(START)
        == reader_selection.OTHER_HOST_MAX_RETRY_DELAY
    )
    later = START + reader_selection.PEER_TIMEOUT + MS
    assert (
        found.max_retry_delay(later)
        == reader_selection.FIRST_HOST_MAX_RETRY_DELAY
    )
