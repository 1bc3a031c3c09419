"""Random runs of map switches never mix maps in a pass."""

import dataclasses
import datetime

import pytest

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.expertmaps import rank_protocol
from tests.lib import simulated_ranks

pytestmark = pytest.mark.explores

FAULTY_DURATION = datetime.timedelta(seconds=60)
FAULTLESS_DURATION = datetime.timedelta(seconds=30)


def run_with_faults(
    seed: int, switch_class: type[map_switch.MapSwitch] = map_switch.MapSwitch
) -> simulated_ranks.SimulatedRanks:
    """Return a simulation after a run with random faults."""
    simulation = simulated_ranks.SimulatedRanks(
        seed=seed, switch_class=switch_class
    )
    simulation.run(FAULTY_DURATION)
    return simulation


def test_no_pass_begins_with_two_maps(seeds: range) -> None:
    """Faults must neither mix maps in a pass nor block later switches."""
    for seed in seeds:
        simulation = run_with_faults(seed)
        simulation.faults = simulated_ranks.NO_FAULTS
        simulation.run(FAULTLESS_DURATION / 2)
        pass_count = simulation.pass_count
        switch_count = simulation.rank_switch_count
        simulation.run(FAULTLESS_DURATION / 2)
        assert simulation.pass_count > pass_count + 50, seed
        assert simulation.rank_switch_count > switch_count, seed


class WithoutHold(map_switch.MapSwitch):
    """Arms ranks without holding the pass."""

    def _hold(self, now: datetime.datetime) -> list[map_switch.Action]:
        self._enter(map_switch.State.HOLD, now)
        return self._arm(now)


class EarlyRelease(map_switch.MapSwitch):
    """Releases the pass as soon as one rank is armed."""

    def on_answer(
        self,
        order: rank_protocol.Order,
        answer: rank_protocol.Answer,
        now: datetime.datetime,
    ) -> list[map_switch.Action]:
        """Handle an answer."""
        accepted = answer is rank_protocol.Answer.ACCEPTED
        if self.state is map_switch.State.ARM and accepted:
            return self._on_all_accepted(now)
        return super().on_answer(order, answer, now)


class WithoutFence(map_switch.MapSwitch):
    """Rolls back a round while its orders may still take effect."""

    def roll_back(self, now: datetime.datetime) -> list[map_switch.Action]:
        """Roll back a round."""
        self._enter(map_switch.State.AWAIT_REPORTS, now)
        self._answered_at = now
        return []


class WithoutReportAge(map_switch.MapSwitch):
    """Trusts reports from before the rollback."""

    def _is_after_last_answers(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> bool:
        return True

    def _reports_may_lag(self, now: datetime.datetime) -> bool:
        return False


class WithoutDisarm(map_switch.MapSwitch):
    """Releases a held pass without disarming ranks."""

    def _on_rollback_reports(
        self, now: datetime.datetime
    ) -> list[map_switch.Action]:
        for rank, report in list(self._reports.items()):
            self._reports[rank] = dataclasses.replace(report, armed=None)
        return super()._on_rollback_reports(now)


@pytest.mark.parametrize(
    'switch_class',
    [
        WithoutHold,
        EarlyRelease,
        WithoutFence,
        WithoutReportAge,
        WithoutDisarm,
    ],
)
def test_pass_mixes_maps_without_guard(
    switch_class: type[map_switch.MapSwitch],
) -> None:
    """Without the guard at least one run must mix maps in a pass."""
    with pytest.raises(simulated_ranks.MixedMapsError):
        for seed in range(300):
            run_with_faults(seed, switch_class)
