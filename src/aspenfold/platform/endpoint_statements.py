"""Decodes what the platform's endpoints state in the headers of responses.

Each name stands in the table of docs/PLATFORM.md, "What endpoints state".
"""

from collections import abc
import datetime
import math
import typing

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_statement
from aspenfold._internal.gateway import forwarding
from aspenfold.platform import headers as header_names

# Present if the endpoint did not run the request.
NOT_RUN = b'x-aspenfold-not-executed'

# The endpoint's running and waiting requests, and its capacity.
LOAD = b'x-aspenfold-instance-load'

# Requests a second, a decimal number, that the endpoint takes from all
# gateways together while its responses say so.
RATE_LIMIT = b'server-limit'

# Seconds, a decimal number, in which a refusing endpoint wants no further
# request from this gateway.
RETRY_AFTER = b'retry-after'

# "1" in all responses of an endpoint that will stop soon.
LEAVING = b'server-leaving'

# The endpoint that made the request fail, not always the one that responds.
AT_FAULT = b'at-server'

# The endpoint that responds, under its name in the list.
RESPONDER = b'x-aspenfold-instance-id'

READ_HEADERS = frozenset(
    {
        header_names.HEADER_NAMES.attempt_id,
        NOT_RUN,
        LOAD,
        RATE_LIMIT,
        RETRY_AFTER,
        LEAVING,
        AT_FAULT,
        RESPONDER,
    }
)

IGNORED_HEADERS = frozenset(
    {
        b'cache-control',
        b'content-encoding',
        b'content-length',
        b'content-type',
        b'date',
        b'etag',
        b'last-modified',
        b'server',
        b'vary',
        b'x-aspenfold-weight-versions',
        header_names.HEADER_NAMES.signature,
    }
)
"""Headers that no decision depends on, each for a reason in the table."""

MAX_RETRY_AFTER = datetime.timedelta(minutes=5)
"""Longer times are cut to this, after which the endpoint is tried again."""

MAX_ERROR_CHARS = 200


KNOWN_HEADERS = READ_HEADERS | IGNORED_HEADERS | forwarding.HOP_BY_HOP


def decode(
    headers: endpoint_statement.Headers,
) -> endpoint_statement.EndpointStatement:
    """Return what the headers of a response state."""
    values = dict(reversed(headers))
    invalid: list[endpoint_statement.InvalidHeader] = []
    rate_limit = _parse(values, RATE_LIMIT, parse_rate_limit, invalid)
    unknown = [name for name in values if name not in KNOWN_HEADERS]
    return endpoint_statement.EndpointStatement(
        attempt_id=_text(values, header_names.HEADER_NAMES.attempt_id),
        responder=_text(values, RESPONDER),
        not_run=bool(values.get(NOT_RUN)),
        load=parse_load(values.get(LOAD, b'')),
        rate_limit=rate_limit,
        rate_limit_invalid=bool(values.get(RATE_LIMIT)) and rate_limit is None,
        retry_after=_parse(values, RETRY_AFTER, parse_retry_after, invalid),
        leaving=bool(_parse(values, LEAVING, parse_leaving, invalid)),
        at_fault=_text(values, AT_FAULT),
        invalid=tuple(invalid),
        unknown=tuple(name.decode('latin-1') for name in unknown),
    )


T = typing.TypeVar('T')


def _parse(
    values: abc.Mapping[bytes, bytes],
    name: bytes,
    parse: abc.Callable[[bytes], T],
    invalid: list[endpoint_statement.InvalidHeader],
) -> T | None:
    """Return a header's value, None if it is absent, empty or invalid."""
    value = values.get(name)
    if not value:
        return None
    try:
        return parse(value)
    except ValueError as exc:
        invalid.append(
            endpoint_statement.InvalidHeader(
                name=name.decode('latin-1'), error=str(exc)[:MAX_ERROR_CHARS]
            )
        )
        return None


def _text(values: abc.Mapping[bytes, bytes], name: bytes) -> str:
    return values.get(name, b'').decode('latin-1')


def parse_load(value: bytes) -> directory.Load | None:
    """Parse "running,waiting,capacity"; return None if malformed."""
    parts = value.split(b',')
    if len(parts) != 3 or not all(p.strip().isdigit() for p in parts):
        return None
    running, waiting, capacity = (int(p) for p in parts)
    return directory.Load(running=running, waiting=waiting, capacity=capacity)


def parse_rate_limit(value: bytes) -> float:
    """Parse a decimal number of requests a second.

    Raises :class:`ValueError` if it is malformed, negative or not finite.
    """
    return _parse_decimal(value, 'a rate of requests')


def parse_retry_after(value: bytes) -> datetime.timedelta:
    """Parse a decimal number of seconds, at most MAX_RETRY_AFTER.

    Raises :class:`ValueError` if it is malformed, negative or not finite.
    """
    seconds = _parse_decimal(value, 'a number of seconds')
    seconds = min(seconds, MAX_RETRY_AFTER.total_seconds())
    return datetime.timedelta(seconds=seconds)


def _parse_decimal(value: bytes, expected: str) -> float:
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f'{number} is not {expected}')
    return number


def parse_leaving(value: bytes) -> bool:
    """Parse a flag; raises :class:`ValueError` unless it is 0 or 1."""
    if value not in (b'0', b'1'):
        raise ValueError(f'{value!r} is neither 0 nor 1')
    return value == b'1'
