"""``aspenfold apply`` and ``diff``: replace the fleet configuration."""

import datetime
import sys
import time
import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import fleet_diff
from aspenfold._internal.commands import output
from aspenfold._internal.configuration import patch
from aspenfold._internal.configuration import reducer
from aspenfold._internal import exceptions
from aspenfold._internal.models import base
from aspenfold._internal.models import fleet as fleet_model
from aspenfold._internal.models import records

POLL_INTERVAL = datetime.timedelta(milliseconds=200)


def load_fleet(path: str) -> patch.Document:
    """Return the validated fleet document in the file at ``path``.

    Raises ConfigError, naming the field, if it is unreadable or invalid.
    """
    fleet = base.load_model(
        path, fleet_model.Fleet, code=exceptions.Code.CONFIG_INVALID
    )
    return fleet.model_dump(mode='json')


class ApplyCommand:
    """Appends a fleet change and waits until all entries use it."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(
        self,
        path: str,
        *,
        base_version: int | None,
        reason: str,
        wait: datetime.timedelta,
        as_json: bool,
    ) -> exit_status.ExitStatus:
        """Apply the fleet file at ``path``.

        Raises ConfigError if the change is rejected, or if the version in
        force is not ``base_version``.  Returns ``NOT_IN_FORCE`` if some
        entries do not use the new version after ``wait``.
        """
        document = load_fleet(path)
        state = self._client.state
        self._client.catch_up()
        state = self._client.state
        if base_version is not None and base_version != state.version:
            self._raise_conflict(base_version)
        operations = patch.diff(state.document, document)
        if not operations:
            output.print_rows(
                [{'result': 'no change', 'version': state.version}],
                as_json=as_json,
            )
            return exit_status.ExitStatus.OK
        version = self._append(document, operations, reason)
        return self._wait_until_in_force(version, wait, as_json)

    def _append(
        self,
        document: patch.Document,
        operations: list[dict[str, typing.Any]],
        reason: str,
    ) -> int:
        """Append the change and return its version."""
        base_version = self._client.state.version
        record = records.ConfigChange(
            **self._client.record_header(),
            base_version=base_version,
            digest=patch.digest(document),
            patch=operations,
            reason=reason,
        )
        applied = self._client.append(record)
        if applied.verdict is reducer.Verdict.ACCEPTED:
            return applied.record.offset
        if applied.verdict is reducer.Verdict.CONFLICT:
            self._raise_conflict(base_version)
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.CONFIG_DIGEST,
                detail=f'the change was rejected: {applied.verdict.value}',
                remedy='check that all programs have the same version',
            )
        )

    def _raise_conflict(self, base_version: int) -> typing.NoReturn:
        """Raise ConfigError, listing the changes after ``base_version``."""
        client = self._client
        changes = []
        for record in client.read_records():
            body = record.body
            if body.get('type') != 'config':
                continue
            if record.offset <= base_version:
                continue
            if record.offset <= client.state.version:
                paths = ', '.join(
                    operation['path'] for operation in body['patch']
                )
                changes.append(
                    f'version {record.offset} by {body["author"]}: {paths}'
                )
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.CONFIG_CONFLICT,
                detail=f'version {base_version} is no longer in force, '
                f'version {client.state.version} is; ' + '; '.join(changes),
                field='base_version',
                remedy='run "aspenfold diff" on your file, merge the '
                'change, and apply again',
            )
        )

    def _wait_until_in_force(
        self, version: int, wait: datetime.timedelta, as_json: bool
    ) -> exit_status.ExitStatus:
        clock = self._client.clock
        started = clock.now()
        deadline = started + wait
        while True:
            rows = self._entry_rows(version)
            pending = [row for row in rows if not row['in force']]
            if not pending or clock.now() >= deadline:
                break
            _print_progress(len(rows) - len(pending), len(rows))
            time.sleep(POLL_INTERVAL.total_seconds())
        output.print_rows(rows, as_json=as_json)
        if pending:
            names = ', '.join(str(row['entry']) for row in pending)
            print(
                f'version {version} is accepted and will not be reverted, '
                f'but it is not yet in force on: {names}',
                file=sys.stderr,
            )
            return exit_status.ExitStatus.NOT_IN_FORCE
        return exit_status.ExitStatus.OK

    def _entry_rows(self, version: int) -> list[dict[str, typing.Any]]:
        """Return a row for each entry: whether it uses ``version``."""
        rows: list[dict[str, typing.Any]] = []
        for host in self._client.list_entries():
            status = self._client.fetch_status(host)
            current = status['version'] if status else None
            rows.append(
                {
                    'entry': host.name,
                    'availability_zone': host.availability_zone,
                    'version': current,
                    'in force': current is not None and current >= version,
                }
            )
        return rows


def _print_progress(done: int, total: int) -> None:
    if sys.stderr.isatty():
        print(f'in force on {done} of {total}', end='\r', file=sys.stderr)


class DiffCommand:
    """Prints what applying a fleet file would change."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(self, path: str, *, as_json: bool) -> exit_status.ExitStatus:
        """Compare the fleet file at ``path`` with the fleet in force."""
        document = load_fleet(path)
        self._client.catch_up()
        rows = fleet_diff.diff_rows(self._client.state.document, document)
        output.print_rows(rows, as_json=as_json)
        return exit_status.ExitStatus.OK
