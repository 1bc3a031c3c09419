"""Single steps of a change of map, without random faults."""

import dataclasses
import datetime

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.kernel import clock

MS = datetime.timedelta(milliseconds=1)
FRESH = 5 * MS
NEW_MAP = (((0,),),)

REPORT = rank_protocol.Report(
    group='g',
    epoch=1,
    rank=0,
    size=1,
    open=True,
    step=10,
    version=0,
    prepared=None,
    armed=None,
    held=None,
    age=FRESH,
)


class Machine:
    """A switch of a group of one rank, and the time."""

    def __init__(self) -> None:
        self.now = clock.EPOCH
        self.switch = map_switch.MapSwitch(
            group='g', epoch=1, size=1, first_token=100
        )

    def tell(
        self, age: datetime.timedelta = FRESH, **fields: object
    ) -> list[map_switch.Action]:
        """Give the switch a report."""
        report = dataclasses.replace(REPORT, age=age, **fields)  # type: ignore[arg-type]
        return self.switch.on_report(report, self.now)

    def accept(
        self, actions: list[map_switch.Action]
    ) -> list[map_switch.Action]:
        """Let the rank accept the only order; return what follows."""
        (order,) = actions
        assert isinstance(order, rank_protocol.Order)
        return self.switch.on_answer(
            order, rank_protocol.Answer.ACCEPTED, self.now
        )

    def prepared(self, age: datetime.timedelta) -> list[map_switch.Action]:
        """Begin a round, and tell by a report that its copies are made."""
        self.tell(age)
        started = self.switch.start_round(NEW_MAP, self.now)
        assert not self.accept(started)
        self.now += 400 * MS
        return self.tell(age, prepared=self.switch.token)


def step_of(actions: list[map_switch.Action]) -> int:
    """Return the pass that an order names."""
    (order,) = actions
    assert isinstance(order, rank_protocol.Order)
    return order.step


def test_the_very_next_pass_is_held_where_reports_are_fresh() -> None:
    """Load pattern: demand has shifted, and passes take a tenth second.

    With lagging reports the switch came six passes later.
    """
    machine = Machine()
    held = machine.prepared(FRESH)
    assert step_of(held) == REPORT.step + 1
    refused = machine.switch.on_answer(
        held[0],  # type: ignore[arg-type]
        rank_protocol.Answer.REFUSED,
        machine.now,
    )
    assert step_of(refused) > REPORT.step + 1
    lagging = Machine().prepared(rank_protocol.MAX_REPORT_AGE)
    assert step_of(lagging) >= REPORT.step + map_switch.HOLD_LEAD_PASSES


def test_an_old_word_of_a_hold_is_no_reason_to_undo() -> None:
    """It was asked for before the pass was let go."""
    machine = Machine()
    freeze = machine.tell(held=11)
    assert machine.switch.state is map_switch.State.FENCE
    machine.accept(freeze)
    machine.now += 20 * MS
    asks = machine.switch.tick(machine.now)
    assert asks == [map_switch.RequestReport(rank=0)]
    release = machine.tell(held=11)
    machine.accept(release)
    assert machine.switch.is_ready
    machine.now += 2 * MS
    assert not machine.tell(held=11)
    assert machine.switch.is_ready
    machine.now += 20 * MS
    assert machine.tell(held=12)
    assert machine.switch.state is map_switch.State.FENCE


def test_reports_from_before_the_freeze_are_not_believed() -> None:
    """Fresh ones are at once, lagging ones only when they are due."""
    machine = Machine()
    machine.accept(machine.tell(held=11))
    machine.now += 20 * MS
    machine.switch.tick(machine.now)
    assert not machine.tell(50 * MS, held=11)
    assert machine.switch.state is map_switch.State.AWAIT_REPORTS
    assert machine.tell(FRESH, held=11)
    assert machine.switch.state is map_switch.State.RELEASE
