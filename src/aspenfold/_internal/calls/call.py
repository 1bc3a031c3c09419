"""A caller's request after it passed the border."""

import dataclasses
import datetime

import xxhash

from aspenfold._internal.models import fleet

PREFIX_BYTES = 256
"""How much of a body counts as the prompt's prefix for affinity."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One request; ``key`` is the idempotency key, empty for none.

    ``deadline`` is UTC.  ``received_at`` is when the entry took it.
    """

    call_id: str
    organisation: str
    service: str
    operation: str
    priority: fleet.Priority
    repeatable: bool
    streamed: bool
    body: bytes
    deadline: datetime.datetime
    received_at: datetime.datetime
    key: str = ''

    @property
    def digest(self) -> bytes:
        """Covers what a repeated key must have in common."""
        hasher = xxhash.xxh3_128()
        for part in (self.organisation, self.service, self.operation):
            hasher.update(part.encode() + b'\0')
        hasher.update(self.body)
        return hasher.digest()

    @property
    def prefix(self) -> str:
        """A hash of the prompt's start for streamed calls, else empty."""
        if not self.streamed:
            return ''
        start = self.body[:PREFIX_BYTES]
        return xxhash.xxh3_64_hexdigest(start)
