"""HTTP header names of requests on the platform, in lower case."""

from aspenfold._internal.gateway import header_names

HEADER_NAMES = header_names.HeaderNames(
    # Id of a caller's attempt.  Endpoints echo it, so that a late
    # response to an earlier request can be recognised.
    attempt_id=b'x-aspenfold-attempt-id',
    # Milliseconds until the sender's deadline.
    time_left_ms=b'x-aspenfold-deadline-remaining-ms',
    # An endpoint that is another incarnation responds with 421.
    expected_endpoint=b'x-aspenfold-expect-instance',
    # The weights that a caller wants; an endpoint with others responds
    # with 421.
    expected_version=b'x-aspenfold-expect-version',
    organisation=b'x-aspenfold-tenant',
    # The endpoint's signature of the response; passed on unchanged.
    signature=b'x-aspenfold-response-seal',
    last_event_id=b'last-event-id',
    # 0 to 9; an endpoint admits lower numbers first.
    priority=b'x-aspenfold-request-priority',
    # "prompt,longest response", both in tokens.
    token_usage=b'x-aspenfold-token-usage',
    length_hint=b'x-aspenfold-length-hint',
    # The parts of the prompt in order, as "id:tokens" entries.
    prompt_parts=b'x-aspenfold-prompt-prefix-hash',
)
