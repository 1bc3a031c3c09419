"""Selection of the gateway that reads the store, with given times."""

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
    """Return the selection of a gateway in zone a that reads the store."""
    selection = reader_selection.ReaderSelection(
        host=host, zone='a', now=START
    )
    selection.on_store_success()
    return selection


def test_gateway_without_peers_reads() -> None:
    """It is a reader only once the store has answered."""
    selection = reader_selection.ReaderSelection(
        host='g-2', zone='a', now=START
    )
    assert selection.read_mode(START) is FULL
    assert not selection.is_reader(START)
    selection.on_store_success()
    assert selection.is_reader(START)


def test_gateway_follows_reader_of_its_zone_with_lower_name() -> None:
    """It stops reading only once it receives relayed records."""
    selection = reader()
    selection.on_peer_update('g-1', 'a', True, START)
    selection.on_peer_update('g-0', 'b', True, START)
    assert selection.reader_to_follow(START) == 'g-1'
    assert selection.read_mode(START) is FULL
    selection.on_relayed('g-1', START)
    assert selection.read_mode(START) is NONE
    assert not selection.is_reader(START)


def test_gateway_follows_neither_higher_name_nor_follower() -> None:
    """Two gateways must never follow each other."""
    selection = reader()
    selection.on_peer_update('g-3', 'a', True, START)
    selection.on_peer_update('g-1', 'a', False, START)
    assert selection.reader_to_follow(START) == ''


def test_only_reader_that_has_discovered_peers_is_active() -> None:
    """A gateway is passive at its start, without the store and following."""
    selection = reader()
    assert selection.is_passive(START)
    later = START + reader_selection.PEER_DISCOVERY_DURATION
    assert not selection.is_passive(later)
    selection.on_store_failure(later)
    assert not selection.is_passive(later)
    selection.on_store_failure(later)
    assert selection.is_passive(later)
    selection.on_store_success()
    selection.on_peer_update('g-1', 'a', True, later)
    assert not selection.is_passive(later)
    selection.on_relayed('g-1', later)
    assert selection.is_passive(later)


def test_late_relay_makes_gateway_read() -> None:
    """It does not follow that reader again for a while."""
    selection = reader()
    selection.on_peer_update('g-1', 'a', True, START)
    selection.on_relayed('g-1', START)
    later = START + reader_selection.RELAY_TIMEOUT + MS
    assert selection.read_mode(later) is FULL
    selection.on_relay_failed('g-1', later)
    selection.on_peer_update('g-1', 'a', True, later)
    assert selection.reader_to_follow(later) == ''
    after = later + reader_selection.PEER_BACKOFF_DURATION
    selection.on_peer_update('g-1', 'a', True, after)
    assert selection.reader_to_follow(after) == 'g-1'


def test_gateway_without_store_follows_reader_of_any_zone() -> None:
    """It probes the store, and reads in its own zone once it answers."""
    selection = reader('g-1')
    selection.on_peer_update('h-1', 'b', True, START)
    assert selection.reader_to_follow(START) == ''
    selection.on_store_failure(START)
    assert not selection.store_lost
    assert selection.is_reader(START)
    selection.on_store_failure(START)
    assert selection.store_lost
    assert selection.reader_to_follow(START) == 'h-1'
    selection.on_relayed('h-1', START + SECOND)
    assert selection.read_mode(START + SECOND) is NONE
    selection.on_relayed('h-1', START + 2 * SECOND)
    assert selection.read_mode(START + 2 * SECOND) is PROBE
    assert not selection.is_reader(START + 2 * SECOND)
    selection.on_store_success()
    assert selection.reader_to_follow(START + 2 * SECOND) == ''


def test_stopped_reader_is_followed_only_after_new_update() -> None:
    """Following it at once would fail again and again."""
    selection = reader()
    selection.on_peer_update('g-1', 'a', True, START)
    selection.on_reader_stopped('g-1')
    assert selection.reader_to_follow(START) == ''
    selection.on_peer_update('g-1', 'a', True, START)
    assert selection.reader_to_follow(START) == 'g-1'


def test_silent_peer_is_not_followed() -> None:
    """Its process may have ended."""
    selection = reader()
    selection.on_peer_update('g-1', 'a', True, START)
    assert (
        selection.reader_to_follow(START + reader_selection.PEER_TIMEOUT + MS)
        == ''
    )


def test_only_first_gateway_of_zone_retries_lost_store_quickly() -> None:
    """Retries of all gateways would load the store and cost money."""
    selection = reader('g-2')
    selection.on_peer_update('h-1', 'b', False, START)
    assert (
        selection.max_retry_delay(START)
        == reader_selection.FIRST_HOST_MAX_RETRY_DELAY
    )
    selection.on_peer_update('g-1', 'a', False, START)
    assert (
        selection.max_retry_delay(START)
        == reader_selection.OTHER_HOST_MAX_RETRY_DELAY
    )
    later = START + reader_selection.PEER_TIMEOUT + MS
    assert (
        selection.max_retry_delay(later)
        == reader_selection.FIRST_HOST_MAX_RETRY_DELAY
    )
