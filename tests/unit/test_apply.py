"""Operators race, and answers are lost after they took effect (P7)."""

import datetime
import json
import pathlib

import pytest
from tests.lib import fake_log
from tests.lib import fleets
from tests.lib import operators

from aspenfold._internal.commands import apply
from aspenfold._internal.commands import audit
from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import membership
from aspenfold._internal.configuration import reader
from aspenfold._internal.configuration import reducer
from aspenfold._internal import exceptions

NO_WAIT = datetime.timedelta(0)


@pytest.fixture
def log() -> operators.FlakyLog:
    """Return a log that behaves until told otherwise."""
    return operators.FlakyLog(fake_log.FakeLog())


def write(tmp_path: pathlib.Path, name: str) -> str:
    """Write a fleet called ``name`` and return its path."""
    path = tmp_path / f'{name}.json'
    path.write_text(json.dumps(fleets.document(name=name)))
    return str(path)


def run_apply(
    log: operators.FlakyLog, path: str, base: int | None = None
) -> exit_status.Exit:
    """Apply the fleet at ``path`` as a new operator."""
    command = apply.ApplyCommand(client=operators.operator(log))
    return command.run(
        path, base_version=base, reason='', wait=NO_WAIT, as_json=True
    )


def names(log: operators.FlakyLog) -> str:
    """Return the name of the fleet in force."""
    client = operators.operator(log)
    client.catch_up()
    return str(client.state.document.get('name'))


def test_a_race_has_one_winner_and_a_clear_conflict(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """The rival's change lands first; the loser is told what changed."""
    run_apply(log, write(tmp_path, 'first'))
    rival = operators.FlakyLog(log.log)
    log.before_append = lambda: run_apply(rival, write(tmp_path, 'rival'))
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write(tmp_path, 'mine'))
    assert caught.value.failure.code is exceptions.Code.CONFIG_CONFLICT
    assert 'version 2 by someone' in caught.value.failure.detail
    assert '/name' in caught.value.failure.detail
    assert names(log) == 'rival'


def test_an_old_base_is_a_conflict_before_anything_is_written(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """--base names the version that the operator looked at."""
    run_apply(log, write(tmp_path, 'first'))
    run_apply(log, write(tmp_path, 'second'))
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write(tmp_path, 'third'), base=1)
    assert caught.value.failure.code is exceptions.Code.CONFIG_CONFLICT
    assert log.log.appends == 2


@pytest.mark.parametrize(('lost', 'failed'), [(1, 0), (2, 0), (0, 2)])
def test_a_lost_answer_is_not_a_lost_or_doubled_change(
    log: operators.FlakyLog, tmp_path: pathlib.Path, lost: int, failed: int
) -> None:
    """The fate of an append is read from the log."""
    log.lose_answers = lost
    log.fail_appends = failed
    assert run_apply(log, write(tmp_path, 'first')) is exit_status.Exit.OK
    assert names(log) == 'first'
    rows = audit.AuditCommand(client=operators.operator(log)).rows()
    accepted = [row for row in rows if row['verdict'] == 'accepted']
    assert len(accepted) == 1


def test_a_lost_answer_in_a_race_tells_the_loser_the_truth(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """The append took effect, but after the rival's: a conflict."""
    run_apply(log, write(tmp_path, 'first'))
    rival = operators.FlakyLog(log.log)
    log.before_append = lambda: run_apply(rival, write(tmp_path, 'rival'))
    log.lose_answers = 1
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write(tmp_path, 'mine'))
    assert caught.value.failure.code is exceptions.Code.CONFIG_CONFLICT
    assert names(log) == 'rival'


def test_a_log_that_stays_away_leaves_the_fate_open(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """The operator is told that it is not known."""
    log.fail_appends = 99
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write(tmp_path, 'first'))
    assert caught.value.failure.code is exceptions.Code.APPEND_UNKNOWN


def test_audit_shows_who_what_from_and_to(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """P8: accepted and rejected changes, each with its offset."""
    run_apply(log, write(tmp_path, 'first'))
    client = operators.operator(log)
    membership.MembershipCommand(client=client).run(
        'till-0', 'draining', reason='repair', as_json=True
    )
    rows = audit.AuditCommand(client=operators.operator(log)).rows()
    assert [row['offset'] for row in rows] == [1, 2]
    assert rows[0]['from'] == 'version 0'
    assert rows[0]['to'].startswith('version 1: ')
    assert rows[1]['from'] == 'live'
    assert rows[1]['to'] == 'till-0: draining'
    assert rows[1]['why'] == 'repair'
    assert all(row['who'].startswith('someone/') for row in rows)


def test_audit_guard_removed(
    log: operators.FlakyLog,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An audit that shows only accepted records fails its check."""
    right = reader.FleetReader.apply_page

    def accepted_only(
        self: reader.FleetReader, page: reader.Page
    ) -> list[reader.AppliedRecord]:
        return [
            judged
            for judged in right(self, page)
            if judged.verdict is reducer.Verdict.ACCEPTED
        ]

    run_apply(log, write(tmp_path, 'first'))
    rival = operators.FlakyLog(log.log)
    log.before_append = lambda: run_apply(rival, write(tmp_path, 'rival'))
    with pytest.raises(exceptions.ConfigError):
        run_apply(log, write(tmp_path, 'mine'))
    assert audited(log) == ['accepted', 'accepted', 'conflict']
    monkeypatch.setattr(reader.FleetReader, 'apply_page', accepted_only)
    assert audited(log) != ['accepted', 'accepted', 'conflict']


def audited(log: operators.FlakyLog) -> list[str]:
    """Return the verdicts that the audit shows."""
    command = audit.AuditCommand(client=operators.operator(log))
    return [row['verdict'] for row in command.rows()]


def test_drain_of_an_unknown_endpoint_writes_nothing(
    log: operators.FlakyLog,
) -> None:
    """A mistyped name is told, with the names that there are."""
    command = membership.MembershipCommand(client=operators.operator(log))
    with pytest.raises(exceptions.ConfigError) as caught:
        command.run('till-9', 'draining', reason='', as_json=True)
    assert caught.value.failure.code is exceptions.Code.NOT_FOUND
    assert 'till-0' in caught.value.failure.remedy
    assert log.log.appends == 0
