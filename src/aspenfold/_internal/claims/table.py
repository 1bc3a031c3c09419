"""The holders of idempotency keys, built from a claim stream.

The first claim of a free key holds it, until a claim that supersedes the
holder is appended or the holder expires.  A key is scoped by its
organisation and hashed to one claim stream, so that all its claims have
one order.  A table needs every claim of the last ``window``: after it
misses trimmed records, it cannot decide keys until a window has passed.
"""

import collections
import dataclasses
import datetime

import pydantic
import xxhash

from aspenfold._internal.configuration import reader
from aspenfold._internal.models import records


def scoped_key(organisation: str, key: str) -> str:
    """Return the key as written in claims: a hash that hides its text."""
    return xxhash.xxh3_128_hexdigest(f'{organisation}\0{key}'.encode())


def stream_for_key(scoped_key: str, streams: int) -> str:
    """Return the name of the claim stream for the scoped key."""
    return records.claim_stream(int(scoped_key[:8], 16) % streams)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """The valid claim of a key.

    ``offset`` is that of its record, ``at`` its writer's time.
    """

    claim: records.Claim
    offset: int
    at: datetime.datetime


MAX_REQUEST_DELAY = datetime.timedelta(seconds=5)
"""Time that a request may take from its caller to the entry.

A request that took longer may be mistaken for a later submission of its
key.
"""

MAX_CLOCK_SKEW = datetime.timedelta(seconds=5)
"""Largest expected difference between the clocks of two entries."""


class ClaimTable:
    """The holders of the keys of one claim stream in the last ``window``.

    ``position`` is the offset to read next.
    """

    def __init__(self, *, window: datetime.timedelta) -> None:
        self._window = window
        self._holders: collections.OrderedDict[str, Holder] = (
            collections.OrderedDict()
        )
        self._complete_from: datetime.datetime | None = None
        self._latest_claim_at: datetime.datetime | None = None
        self._read_positions: collections.deque[
            tuple[datetime.datetime, int]
        ] = collections.deque()
        self._settled_position = 1
        self.position = 1

    def __len__(self) -> int:
        return len(self._holders)

    def has_all_claims(self, now: datetime.datetime) -> bool:
        """Return whether every claim of the last window was read."""
        return self._complete_from is None or now >= self._complete_from

    def holder(self, key: str) -> 'Holder | None':
        """Return the holder of ``key``, or None if it is free."""
        return self._holders.get(key)

    def settled_position(self, now: datetime.datetime) -> int:
        """Return the position that was reached well before ``now``.

        A request that arrives now was sent after the claims before this
        position were written.
        """
        while (
            self._read_positions
            and self._read_positions[0][0] <= now - MAX_REQUEST_DELAY
        ):
            _, self._settled_position = self._read_positions.popleft()
        return self._settled_position

    def apply_page(
        self, page: reader.Page, now: datetime.datetime
    ) -> set[str]:
        """Apply a page read from :attr:`position`; return the claimed keys."""
        self._check_trimmed(page, now)
        claimed_keys: set[str] = set()
        for record in page.records:
            if record.offset < self.position:
                continue
            self.position = record.offset + 1
            batch = _parse_batch(record)
            if batch is None:
                continue
            self._expire(batch.at)
            for claim in batch.claims:
                self._apply(claim, record.offset, batch.at)
                claimed_keys.add(claim.key)
        if claimed_keys:
            self._read_positions.append((now, self.position))
            self.settled_position(now)
        return claimed_keys

    def _check_trimmed(
        self, page: reader.Page, now: datetime.datetime
    ) -> None:
        if page.first_offset <= self.position:
            return
        is_new = self.position == 1
        self.position = page.first_offset
        if is_new and page.records:
            # A new reader misses only expired keys if the oldest record
            # left is older than the window.
            oldest = _parse_batch(page.records[0])
            if (
                oldest is not None
                and oldest.at <= now - self._window - MAX_CLOCK_SKEW
            ):
                return
        self._complete_from = now + self._window + MAX_CLOCK_SKEW

    def _apply(
        self, claim: records.Claim, offset: int, at: datetime.datetime
    ) -> None:
        holder = self._holders.get(claim.key)
        held_by = holder.claim.attempt_id if holder else ''
        if claim.supersedes != held_by:
            return
        self._holders[claim.key] = Holder(claim=claim, offset=offset, at=at)
        self._holders.move_to_end(claim.key)

    def _expire(self, at: datetime.datetime) -> None:
        # Keys expire by the times on the stream, not by the local clock:
        # readers that disagree on whether a key is free would accept
        # different claims.
        self._latest_claim_at = max(self._latest_claim_at or at, at)
        while self._holders:
            key, oldest = next(iter(self._holders.items()))
            if oldest.at > self._latest_claim_at - self._window:
                return
            del self._holders[key]


def _parse_batch(record: reader.LogRecord) -> records.ClaimBatch | None:
    """Return the claims of a record, or None if it is malformed.

    All readers skip the same malformed records.
    """
    try:
        return records.ClaimBatch.model_validate(record.body)
    except pydantic.ValidationError:
        return None
