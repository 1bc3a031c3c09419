"""Names of the HTTP headers that a platform uses."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Lower-case header names.

    ``signature``, ``token_usage`` and ``length_hint`` are not read, but
    only passed on.
    """

    attempt_id: bytes
    time_left_ms: bytes
    expected_endpoint: bytes
    expected_version: bytes
    organisation: bytes
    signature: bytes
    last_event_id: bytes
    priority: bytes
    token_usage: bytes
    length_hint: bytes
    prompt_parts: bytes
