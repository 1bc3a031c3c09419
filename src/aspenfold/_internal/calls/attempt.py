"""An attempt as the entry that follows it sees it."""

import dataclasses
import datetime

from aspenfold._internal.kernel import frames


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt at a call, bound to one incarnation of an agent.

    ``own`` tells whether this call made it, and not another submission
    of its key; ``sent`` whether a message that may start it may have
    reached the agent; ``never_runs`` that this is certain; ``asked`` how
    often its fate was asked for.
    """

    attempt_id: str
    endpoint: str
    incarnation: str
    deadline: datetime.datetime
    own: bool
    mode: frames.Mode
    sent: bool = False
    never_runs: bool = False
    resume_from: int = 0
    asked: int = 0
