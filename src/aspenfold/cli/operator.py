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

    Commands that print a table print JSON with --json.  The addresses of
    the platform's services come from a JSON settings file, named by
    --settings or the environment variable ASPENFOLD_SETTINGS.

    Exit statuses: 0 success, 1 failure, 2 invalid input, 3 conflict,
    4 not yet in force everywhere, 5 a service or entry is unavailable.
    """

    def __init__(self, settings: str = '') -> None:
        self._settings = settings or os.environ.get(SETTINGS_VARIABLE, '')

    def validate(self, fleet_file: str) -> None:
        """Check a fleet file.  Example: aspenfold validate fleet.json"""

        def check() -> exit_status.ExitStatus:
            apply_module.load_fleet(fleet_file)
            print(f'{fleet_file} is a valid fleet')
            return exit_status.ExitStatus.OK

        exit_status.run_and_exit(check)

    def schema(self) -> None:
        """Print the JSON Schema of the fleet file."""
        output.print_json(fleet.Fleet.model_json_schema())

    def diff(self, fleet_file: str, json: bool = False) -> None:
        """Show what applying a fleet file would change."""
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
        """Replace the whole fleet, and wait until all entries use it.

        Fails if --base is given and is not the version in force.  Waits
        up to --wait seconds.

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
        """List the accepted configuration changes."""
        self.audit(kind='config', verdict='accepted', json=json)

    def audit(
        self,
        kind: str = '',
        author: str = '',
        since: int = 0,
        verdict: str = '',
        json: bool = False,
    ) -> None:
        """List all changes with author, verdict, old and new state.

        --kind is one of config, lease, map, membership, snapshot.  --since
        is the offset to begin with.
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
        """Show entries, endpoints, leases and maps, and what is stale."""
        exit_status.run_and_exit(
            lambda: inspect_module.StatusCommand(
                client=self._fleet_client()
            ).run(as_json=json)
        )

    def drain(
        self, endpoint: str, reason: str = '', json: bool = False
    ) -> None:
        """Send an endpoint no new requests; running ones finish."""
        self._member(endpoint, 'draining', reason, json)

    def undrain(
        self, endpoint: str, reason: str = '', json: bool = False
    ) -> None:
        """Send a drained endpoint requests again."""
        self._member(endpoint, 'live', reason, json)

    def explain(
        self,
        organisation: str,
        service: str,
        operation: str,
        entry: str = '',
        json: bool = False,
    ) -> None:
        """Show how an entry would route a request, rule by rule."""
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
        """Show the log lines of one request, from several processes.

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
    """Run the program."""
    fire.Fire(OperatorCommands, name='aspenfold')
