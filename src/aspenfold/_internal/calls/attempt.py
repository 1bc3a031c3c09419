"""An attempt at a call, as seen by the entry that waits for it."""

import dataclasses
import datetime

from aspenfold._internal.kernel import frames


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt at a call, bound to one incarnation of an agent.

    ``is_own``: this call made it, not another submission of its key.
    ``sent``: a request that starts it may have reached the agent.
    ``never_executes``: it is certain that the agent never executes it.
    ``query_count`` is how often its outcome has been queried.
    """

    attempt_id: str
    endpoint: str
    incarnation: str
    deadline: datetime.datetime
    is_own: bool
    mode: frames.Mode
    sent: bool = False
    never_executes: bool = False
    resume_from: int = 0
    query_count: int = 0
