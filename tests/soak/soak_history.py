"""What callers asked and got, and what was disturbed meanwhile."""

import dataclasses
import time

from tests.lib import gateway_rig

ONCE = frozenset({'/unsafe/', '/once/', '/song/', '/model/'})
"""Paths whose requests may run once at most."""

STREAMS = frozenset({'/stream/', '/song/', '/model/'})

PATHS = (
    '/safe/',
    '/unsafe/',
    '/once/',
    '/stream/',
    '/song/',
    '/model/',
    '/short/',
)

SETTLE_S = 3.0
"""How long after a disturbance its subject counts as disturbed; the
users' pages say 3 s."""


@dataclasses.dataclass(kw_only=True)
class RequestRecord:
    """One request of a caller, and what came of it."""

    attempt: str
    path: str
    gateway: str
    incarnation: int
    sent_at: float
    left_early: bool = False
    answer: gateway_rig.Response | None = None
    ended_at: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the caller got a whole success."""
        found = self.answer
        return found is not None and found.complete and found.status == 200


class SoakHistory:
    """All requests, and the spans in which something was disturbed."""

    def __init__(self) -> None:
        self.asked: dict[str, RequestRecord] = {}
        self._spans: dict[str, list[list[float]]] = {}

    def add(self, asked: RequestRecord) -> None:
        """Note a request before it is sent."""
        self.asked[asked.attempt] = asked

    def begin(self, subject: str) -> list[float]:
        """A disturbance of ``subject`` begins; give its open span."""
        span = [time.monotonic(), float('inf')]
        self._spans.setdefault(subject, []).append(span)
        return span

    def end(self, span: list[float]) -> None:
        """The disturbance has ended."""
        span[1] = time.monotonic()

    def calm(self, subject: str, since: float, until: float) -> bool:
        """Return whether ``subject`` was in touch from ``since`` on."""
        return all(
            end + SETTLE_S < since or begin > until
            for begin, end in self._spans.get(subject, ())
        )
