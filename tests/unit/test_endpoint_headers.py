"""What a gateway notes of the headers of endpoints' responses."""

from unittest import mock

import pytest

from aspenfold._internal.gateway import unknown_names
from aspenfold._internal.observability import events
from aspenfold.platform import endpoint_statements


def logged_names(responses: list[list[tuple[bytes, bytes]]]) -> list[str]:
    """Return the header names that are logged for responses in order."""
    unknown = unknown_names.UnknownNames(event=events.Event.HEADER_UNKNOWN)
    with mock.patch.object(events, 'emit', autospec=True) as emit:
        for response in responses:
            unknown.log('w-1', endpoint_statements.decode(response).unknown)
    return [call.kwargs['name'] for call in emit.call_args_list]


def test_a_header_that_is_not_known_is_logged_once() -> None:
    """What an endpoint states must not be ignored without a trace."""
    known = [(endpoint_statements.LOAD, b'0,0,6'), (b'date', b'today')]
    new = [*known, (b'x-new', b'1')]
    assert logged_names([known, new, new]) == ['x-new']


def test_names_that_an_endpoint_invents_are_bounded() -> None:
    """Neither memory nor the log may grow with them."""
    many = [(f'x-{n}'.encode(), b'') for n in range(1000)]
    assert len(logged_names([many, many])) == unknown_names.MAX_NAMES


@pytest.mark.parametrize(
    'value', [b'', b'many', b'-1', b'nan', b'inf', b'1e999', b'1 2', b'\xff']
)
def test_an_invalid_rate_limit_is_an_error(value: bytes) -> None:
    """It must neither become a limit nor lift one."""
    with pytest.raises(ValueError):
        endpoint_statements.parse_rate_limit(value)


def test_a_rate_limit_is_a_decimal_number() -> None:
    """Fractions of a request a second and zero are valid."""
    assert endpoint_statements.parse_rate_limit(b'0.25') == 0.25
    assert endpoint_statements.parse_rate_limit(b'0') == 0.0
