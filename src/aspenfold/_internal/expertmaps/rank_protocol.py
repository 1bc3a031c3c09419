"""What a rank's engine reports, and the orders that it takes.

These are the orders of engines that keep expert maps themselves: the
group switches at a pass that the orders name.
"""

import dataclasses
import datetime
import enum

MAX_REPORT_AGE = datetime.timedelta(milliseconds=500)
"""Reports that an engine gives to other hosts are about 200 ms old; they
surely show by then what an answer before them brought about."""

SetMap = tuple[tuple[int, ...], ...]
"""The experts of each rank, in one set of layers."""

Map = tuple[SetMap, ...]
"""All sets of layers."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Armed:
    """A rank will use map ``version`` from pass ``step`` on."""

    version: int
    step: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A rank's state, at most ``age`` old when it came.

    ``step`` is the last pass that was begun, ``held`` the pass that the
    group does not begin until it is released, ``prepared`` the version
    whose experts are all copied.  ``pace`` over 1 means that the rank
    takes so much longer for its work.
    """

    group: str
    epoch: int
    rank: int
    size: int
    open: bool
    step: int
    version: int
    prepared: int | None
    armed: Armed | None
    held: int | None
    slowdown: float = 1.0
    age: datetime.timedelta = MAX_REPORT_AGE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Counts:
    """How often a rank's requests chose each expert since its start.

    One number for each expert, set after set.
    """

    epoch: int
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankMap:
    """The experts that one rank uses, by set, and their map's version."""

    version: int
    experts: SetMap


class Op(enum.Enum):
    """What an order asks of a rank."""

    PREPARE = 'prepare'
    """Copy the experts that a map brings to the rank."""

    ARM = 'arm'
    """Switch to a prepared map as a pass begins."""

    DISARM = 'disarm'
    """Do not switch to a version."""

    HOLD = 'hold'
    """Let the group not begin a pass."""

    RELEASE = 'release'
    """Let it begin that pass."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """One order; ``token`` is the fencing token of its round."""

    rank: int
    op: Op
    epoch: int
    token: int
    version: int = 0
    step: int = 0
    new_map: Map = ()


class Answer(enum.Enum):
    """How a rank answered an order."""

    ACCEPTED = 'accepted'
    """The state holds, or will without fail."""

    REFUSED = 'refused'
    """It does not fit the rank's state; nothing was done."""

    FENCED = 'fenced'
    """The rank has taken an order with a higher token."""

    NONE = 'none'
    """No answer: it may be carried out, now or seconds later."""
