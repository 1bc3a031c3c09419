"""Tests of single transitions of the map switch."""

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


class SwitchRig:
    """A map switch for a group of one rank, with its clock."""

    def __init__(self) -> None:
        self.now = clock.EPOCH
        self.switch = map_switch.MapSwitch(
            group='g', epoch=1, size=1, first_token=100
        )

    def report(
        self, age: datetime.timedelta = FRESH, **fields: object
    ) -> list[map_switch.Action]:
        """Pass a report to the switch; return its actions."""
        report = dataclasses.replace(REPORT, age=age, **fields)  # type: ignore[arg-type]
        return self.switch.on_report(report, self.now)

    def accept(
        self, actions: list[map_switch.Action]
    ) -> list[map_switch.Action]:
        """Accept the only order; return the actions that follow."""
        (order,) = actions
        assert isinstance(order, rank_protocol.Order)
        return self.switch.on_answer(
            order, rank_protocol.Answer.ACCEPTED, self.now
        )

    def prepared(self, age: datetime.timedelta) -> list[map_switch.Action]:
        """Start a round and report that the rank has prepared the map."""
        self.report(age)
        started = self.switch.start_round(NEW_MAP, self.now)
        assert not self.accept(started)
        self.now += 400 * MS
        return self.report(age, prepared=self.switch.token)


def step_of(actions: list[map_switch.Action]) -> int:
    """Return the pass in the only order."""
    (order,) = actions
    assert isinstance(order, rank_protocol.Order)
    return order.step


def test_the_next_pass_is_held_if_reports_are_fresh() -> None:
    """With fresh reports a switch must not be delayed by several passes."""
    rig = SwitchRig()
    hold = rig.prepared(FRESH)
    assert step_of(hold) == REPORT.step + 1
    refused = rig.switch.on_answer(
        hold[0],  # type: ignore[arg-type]
        rank_protocol.Answer.REFUSED,
        rig.now,
    )
    assert step_of(refused) > REPORT.step + 1
    lagging = SwitchRig().prepared(rank_protocol.MAX_REPORT_AGE)
    assert step_of(lagging) >= REPORT.step + map_switch.HOLD_LEAD_PASSES


def test_an_outdated_report_of_a_hold_starts_no_rollback() -> None:
    """A hold reported from before its release must not start a rollback."""
    rig = SwitchRig()
    fence = rig.report(held=11)
    assert rig.switch.state is map_switch.State.FENCE
    rig.accept(fence)
    rig.now += 20 * MS
    requests = rig.switch.tick(rig.now)
    assert requests == [map_switch.RequestReport(rank=0)]
    release = rig.report(held=11)
    rig.accept(release)
    assert rig.switch.is_ready
    rig.now += 2 * MS
    assert not rig.report(held=11)
    assert rig.switch.is_ready
    rig.now += 20 * MS
    assert rig.report(held=12)
    assert rig.switch.state is map_switch.State.FENCE


def test_reports_from_before_a_rollback_are_ignored() -> None:
    """A rollback must not rely on reports that may be older than it."""
    rig = SwitchRig()
    rig.accept(rig.report(held=11))
    rig.now += 20 * MS
    rig.switch.tick(rig.now)
    assert not rig.report(50 * MS, held=11)
    assert rig.switch.state is map_switch.State.AWAIT_REPORTS
    assert rig.report(FRESH, held=11)
    assert rig.switch.state is map_switch.State.RELEASE
