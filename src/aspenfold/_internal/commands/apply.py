"""``aspenfold apply``: puts a whole fleet in force."""

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
    """Read and validate a fleet file; return its canonical document."""
    fleet = base.load_model(
        path, fleet_model.Fleet, code=exceptions.Code.CONFIG_INVALID
    )
    return fleet.model_dump(mode='json')


class ApplyCommand:
    """Appends the change, then waits until it is in force everywhere."""

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
    ) -> exit_status.Exit:
        """Apply the fleet file at ``path``."""
        document = load_fleet(path)
        state = self._client.state
        self._client.catch_up()
        state = self._client.state
        if base_version is not None and base_version != state.version:
            self._conflict(base_version)
        steps = patch.diff(state.document, document)
        if not steps:
            output.print_rows(
                [{'result': 'no change', 'version': state.version}],
                as_json=as_json,
            )
            return exit_status.Exit.OK
        version = self._append(document, steps, reason)
        return self._wait(version, wait, as_json)

    def _append(
        self,
        document: patch.Document,
        steps: list[dict[str, typing.Any]],
        reason: str,
    ) -> int:
        base_version = self._client.state.version
        record = records.ConfigChange(
            **self._client.record_header(),
            base_version=base_version,
            digest=patch.digest(document),
            patch=steps,
            reason=reason,
        )
        judged = self._client.append(record)
        if judged.verdict is reducer.Verdict.ACCEPTED:
            return judged.record.offset
        if judged.verdict is reducer.Verdict.CONFLICT:
            self._conflict(base_version)
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.CONFIG_DIGEST,
                detail=f'the log judged the change {judged.verdict.value}',
                remedy='check that all programs are of one version',
            )
        )

    def _conflict(self, base_version: int) -> typing.NoReturn:
        """Raise the conflict with what others changed since the base."""
        client = self._client
        lines = []
        for record in client.read_records():
            body = record.body
            if body.get('type') != 'config':
                continue
            if record.offset <= base_version:
                continue
            if record.offset <= client.state.version:
                paths = ', '.join(s['path'] for s in body['patch'])
                lines.append(
                    f'version {record.offset} by {body["author"]}: {paths}'
                )
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.CONFIG_CONFLICT,
                detail=f'version {base_version} is no longer in force, '
                f'version {client.state.version} is; ' + '; '.join(lines),
                field='base_version',
                remedy='run "aspenfold diff" on your file, merge the '
                'change, and apply again',
            )
        )

    def _wait(
        self, version: int, wait: datetime.timedelta, as_json: bool
    ) -> exit_status.Exit:
        clock = self._client.clock
        began = clock.now()
        until = began + wait
        while True:
            rows = self._versions(version)
            behind = [row for row in rows if not row['in force']]
            if not behind or clock.now() >= until:
                break
            _progress(len(rows) - len(behind), len(rows))
            time.sleep(POLL_INTERVAL.total_seconds())
        output.print_rows(rows, as_json=as_json)
        if behind:
            names = ', '.join(str(row['entry']) for row in behind)
            print(
                f'accepted as version {version}, which will not revert, '
                f'but not yet in force on: {names}',
                file=sys.stderr,
            )
            return exit_status.Exit.NOT_IN_FORCE
        return exit_status.Exit.OK

    def _versions(self, version: int) -> list[dict[str, typing.Any]]:
        rows: list[dict[str, typing.Any]] = []
        for host in self._client.list_entries():
            status = self._client.fetch_status(host)
            running = status['version'] if status else None
            rows.append(
                {
                    'entry': host.name,
                    'availability_zone': host.availability_zone,
                    'version': running,
                    'in force': running is not None and running >= version,
                }
            )
        return rows


def _progress(done: int, total: int) -> None:
    if sys.stderr.isatty():
        print(f'in force on {done} of {total}', end='\r', file=sys.stderr)


class DiffCommand:
    """Shows what an apply would change."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(self, path: str, *, as_json: bool) -> exit_status.Exit:
        """Compare the fleet file at ``path`` with what is in force."""
        document = load_fleet(path)
        self._client.catch_up()
        rows = fleet_diff.diff_rows(self._client.state.document, document)
        output.print_rows(rows, as_json=as_json)
        return exit_status.Exit.OK
