"""Races and failures neither lose a change nor apply it twice."""

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
    """Return a log that works until faults are set."""
    return operators.FlakyLog(fake_log.FakeLog())


def write_fleet(tmp_path: pathlib.Path, name: str) -> str:
    """Write a fleet file and return its path."""
    path = tmp_path / f'{name}.json'
    path.write_text(json.dumps(fleets.document(name=name)))
    return str(path)


def run_apply(
    log: operators.FlakyLog, path: str, base: int | None = None
) -> exit_status.ExitStatus:
    """Apply the fleet at ``path`` as a new operator."""
    command = apply.ApplyCommand(client=operators.new_client(log))
    return command.run(
        path, base_version=base, reason='', wait=NO_WAIT, as_json=True
    )


def fleet_name(log: operators.FlakyLog) -> str:
    """Return the name of the fleet in force."""
    client = operators.new_client(log)
    client.catch_up()
    return str(client.state.document.get('name'))


def test_second_of_two_concurrent_changes_gets_a_conflict(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """The conflict error names the author and paths of the first change."""
    run_apply(log, write_fleet(tmp_path, 'first'))
    rival = operators.FlakyLog(log.log)
    log.before_append = lambda: run_apply(
        rival, write_fleet(tmp_path, 'rival')
    )
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write_fleet(tmp_path, 'mine'))
    assert caught.value.failure.code is exceptions.Code.CONFIG_CONFLICT
    assert 'version 2 by someone' in caught.value.failure.detail
    assert '/name' in caught.value.failure.detail
    assert fleet_name(log) == 'rival'


def test_outdated_base_version_is_a_conflict(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """Nothing is appended if --base is not the version in force."""
    run_apply(log, write_fleet(tmp_path, 'first'))
    run_apply(log, write_fleet(tmp_path, 'second'))
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write_fleet(tmp_path, 'third'), base=1)
    assert caught.value.failure.code is exceptions.Code.CONFIG_CONFLICT
    assert log.log.appends == 2


@pytest.mark.parametrize(
    ('lost_responses', 'failed_appends'), [(1, 0), (2, 0), (0, 2)]
)
def test_append_errors_neither_lose_nor_double_a_change(
    log: operators.FlakyLog,
    tmp_path: pathlib.Path,
    lost_responses: int,
    failed_appends: int,
) -> None:
    """After an error the client looks for its record on the log."""
    log.responses_to_lose = lost_responses
    log.appends_to_fail = failed_appends
    assert (
        run_apply(log, write_fleet(tmp_path, 'first'))
        is exit_status.ExitStatus.OK
    )
    assert fleet_name(log) == 'first'
    rows = audit.AuditCommand(client=operators.new_client(log)).rows()
    accepted = [row for row in rows if row['verdict'] == 'accepted']
    assert len(accepted) == 1


def test_lost_response_in_a_race_is_still_a_conflict(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """The record was appended, but after the one of another operator."""
    run_apply(log, write_fleet(tmp_path, 'first'))
    rival = operators.FlakyLog(log.log)
    log.before_append = lambda: run_apply(
        rival, write_fleet(tmp_path, 'rival')
    )
    log.responses_to_lose = 1
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write_fleet(tmp_path, 'mine'))
    assert caught.value.failure.code is exceptions.Code.CONFIG_CONFLICT
    assert fleet_name(log) == 'rival'


def test_unavailable_log_is_reported_as_unknown_result(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """The error must not claim that the change was rejected."""
    log.appends_to_fail = 99
    with pytest.raises(exceptions.ConfigError) as caught:
        run_apply(log, write_fleet(tmp_path, 'first'))
    assert caught.value.failure.code is exceptions.Code.APPEND_UNKNOWN


def test_audit_shows_author_and_old_and_new_state(
    log: operators.FlakyLog, tmp_path: pathlib.Path
) -> None:
    """Each change is listed with its offset, author and reason."""
    run_apply(log, write_fleet(tmp_path, 'first'))
    client = operators.new_client(log)
    membership.MembershipCommand(client=client).run(
        'till-0', 'draining', reason='repair', as_json=True
    )
    rows = audit.AuditCommand(client=operators.new_client(log)).rows()
    assert [row['offset'] for row in rows] == [1, 2]
    assert rows[0]['from'] == 'version 0'
    assert rows[0]['to'].startswith('version 1: ')
    assert rows[1]['from'] == 'live'
    assert rows[1]['to'] == 'till-0: draining'
    assert rows[1]['why'] == 'repair'
    assert all(row['who'].startswith('someone/') for row in rows)


def test_audit_without_rejected_records_is_detected(
    log: operators.FlakyLog,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The check of the audit fails if only accepted records are shown."""
    original = reader.FleetReader.apply_page

    def accepted_only(
        self: reader.FleetReader, page: reader.Page
    ) -> list[reader.AppliedRecord]:
        return [
            applied
            for applied in original(self, page)
            if applied.verdict is reducer.Verdict.ACCEPTED
        ]

    run_apply(log, write_fleet(tmp_path, 'first'))
    rival = operators.FlakyLog(log.log)
    log.before_append = lambda: run_apply(
        rival, write_fleet(tmp_path, 'rival')
    )
    with pytest.raises(exceptions.ConfigError):
        run_apply(log, write_fleet(tmp_path, 'mine'))
    assert audit_verdicts(log) == ['accepted', 'accepted', 'conflict']
    monkeypatch.setattr(reader.FleetReader, 'apply_page', accepted_only)
    assert audit_verdicts(log) != ['accepted', 'accepted', 'conflict']


def audit_verdicts(log: operators.FlakyLog) -> list[str]:
    """Return the verdicts in the audit, in order of offsets."""
    command = audit.AuditCommand(client=operators.new_client(log))
    return [row['verdict'] for row in command.rows()]


def test_drain_of_an_unknown_endpoint_appends_nothing(
    log: operators.FlakyLog,
) -> None:
    """The error lists the names of the endpoints that exist."""
    command = membership.MembershipCommand(client=operators.new_client(log))
    with pytest.raises(exceptions.ConfigError) as caught:
        command.run('till-9', 'draining', reason='', as_json=True)
    assert caught.value.failure.code is exceptions.Code.NOT_FOUND
    assert 'till-0' in caught.value.failure.remedy
    assert log.log.appends == 0
