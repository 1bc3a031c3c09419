"""HTTP header names of the platform, decoded once.

Names are lower case bytes, as the HTTP library hands them over.
"""

from aspenfold._internal.gateway import header_names

HEADER_NAMES = header_names.HeaderNames(
    # One attempt of a caller.  Endpoints echo it, which tells a late
    # answer to an earlier request from the answer to this one.
    attempt_id=b'x-aspenfold-attempt-id',
    # Milliseconds that the sender still waits, as of sending.
    time_left_ms=b'x-aspenfold-deadline-remaining-ms',
    # Endpoints refuse with 421 if they are another incarnation.
    expected_endpoint=b'x-aspenfold-expect-instance',
    organisation=b'x-aspenfold-tenant',
    # Present on an answer: the endpoint did not run the request.
    not_run=b'x-aspenfold-not-executed',
    # Running, waiting and capacity of the answering endpoint.
    load=b'x-aspenfold-instance-load',
    # The endpoint's proof that an answer is its own; passed on as it is.
    signature=b'x-aspenfold-response-seal',
    last_event_id=b'last-event-id',
    # 0 to 9; an endpoint admits a lower number first.
    priority=b'x-aspenfold-request-priority',
    # "prompt,longest answer", both in tokens.
    token_usage=b'x-aspenfold-token-usage',
    length_hint=b'x-aspenfold-length-hint',
)
