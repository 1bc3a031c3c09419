"""How the body of an HTTP response ended, as its receiver saw it."""

import enum

import h11

BODILESS_STATUSES = frozenset({204, 304})
"""Final statuses whose responses have no body."""


class BodyEnd(enum.Enum):
    """How a body ended; see RFC 9112, sections 6.3 and 8."""

    LENGTH = 'length'
    """All bytes of the content length arrived, or there is no body."""

    CHUNKS = 'chunks'
    """The last chunk arrived."""

    CLOSE = 'close'
    """The peer closed the connection of a body without length or chunks.
    HTTP calls that complete; nothing shows that more was due."""

    CUT = 'cut'
    """The peer closed the connection before the length or last chunk."""

    RESET = 'reset'
    """The connection was reset or timed out."""

    INVALID = 'invalid'
    """The peer sent bytes that are not HTTP."""

    ABANDONED = 'abandoned'
    """This side closed the connection before the body was complete."""


COMPLETE_ENDS = frozenset({BodyEnd.LENGTH, BodyEnd.CHUNKS, BodyEnd.CLOSE})
"""Ends after which HTTP calls a body complete."""


def complete_end(head: h11.Response, method: bytes) -> BodyEnd:
    """Return the end that completes the body of a response.

    ``method`` is the method of the request.
    """
    headers = dict(head.headers)
    if method == b'HEAD' or head.status_code in BODILESS_STATUSES:
        return BodyEnd.LENGTH
    if b'transfer-encoding' in headers:
        return BodyEnd.CHUNKS
    if b'content-length' in headers:
        return BodyEnd.LENGTH
    return BodyEnd.CLOSE
