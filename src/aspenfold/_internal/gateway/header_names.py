"""The header names that a deployment uses for the gateway's notions."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Lower-case names of the headers that the gateway reads or sets."""

    attempt_id: bytes
    time_left_ms: bytes
    expected_endpoint: bytes
    organisation: bytes
    not_run: bytes
    load: bytes
    signature: bytes
    last_event_id: bytes
    priority: bytes
    token_usage: bytes
    length_hint: bytes
