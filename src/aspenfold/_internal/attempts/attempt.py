"""An agent's record of one attempt."""

import dataclasses
import datetime
import enum

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames


class State(enum.Enum):
    """States of an attempt.

    A sealed attempt did not run and never will.
    """

    SEALED = 'sealed'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    ANSWER_DISCARDED = 'answer-discarded'


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """State, answer so far, and the answer streams that wait for more.

    ``streams`` maps the number of an answer stream to the next item to
    send on it.  ``resume_from`` is the number of the first item.
    """

    attempt_id: str
    digest: bytes
    repeatable: bool
    deadline: datetime.datetime
    interactive: bool = False
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
        """Number of the next item that the endpoint will produce."""
        return self.resume_from + len(self.items)

    def add(self, items: tuple[bytes, ...]) -> None:
        """Append items in the order in which the endpoint sent them."""
        for item in items:
            self.items.append(item)
            self.size += len(item)
            self.running_digest.add(item)

    def items_from(self, next_item: int) -> tuple[bytes, ...]:
        """Return the items from number ``next_item`` on."""
        return tuple(self.items[next_item - self.resume_from :])

    def end(self) -> frames.End:
        """Return the end frame of a complete answer."""
        return frames.End(
            total=self.next_item, digest=self.running_digest.value()
        )

    def discard_answer(self) -> None:
        """Free the answer, but keep the record that the attempt ran."""
        self.items = []
        self.size = 0
        self.state = State.ANSWER_DISCARDED
