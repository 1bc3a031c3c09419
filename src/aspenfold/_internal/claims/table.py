"""Folds claim streams: the first valid claim of a key holds it.

A key is scoped by its organisation and hashed to one stream, so that
all claims of a key stand on one stream in one order.  The fold needs
every record within the key window: a reader that finds the stream
trimmed says so, and keys cannot be judged until the window has passed.
"""

import collections
import dataclasses
import datetime

import pydantic
import xxhash

from aspenfold._internal.configuration import reader
from aspenfold._internal.models import records


def scoped_key(organisation: str, key: str) -> str:
    """Return the key as it stands in a claim; hides the caller's text."""
    return xxhash.xxh3_128_hexdigest(f'{organisation}\0{key}'.encode())


def stream_for_key(scoped: str, streams: int) -> str:
    """Return the claim stream that decides ``scoped``."""
    return records.claim_stream(int(scoped[:8], 16) % streams)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """The valid claim of a key, its offset and its writer's time."""

    claim: records.Claim
    offset: int
    at: datetime.datetime


SETTLED_AFTER = datetime.timedelta(seconds=5)
"""Longest time that a request may take from its caller to the kernel.

A request that waited longer, for example in the buffers of a paused
entry, cannot be told from one that was sent after a key was found free.
"""


CLOCK_SKEW = datetime.timedelta(seconds=5)
"""How far the clocks of two entries may be apart."""


class ClaimTable:
    """The holders of the keys of one stream, newest window only."""

    def __init__(self, *, window: datetime.timedelta) -> None:
        self._window = window
        self._holders: collections.OrderedDict[str, Holder] = (
            collections.OrderedDict()
        )
        self._complete_from: datetime.datetime | None = None
        self._latest: datetime.datetime | None = None
        self._read: collections.deque[tuple[datetime.datetime, int]] = (
            collections.deque()
        )
        self._settled = 1
        self.position = 1

    def __len__(self) -> int:
        return len(self._holders)

    def has_all_claims(self, now: datetime.datetime) -> bool:
        """Return whether every claim of the window has been seen."""
        return self._complete_from is None or now >= self._complete_from

    def holder(self, key: str) -> 'Holder | None':
        """Return the claim that holds ``key`` and where it stands."""
        return self._holders.get(key)

    def settled_position(self, now: datetime.datetime) -> int:
        """Return the position that was read well before ``now``.

        A request that comes in now was certainly sent after the claims
        before this position stood in the log.
        """
        while self._read and self._read[0][0] <= now - SETTLED_AFTER:
            _, self._settled = self._read.popleft()
        return self._settled

    def apply_page(
        self, page: reader.Page, now: datetime.datetime
    ) -> set[str]:
        """Fold a page read from :attr:`position`; return the keys seen."""
        self._note_trimmed(page, now)
        seen: set[str] = set()
        for record in page.records:
            if record.offset < self.position:
                continue
            self.position = record.offset + 1
            batch = _batch(record)
            if batch is None:
                continue
            self._advance(batch.at)
            for claim in batch.claims:
                self._apply(claim, record.offset, batch.at)
                seen.add(claim.key)
        if seen:
            self._read.append((now, self.position))
            self.settled_position(now)
        return seen

    def _note_trimmed(self, page: reader.Page, now: datetime.datetime) -> None:
        if page.first <= self.position:
            return
        fresh = self.position == 1
        self.position = page.first
        if fresh and page.records:
            # A fresh reader of a log whose retention exceeds the window
            # misses only keys that are forgotten anyway.
            oldest = _batch(page.records[0])
            if (
                oldest is not None
                and oldest.at <= now - self._window - CLOCK_SKEW
            ):
                return
        self._complete_from = now + self._window + CLOCK_SKEW

    def _apply(
        self, claim: records.Claim, offset: int, at: datetime.datetime
    ) -> None:
        holder = self._holders.get(claim.key)
        held_by = holder.claim.attempt_id if holder else ''
        if claim.supersedes != held_by:
            return
        self._holders[claim.key] = Holder(claim=claim, offset=offset, at=at)
        self._holders.move_to_end(claim.key)

    def _advance(self, at: datetime.datetime) -> None:
        # Keys are forgotten by the times in the stream and not by the
        # reader's clock: two readers that differed on whether a key is
        # free would both accept a claim of their own.
        self._latest = max(self._latest or at, at)
        while self._holders:
            key, oldest = next(iter(self._holders.items()))
            if oldest.at > self._latest - self._window:
                return
            del self._holders[key]


def _batch(record: reader.LogRecord) -> records.ClaimBatch | None:
    """Return the claims of a record; None for one that is malformed.

    All readers pass over the same records, so none stops at one.
    """
    try:
        return records.ClaimBatch.model_validate(record.body)
    except pydantic.ValidationError:
        return None
