"""Actions that the agent kernel returns for its process to perform."""

import dataclasses

from aspenfold._internal.kernel import frames


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a frame on an answer stream."""

    stream_id: int
    frame: frames.Frame


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseAnswerStream:
    """Close the answer stream after the frames sent so far."""

    stream_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallEndpoint:
    """Send the attempt to the endpoint; issued once for each attempt."""

    request: frames.AttemptRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelEndpoint:
    """Cancel the endpoint's work on the attempt."""

    attempt_id: str


Action = Send | CloseAnswerStream | CallEndpoint | CancelEndpoint
