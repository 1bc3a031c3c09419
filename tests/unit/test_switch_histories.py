"""Random histories of map changes: no pass begins with two maps."""

import dataclasses
import datetime

import pytest

from aspenfold._internal.expertmaps import map_switch
from aspenfold._internal.expertmaps import rank_protocol
from tests.lib import rank_world

pytestmark = pytest.mark.explores

FAULTY = datetime.timedelta(seconds=60)
QUIET = datetime.timedelta(seconds=30)


def play(
    seed: int, switch_class: type[map_switch.MapSwitch] = map_switch.MapSwitch
) -> rank_world.World:
    """Run a world with faults."""
    world = rank_world.World(seed=seed, switch_class=switch_class)
    world.run(FAULTY)
    return world


def test_no_pass_begins_with_two_maps(seeds: range) -> None:
    """Whatever is lost, late or killed; and the group goes on after."""
    for seed in seeds:
        world = play(seed)
        world.faults = rank_world.QUIET
        world.run(QUIET / 2)
        passes = world.passes
        switched = world.switched
        world.run(QUIET / 2)
        assert world.passes > passes + 50, seed
        assert world.switched > switched, seed


class WithoutHold(map_switch.MapSwitch):
    """Arms ranks for a pass that nothing holds."""

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
        """Take an answer."""
        accepted = answer is rank_protocol.Answer.ACCEPTED
        if self.state is map_switch.State.ARM and accepted:
            return self._all_accepted(now)
        return super().on_answer(order, answer, now)


class WithoutFreeze(map_switch.MapSwitch):
    """Undoes a round while its orders may still be carried out."""

    def roll_back(self, now: datetime.datetime) -> list[map_switch.Action]:
        """Undo a round."""
        self._enter(map_switch.State.AWAIT_REPORTS, now)
        self._settled_at = now
        return []


class WithoutPatience(map_switch.MapSwitch):
    """Trusts reports that are older than the freeze."""

    def _shows_answers(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> bool:
        return True

    def _too_early(self, now: datetime.datetime) -> bool:
        return False


class ForgottenArms(map_switch.MapSwitch):
    """Releases a held pass without disarming."""

    def _looked(self, now: datetime.datetime) -> list[map_switch.Action]:
        for rank, report in list(self._fresh.items()):
            self._fresh[rank] = dataclasses.replace(report, armed=None)
        return super()._looked(now)


@pytest.mark.parametrize(
    'guardless',
    [
        WithoutHold,
        EarlyRelease,
        WithoutFreeze,
        WithoutPatience,
        ForgottenArms,
    ],
)
def test_each_guard_is_needed(guardless: type[map_switch.MapSwitch]) -> None:
    """Without it some history begins a pass with two maps."""
    with pytest.raises(rank_world.Violation):
        for seed in range(300):
            play(seed, guardless)
