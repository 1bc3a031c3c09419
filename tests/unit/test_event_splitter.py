"""Any stream, any cut and any split into reads."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from aspenfold._internal.network import event_splitter
from tests.lib import time_limits

LINE_ENDS = [b'\n', b'\r\n', b'\r']

COMMENT = ': kept alive'

MAX_STALL_S = 0.5
"""Time after its timeout by which a request has an answer."""

STREAM_BYTES = 262_144
READ_BYTES = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """A stream and the sizes at which an event has just ended.

    ``comment_ends`` are the sizes at which a comment or blank line ended
    between two events.
    """

    content: bytes
    event_ends: frozenset[int]
    comment_ends: frozenset[int]


@st.composite
def streams(draw: st.DrawFn) -> Stream:
    """Return streams of events, comments and blank lines."""
    line_end = draw(st.sampled_from(LINE_ENDS))
    content = b''
    event_ends = {0}
    comment_ends = set()
    for number in range(draw(st.integers(0, 6))):
        lines = draw(
            st.sampled_from(
                [
                    [f'id: {number}', 'data: text', ''],
                    ['data: one', 'data: two', ''],
                    [COMMENT, f'id: {number}', 'data', ''],
                    [COMMENT],
                    [''],
                ]
            )
        )
        start = len(content)
        content += b''.join(x.encode() + line_end for x in lines)
        if len(lines) > 1:
            event_ends.add(len(content))
        else:
            comment_ends.add(len(content))
        if lines[0] == COMMENT:
            comment_ends.add(start + len(COMMENT) + len(line_end))
    return Stream(
        content=content,
        event_ends=frozenset(event_ends),
        comment_ends=frozenset(comment_ends),
    )


def feed_in_parts(
    splitter: event_splitter.EventSplitter, data: bytes, cuts: list[int]
) -> list[bytes]:
    """Feed ``data``, split at ``cuts``; return the events."""
    events = []
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in zip(bounds, bounds[1:], strict=False):
        events += splitter.feed(data[start:end])
    return events


@hypothesis.given(streams(), st.integers(0, 400), st.lists(st.integers(0)))
def test_a_stream_is_whole_only_if_it_ends_between_events(
    stream: Stream, size: int, cuts: list[int]
) -> None:
    """Whatever the reads; no byte is lost, and no event is a part of one."""
    data = stream.content[:size]
    if data.endswith(b'\r') and stream.content[size : size + 1] == b'\n':
        # Inside a line end: whole or not if the line is a comment.
        hypothesis.assume(len(data) + 1 not in stream.comment_ends)
    splitter = event_splitter.EventSplitter()
    events = feed_in_parts(splitter, data, cuts)
    assert b''.join(events) + splitter.unfinished == data
    whole_ends = stream.event_ends | stream.comment_ends
    assert splitter.is_inside_event is (len(data) not in whole_ends)
    delivered = len(data) - len(splitter.unfinished)
    assert delivered in whole_ends
    missing = {n for n in stream.event_ends if delivered < n <= len(data)}
    assert not missing


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('comment', [COMMENT, ''])
def test_a_stream_that_breaks_off_behind_comments_stops_nothing(
    comment: str, line_end: bytes
) -> None:
    """Whether it did was found out in time that doubled with each line."""
    splitter = event_splitter.EventSplitter()
    splitter.feed((comment.encode() + line_end) * 10_000 + b'data: te')
    with time_limits.cpu_limit(MAX_STALL_S):
        assert splitter.is_inside_event


@hypothesis.given(
    st.lists(
        st.sampled_from([b'\r', b'\n', b':', b'x']), min_size=1, max_size=4
    )
)
@hypothesis.example([b'x'])
@hypothesis.example([b':', b'\r', b'\n'])
def test_a_stream_in_small_reads_stops_nothing(unit: list[bytes]) -> None:
    """Each read searched all that was unfinished, once more."""
    content = b''.join(unit) * (STREAM_BYTES // len(unit)) + b'x'
    splitter = event_splitter.EventSplitter()
    with time_limits.cpu_limit(MAX_STALL_S):
        for start in range(0, len(content), READ_BYTES):
            splitter.feed(content[start : start + READ_BYTES])
        assert splitter.is_inside_event


@pytest.mark.parametrize(
    ('content_type', 'expected'),
    [
        ('text/event-stream', True),
        ('Text/Event-Stream ; charset=utf-8', True),
        ('text/event-streams', False),
        ('application/json', False),
        ('', False),
    ],
)
def test_the_media_type_tells_an_event_stream(
    content_type: str, expected: bool
) -> None:
    """Parameters and letter case do not matter."""
    assert event_splitter.is_event_stream(content_type) is expected
