"""What the entry's kernel asks of its shell."""

import dataclasses

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenAnswerStream:
    """Send the request to the agent on ``host``; answer on ``leg``."""

    stream_id: int
    host: hosts.Host
    request: frames.AttemptRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseAnswerStream:
    """Stop reading the leg."""

    stream_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Tell the agent that nobody waits for the attempt any more."""

    host: hosts.Host
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendClaim:
    """Append the claim to the stream, batched with others."""

    stream: str
    claim: records.Claim


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliverHead:
    """Begin the caller's answer."""

    call_id: str
    head: frames.Head


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliverItems:
    """Give the caller the next items, in order."""

    call_id: str
    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """The caller's answer is whole."""

    call_id: str
    total: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fail:
    """The caller's answer ends in an error."""

    call_id: str
    failure: exceptions.Failure


Action = (
    OpenAnswerStream
    | CloseAnswerStream
    | CancelAttempt
    | AppendClaim
    | DeliverHead
    | DeliverItems
    | Finish
    | Fail
)
