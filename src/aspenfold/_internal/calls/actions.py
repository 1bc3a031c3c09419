"""Actions that the entry kernel returns for its process to perform."""

import dataclasses

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenAnswerStream:
    """Send ``request`` to the agent on ``host``.

    The frames of its answer are reported under ``stream_id``.
    """

    stream_id: int
    host: hosts.Host
    request: frames.AttemptRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseAnswerStream:
    """Stop reading the answer stream."""

    stream_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Ask the agent to cancel an attempt whose answer is not needed."""

    host: hosts.Host
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendClaim:
    """Append the claim to a claim stream; appends may be batched."""

    stream: str
    claim: records.Claim


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliverHead:
    """Send the status and content type of the answer to the caller."""

    call_id: str
    head: frames.Head


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeliverItems:
    """Send the next items to the caller; ``first`` numbers the first."""

    call_id: str
    first: int
    items: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """End the caller's answer, complete after ``total`` items."""

    call_id: str
    total: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fail:
    """End the caller's answer with an error."""

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
