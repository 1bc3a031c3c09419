"""One attempt as its agent remembers it."""

import dataclasses
import datetime
import enum

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames


class State(enum.Enum):
    """How far an attempt has come."""

    SEALED = 'sealed'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    DROPPED = 'dropped'


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """State, answer so far, and the legs that wait for more.

    ``legs`` maps a leg to the next item that it wants.
    """

    attempt_id: str
    digest: bytes
    repeatable: bool
    deadline: datetime.datetime
    urgent: bool = False
    resume_from: int = 0
    state: State = State.RUNNING
    head: frames.Head | None = None
    items: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    failure: exceptions.Failure | None = None
    streams: dict[int, int] = dataclasses.field(default_factory=dict)
    running_digest: frames.ItemDigest = dataclasses.field(
        default_factory=frames.ItemDigest
    )

    @property
    def next_item(self) -> int:
        """The number of the next item that the endpoint will give."""
        return self.resume_from + len(self.items)

    def add(self, items: tuple[bytes, ...]) -> None:
        """Append items as the endpoint gave them."""
        for item in items:
            self.items.append(item)
            self.size += len(item)
            self.running_digest.add(item)

    def since(self, next_item: int) -> tuple[bytes, ...]:
        """Return the items from number ``next_item`` on."""
        return tuple(self.items[next_item - self.resume_from :])

    def end(self) -> frames.End:
        """Return the end mark of a finished answer."""
        return frames.End(
            total=self.next_item, digest=self.running_digest.value()
        )

    def drop_answer(self) -> None:
        """Forget the answer, but never that the attempt ran."""
        self.items = []
        self.size = 0
        self.state = State.DROPPED
