"""``aspenfold``: the operators' command line."""

import datetime
import os
import typing

import fire

from aspenfold._internal.commands import apply as apply_module
from aspenfold._internal.commands import audit as audit_module
from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import inspect as inspect_module
from aspenfold._internal.commands import membership as membership_module
from aspenfold._internal.commands import output
from aspenfold._internal.commands import trace as trace_module
from aspenfold._internal.models import fleet
from aspenfold._internal.models import settings as settings_module

SETTINGS_VARIABLE = 'ASPENFOLD_SETTINGS'


class OperatorCommands:
    """Operate a fleet: validate, diff, apply, inspect, drain.

    Every command takes --json where it prints a table.  The platform's
    addresses come from the JSON file that --settings or the variable
    ASPENFOLD_SETTINGS names.

    Exit statuses: 0 done, 1 failed, 2 bad input, 3 conflict, 4 not yet
    in force everywhere, 5 something does not answer.
    """

    def __init__(self, settings: str = '') -> None:
        self._settings = settings or os.environ.get(SETTINGS_VARIABLE, '')

    def validate(self, fleet_file: str) -> None:
        """Check a fleet file.  Example: aspenfold validate fleet.json"""

        def work() -> exit_status.Exit:
            apply_module.load_fleet(fleet_file)
            print(f'{fleet_file} is a valid fleet')
            return exit_status.Exit.OK

        exit_status.run_and_exit(work)

    def schema(self) -> None:
        """Print the JSON Schema of the fleet file."""
        output.print_json(fleet.Fleet.model_json_schema())

    def diff(self, fleet_file: str, json: bool = False) -> None:
        """Show what an apply would change."""
        exit_status.run_and_exit(
            lambda: apply_module.DiffCommand(client=self._fleet_client()).run(
                fleet_file, as_json=json
            )
        )

    def apply(
        self,
        fleet_file: str,
        base: int | None = None,
        reason: str = '',
        wait: float = 10.0,
        json: bool = False,
    ) -> None:
        """Put a whole fleet in force, and wait until it is.

        Example: aspenfold apply fleet.json --base 41 --reason 'Easter'
        """
        exit_status.run_and_exit(
            lambda: apply_module.ApplyCommand(client=self._fleet_client()).run(
                fleet_file,
                base_version=base,
                reason=str(reason),
                wait=datetime.timedelta(seconds=wait),
                as_json=json,
            )
        )

    def show(self) -> None:
        """Print the fleet in force."""
        exit_status.run_and_exit(
            lambda: inspect_module.ShowCommand(
                client=self._fleet_client()
            ).run()
        )

    def history(self, json: bool = False) -> None:
        """List the configurations that were accepted."""
        self.audit(kind='config', verdict='accepted', json=json)

    def audit(
        self,
        kind: str = '',
        author: str = '',
        since: int = 0,
        verdict: str = '',
        json: bool = False,
    ) -> None:
        """List every change with who, what, from, to and offset.

        --kind is one of config, lease, map, membership, snapshot.
        """
        exit_status.run_and_exit(
            lambda: audit_module.AuditCommand(client=self._fleet_client()).run(
                kind=kind,
                author=str(author),
                since=since,
                verdict=verdict,
                as_json=json,
            )
        )

    def status(self, json: bool = False) -> None:
        """Show versions, endpoints, leases, maps, and what is stale."""
        exit_status.run_and_exit(
            lambda: inspect_module.StatusCommand(
                client=self._fleet_client()
            ).run(as_json=json)
        )

    def drain(
        self, endpoint: str, reason: str = '', json: bool = False
    ) -> None:
        """Give an endpoint no new work; what runs there finishes."""
        self._member(endpoint, 'draining', reason, json)

    def undrain(
        self, endpoint: str, reason: str = '', json: bool = False
    ) -> None:
        """Give a drained endpoint work again."""
        self._member(endpoint, 'live', reason, json)

    def explain(
        self,
        organisation: str,
        service: str,
        operation: str,
        entry: str = '',
        json: bool = False,
    ) -> None:
        """Show, rule by rule, where such a request would go."""
        exit_status.run_and_exit(
            lambda: inspect_module.ExplainCommand(
                client=self._fleet_client()
            ).run(
                organisation,
                service,
                operation,
                entry=entry,
                as_json=json,
            )
        )

    def trace(
        self, request_id: str, *log_files: str, json: bool = False
    ) -> None:
        """Tell one request's story from the logs of several processes.

        Example: aspenfold trace 9c41d07be2a35f68 gateway-*.log
        """
        exit_status.run_and_exit(
            lambda: trace_module.TraceCommand().run(
                str(request_id), log_files, as_json=json
            )
        )

    def _member(
        self,
        endpoint: str,
        state: typing.Literal['live', 'draining'],
        reason: str,
        json: bool,
    ) -> None:
        exit_status.run_and_exit(
            lambda: membership_module.MembershipCommand(
                client=self._fleet_client()
            ).run(
                endpoint,
                state,
                reason=str(reason),
                as_json=json,
            )
        )

    def _fleet_client(self) -> fleet_client.FleetClient:
        cfg = settings_module.load(
            self._settings, settings_module.OperatorSettings
        )
        return fleet_client.FleetClient.connect(cfg)


def main() -> None:
    """Run the command line."""
    fire.Fire(OperatorCommands, name='aspenfold')
