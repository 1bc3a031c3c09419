"""Reads which parts a request's prompt has.

A caller lists the parts in order, as ``ID:TOKENS`` entries that are separated
by commas; an id is hexadecimal.  The last part is the request's own, all
others may be shared by requests.  Only digests of ids are kept, logged or sent
to other gateways.
"""

import dataclasses
import re

from aspenfold._internal.gateway import digests
from aspenfold._internal.network import http1_server

ENTRY = re.compile(rb'\s*([0-9a-f]{1,128})\s*(?::\s*\d+\s*)?', re.IGNORECASE)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromptParts:
    """The parts of one request's prompt.

    ``shared`` has the digests of all valid parts but the last, in order and
    each once; ``own`` is the last one's, empty if there is none.  ``invalid``
    counts the entries that could not be read.
    """

    shared: tuple[str, ...] = ()
    own: str = ''
    invalid: int = 0


NONE = PromptParts()


def parse(request: http1_server.Request, header: bytes) -> PromptParts:
    """Return the parts that the request's ``header`` lists.

    A header that is sent several times counts as one list.
    """
    values = [value for name, value in request.headers if name == header]
    entries = [e for e in b','.join(values).split(b',') if e.strip()]
    if not entries:
        return NONE
    matches = [ENTRY.fullmatch(entry) for entry in entries]
    shared = [digest(m[1]) for m in matches[:-1] if m is not None]
    last = matches[-1]
    return PromptParts(
        shared=tuple(dict.fromkeys(shared)),
        own='' if last is None else digest(last[1]),
        invalid=sum(m is None for m in matches),
    )


def digest(part_id: bytes) -> str:
    """Return the digest of a part's id, which may be in either case."""
    return digests.encode(digests.create(part_id.lower()))
