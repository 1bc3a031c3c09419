"""A caller's request after validation."""

import dataclasses
import datetime

import xxhash

from aspenfold._internal.models import fleet

PROMPT_PREFIX_BYTES = 256
"""Start of a body that is hashed for prefix affinity."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One validated request.

    ``key`` is the idempotency key, or empty.  ``deadline`` and
    ``received_at``, the time at which the entry received it, are UTC.
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
    def content_digest(self) -> bytes:
        """Digest of what all requests with one key must have in common."""
        hasher = xxhash.xxh3_128()
        for part in (self.organisation, self.service, self.operation):
            hasher.update(part.encode() + b'\0')
        hasher.update(self.body)
        return hasher.digest()

    @property
    def prompt_prefix_hash(self) -> str:
        """Hash of the start of the prompt; empty if not streamed."""
        if not self.streamed:
            return ''
        start = self.body[:PROMPT_PREFIX_BYTES]
        return xxhash.xxh3_64_hexdigest(start)
