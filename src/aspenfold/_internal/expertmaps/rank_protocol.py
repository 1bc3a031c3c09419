"""Reports of a rank's engine and orders to it.

For engines that keep expert maps themselves and switch at the pass that an
order names.
"""

import dataclasses
import datetime
import enum

MAX_REPORT_AGE = datetime.timedelta(milliseconds=500)
"""Upper bound of the age of a report that another host reads from an
engine.  After this time a report shows the effect of an answered order."""

SetMap = tuple[tuple[int, ...], ...]
"""The experts of each rank, for one set of layers."""

Map = tuple[SetMap, ...]
"""An expert map: a SetMap for each set of layers."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Armed:
    """A rank is armed: it will use map ``version`` from pass ``step`` on."""

    version: int
    step: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A rank's state, at most ``age`` old on arrival.

    ``open`` says whether the group takes requests.  ``step`` is the last
    pass that was begun.  ``version`` is the map in use, and ``prepared``
    the version whose experts are all copied.  ``held`` is the pass that
    the group will not begin until it is released.  ``slowdown`` is how
    many times longer than normal the rank takes for its work.
    ``unknown_fields`` of the report were not read.
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
    unknown_fields: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Counts:
    """How often a rank's requests chose each expert since its start.

    ``counts`` has one number per expert, set after set.
    """

    epoch: int
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankMap:
    """The experts that one rank uses, by set, and the map's version."""

    version: int
    experts: SetMap


class Op(enum.Enum):
    """Operation of an order."""

    PREPARE = 'prepare'
    """Copy the experts of a new map that the rank does not have."""

    ARM = 'arm'
    """Switch to a prepared map when a given pass begins."""

    DISARM = 'disarm'
    """Undo ARM for a version."""

    HOLD = 'hold'
    """Do not let the group begin a given pass."""

    RELEASE = 'release'
    """Undo HOLD for a pass."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """An order to a rank; ``token`` is the fencing token of its round."""

    rank: int
    op: Op
    epoch: int
    token: int
    version: int = 0
    step: int = 0
    new_map: Map = ()


class Answer(enum.Enum):
    """A rank's answer to an order."""

    ACCEPTED = 'accepted'
    """The order was carried out or certainly will be."""

    REFUSED = 'refused'
    """The order does not fit the rank's state; nothing was done."""

    FENCED = 'fenced'
    """The rank has accepted an order with a higher token."""

    NONE = 'none'
    """No answer: the order may be carried out, now or seconds later."""
