"""Readers of the fleet stream agree, and none goes back."""

import typing

from aspenfold_standins import sim as sim_module
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from tests.lib import fake_log
from tests.lib import fleets
from tests.lib import operators

from aspenfold._internal.configuration import patch
from aspenfold._internal.configuration import reader
from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.models import fleet
from aspenfold._internal.models import records

STREAM = records.FLEET_STREAM
READERS = st.integers(0, 3)
View = tuple[int, str]


class FleetMachine(stateful.RuleBasedStateMachine):
    """Operators race; records expire; readers lag, restart, share states."""

    def __init__(self) -> None:
        super().__init__()
        self.log = fake_log.FakeLog()
        self.readers = [reader.FleetReader() for _ in range(4)]
        self.reference = reader.FleetReader()
        self.seen: dict[int, View] = {}
        self.versions = [0] * 4
        self.winners: dict[int, int] = {}
        self.number = 0

    def _append(self, record: records.Record) -> None:
        self.log.append(STREAM, record)
        page = self.log.read(STREAM, self.reference.position)
        for applied in self.reference.apply_page(page):
            body = applied.record.body
            accepted = applied.verdict is reducer.Verdict.ACCEPTED
            if body['type'] == 'config' and accepted:
                base = body['base_version']
                self.winners[base] = self.winners.get(base, 0) + 1

    @stateful.rule(who=READERS, name=st.sampled_from('abcdef'))
    def apply(self, who: int, name: str) -> None:
        """An operator applies a change based on one reader's state."""
        state = self.readers[who].state
        old = state.document
        new = operators.with_name(fleets.document(), name)
        self.number += 1
        self._append(
            operators.config_change(
                f'op{who}', self.number, state.version, old, new
            )
        )

    @stateful.rule(holder=READERS)
    def lease(self, holder: int) -> None:
        """An entry requests the snapshot lease."""
        self.number += 1
        token = self.readers[holder].state.lease_token(reducer.SNAPSHOT_LEASE)
        self._append(
            records.LeaseGrant(
                id=f'lease-{self.number}',
                author=f'entry-{holder}',
                at=sim_module.START,
                name=reducer.SNAPSHOT_LEASE,
                holder=f'entry-{holder}',
                ttl_ms=1000,
                prior_token=token,
            )
        )

    @stateful.rule(
        endpoint=st.sampled_from(['x', 'y']),
        to=st.sampled_from(['live', 'draining', 'gone']),
    )
    def member(self, endpoint: str, to: typing.Any) -> None:
        """An operator changes an endpoint's state."""
        self.number += 1
        self._append(
            records.MembershipChange(
                id=f'member-{self.number}',
                author='op',
                at=sim_module.START,
                endpoint=endpoint,
                state=to,
            )
        )

    @stateful.rule(who=READERS)
    def snapshot(self, who: int) -> None:
        """A reader writes a snapshot, however old its state is."""
        fleet_reader = self.readers[who]
        if fleet_reader.awaiting_snapshot:
            return
        self.number += 1
        self._append(
            records.Snapshot(
                id=f'snapshot-{self.number}',
                author=f'entry-{who}',
                at=sim_module.START,
                covers=fleet_reader.state.next_offset,
                lease_token=0,
                state=records.StateDocument.model_validate(
                    fleet_reader.state.to_json()
                ),
            )
        )

    @stateful.rule(keep=st.integers(0, 12))
    def trim(self, keep: int) -> None:
        """Old records expire."""
        self.log.trim(STREAM, keep)

    @stateful.rule(who=READERS, limit=st.integers(1, 5))
    def read(self, who: int, limit: int) -> None:
        """A reader reads a page."""
        fleet_reader = self.readers[who]
        fleet_reader.apply_page(
            self.log.read(STREAM, fleet_reader.position, limit)
        )

    @stateful.rule(who=READERS)
    def restart(self, who: int) -> None:
        """A new host replaces a reader."""
        self.readers[who] = reader.FleetReader()
        self.versions[who] = 0

    @stateful.rule(who=READERS, peer=READERS)
    def ask_peer(self, who: int, peer: int) -> None:
        """A reader adopts a peer's state."""
        data = self.readers[peer].state.to_json()
        state = state_module.FleetState.from_json(data)
        self.readers[who].adopt_state(state)

    @stateful.invariant()
    def readers_agree(self) -> None:
        """States at the same offset are equal."""
        for fleet_reader in [*self.readers, self.reference]:
            state = fleet_reader.state
            view = (state.version, patch.digest(state.to_json()))
            first = self.seen.setdefault(state.next_offset, view)
            assert first == view

    @stateful.invariant()
    def nothing_reverts(self) -> None:
        """The version of a reader never decreases."""
        for who, fleet_reader in enumerate(self.readers):
            assert fleet_reader.state.version >= self.versions[who]
            self.versions[who] = fleet_reader.state.version

    @stateful.invariant()
    def one_winner(self) -> None:
        """At most one change of each base version is accepted."""
        assert all(count == 1 for count in self.winners.values())


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.pytestmark = [pytest.mark.explores]


def _last_writer_wins(
    state: state_module.FleetState, offset: int, record: typing.Any
) -> reducer.Verdict:
    document = patch.apply(state.document, record.patch)
    if document is None:
        return reducer.Verdict.INVALID
    state.set_document(offset, document, fleet.Fleet.model_validate(document))
    return reducer.Verdict.ACCEPTED


def _adopt_anything(self: typing.Any, state: typing.Any) -> bool:
    self.state = state
    return True


def _apply_at_once(self: typing.Any, record: typing.Any) -> typing.Any:
    verdict = reducer.apply_record(self.state, record.offset, record.body)
    yield reader.AppliedRecord(record=record, verdict=verdict)


@pytest.mark.parametrize(
    ('where', 'name', 'mutant'),
    [
        (reducer, '_apply_config', _last_writer_wins),
        (reader.FleetReader, 'adopt_state', _adopt_anything),
        (reader.FleetReader, '_apply_or_hold', _apply_at_once),
    ],
    ids=['last_writer_wins', 'adopt_anything', 'apply_past_a_gap'],
)
def test_machine_detects_a_removed_guard(
    where: typing.Any,
    name: str,
    mutant: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the guard the state machine finds a counterexample."""
    monkeypatch.setattr(where, name, mutant)
    profile = hypothesis.settings(
        max_examples=300,
        stateful_step_count=40,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(FleetMachine, settings=profile)


def test_held_records_are_applied_to_a_peers_state() -> None:
    """Records held during a gap are applied to a peer's state, not lost."""
    log = fake_log.FakeLog()
    ahead, behind = reader.FleetReader(), reader.FleetReader()
    for number in range(3):
        log.append(
            STREAM,
            records.MembershipChange(
                id=str(number),
                author='op',
                at=sim_module.START,
                endpoint=f'e{number}',
                state='draining',
            ),
        )
    ahead.apply_page(log.read(STREAM, 1, limit=1))
    log.trim(STREAM, 2)
    behind.apply_page(log.read(STREAM, 1))
    assert behind.awaiting_snapshot
    data = ahead.state.to_json()
    assert behind.adopt_state(state_module.FleetState.from_json(data))
    assert not behind.awaiting_snapshot
    assert sorted(behind.state.members) == ['e0', 'e1', 'e2']
