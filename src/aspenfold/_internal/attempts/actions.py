"""What the agent's kernel asks of its shell."""

import dataclasses

from aspenfold._internal.kernel import frames


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a frame on a leg."""

    stream_id: int
    frame: frames.Frame


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseAnswerStream:
    """Nothing more follows on the leg."""

    stream_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallEndpoint:
    """Hand the attempt to the endpoint, once."""

    request: frames.AttemptRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelEndpoint:
    """Stop the endpoint's work on the attempt."""

    attempt_id: str


Action = Send | CloseAnswerStream | CallEndpoint | CancelEndpoint
