"""Claim tables agree on holders, or know that they miss claims."""

import datetime

from aspenfold_standins import sim as sim_module
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from tests.lib import fake_log

from aspenfold._internal.claims import table
from aspenfold._internal.models import records

WINDOW = datetime.timedelta(seconds=60)
STREAM = 'claims-0'
TABLES = st.integers(0, 2)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Entries claim keys by their own tables; readers restart."""

    def __init__(self) -> None:
        super().__init__()
        self.log = fake_log.FakeLog()
        self.now = sim_module.START
        self.tables = [table.ClaimTable(window=WINDOW) for _ in range(3)]
        self.number = 0
        self.claimed_at: dict[str, datetime.datetime] = {}
        self.holders: dict[tuple[int, str], str] = {}

    @stateful.rule(
        who=TABLES,
        key=st.sampled_from(['k', 'l']),
        supersede=st.booleans(),
    )
    def claim(self, who: int, key: str, supersede: bool) -> None:
        """An entry claims a key by its own table."""
        self.number += 1
        holder = self.tables[who].holder(key)
        prior = holder.claim.attempt_id if holder and supersede else ''
        self.claimed_at[f'attempt-{self.number}'] = self.now
        claim = records.Claim(
            key=key,
            digest='',
            attempt_id=f'attempt-{self.number}',
            endpoint='e',
            incarnation='i',
            deadline_ms=0,
            supersedes=prior,
        )
        self.log.append(
            STREAM,
            records.ClaimBatch(
                id=str(self.number),
                author=f'entry-{who}',
                at=self.now,
                claims=[claim],
            ),
        )

    @stateful.rule(who=TABLES, limit=st.integers(1, 3))
    def read(self, who: int, limit: int) -> None:
        """An entry reads a page."""
        claim_table = self.tables[who]
        claim_table.apply_page(
            self.log.read(STREAM, claim_table.position, limit), self.now
        )

    @stateful.rule(seconds=st.sampled_from([1, 20, 61]))
    def wait(self, seconds: int) -> None:
        """Time passes."""
        self.now += datetime.timedelta(seconds=seconds)

    @stateful.rule(who=TABLES)
    def restart(self, who: int) -> None:
        """A new entry starts to read."""
        self.tables[who] = table.ClaimTable(window=WINDOW)

    @stateful.rule(keep=st.integers(0, 6))
    def trim(self, keep: int) -> None:
        """Claims are trimmed, possibly before they expire."""
        self.log.trim(STREAM, keep)

    def expired(self) -> set[str]:
        """Return the attempts whose claims are older than the window."""
        return {
            name
            for name, at in self.claimed_at.items()
            if at <= self.now - WINDOW
        }

    @stateful.invariant()
    def complete_tables_agree(self) -> None:
        """Tables that have all claims agree on the holder at a position.

        A holder older than the window may still be kept: holders expire
        by the times of later claims.
        """
        for claim_table in self.tables:
            if not claim_table.has_all_claims(self.now):
                continue
            for key in ('k', 'l'):
                holder = claim_table.holder(key)
                if holder is not None and holder.at <= self.now - WINDOW:
                    continue
                name = holder.claim.attempt_id if holder else ''
                position_and_key = (claim_table.position, key)
                first_holder = self.holders.setdefault(position_and_key, name)
                assert first_holder == name or first_holder in self.expired()


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.pytestmark = [pytest.mark.explores]
