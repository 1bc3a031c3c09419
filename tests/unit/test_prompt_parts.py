"""The list of a prompt's parts in a request."""

import hypothesis
from hypothesis import strategies as st
import pytest

from aspenfold._internal.gateway import prompt_parts
from aspenfold._internal.kernel import clock
from aspenfold._internal.network import http1_server

HEADER = b'x-parts'


def parse(*values: bytes) -> prompt_parts.PromptParts:
    """Return the parts of a request with these values of the header."""
    request = http1_server.Request(
        method=b'POST',
        target=b'/',
        headers=[(HEADER, value) for value in values],
        body=b'',
        received_at=clock.EPOCH,
        connection_reused=False,
    )
    return prompt_parts.parse(request, HEADER)


def own(part_id: bytes) -> str:
    """Return the digest of a last part, empty for none."""
    return prompt_parts.digest(part_id) if part_id else ''


def digests(*ids: bytes) -> tuple[str, ...]:
    """Return the digests of parts."""
    return tuple(prompt_parts.digest(part_id) for part_id in ids)


@pytest.mark.parametrize(
    ('values', 'shared', 'last'),
    [
        ((), (), b''),
        ((b'',), (), b''),
        ((b'5c1e:800',), (), b'5c1e'),
        ((b'5c1e:800,91bd:410',), (b'5c1e',), b'91bd'),
        ((b'5c1e:800,91bd:410,e440:2',), (b'5c1e', b'91bd'), b'e440'),
        ((b' 5C1E : 8 ,\t91BD:4, E440:2 ',), (b'5c1e', b'91bd'), b'e440'),
        ((b'5c1e:800', b'91bd:410,e440:2'), (b'5c1e', b'91bd'), b'e440'),
        ((b'5c1e:1,5c1e:2,91bd:3',), (b'5c1e',), b'91bd'),
        ((b'5c1e,91bd',), (b'5c1e',), b'91bd'),
    ],
)
def test_all_parts_but_the_last_are_shared(
    values: tuple[bytes, ...], shared: tuple[bytes, ...], last: bytes
) -> None:
    """Case, spaces, token counts and repeated headers make no difference."""
    assert parse(*values) == prompt_parts.PromptParts(
        shared=digests(*shared), own=own(last)
    )


@pytest.mark.parametrize(
    'entry', [b'zz:1', b'5c1e:x', b':7', b'5c1e:1:2', b'\xff\x00', b'a' * 129]
)
def test_an_invalid_entry_is_counted_and_hides_no_other(entry: bytes) -> None:
    """A part that crashes endpoints must not pass beside an invalid one."""
    found = parse(b'5c1e:800,' + entry + b',91bd:1,e440:2')
    assert found.invalid == 1
    assert found.shared == digests(b'5c1e', b'91bd')


def test_a_hundred_parts_are_all_read() -> None:
    """No part is beyond a limit of their number."""
    ids = [b'%x' % number for number in range(100)]
    found = parse(b','.join(i + b':9' for i in ids))
    assert found.shared == digests(*ids[:-1])


@hypothesis.given(st.lists(st.binary(max_size=60), max_size=4))
def test_any_header_can_be_parsed(values: list[bytes]) -> None:
    """Callers may send any bytes."""
    found = parse(*values)
    assert found.invalid >= 0
    assert len(set(found.shared)) == len(found.shared)
