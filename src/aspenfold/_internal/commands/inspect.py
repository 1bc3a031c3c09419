"""``aspenfold show``, ``status`` and ``explain``."""

import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions


class ShowCommand:
    """Prints the fleet document in force."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(self) -> exit_status.ExitStatus:
        """Print the document; raises ConfigError if there is none yet."""
        self._client.catch_up()
        if not self._client.state.version:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.NO_FLEET,
                    detail='no fleet has been applied yet',
                    remedy='run "aspenfold apply FLEET.json"',
                )
            )
        output.print_json(self._client.state.document)
        return exit_status.ExitStatus.OK


class StatusCommand:
    """Prints the entries, and the fleet as the most current one sees it."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(self, *, as_json: bool) -> exit_status.ExitStatus:
        """Print the status; ``UNREACHABLE`` if an entry gives none."""
        reports = {
            host.name: self._client.fetch_status(host)
            for host in self._client.list_entries()
        }
        if as_json:
            output.print_json(reports)
        else:
            _print_reports(reports)
        if any(report is None for report in reports.values()):
            return exit_status.ExitStatus.UNREACHABLE
        return exit_status.ExitStatus.OK


JsonObject = dict[str, typing.Any]


def _print_reports(reports: dict[str, JsonObject | None]) -> None:
    print('ENTRIES')
    output.print_rows(
        [_entry_row(name, report) for name, report in reports.items()],
        as_json=False,
    )
    received = [report for report in reports.values() if report]
    if not received:
        return
    latest = max(received, key=lambda report: report['next_offset'])
    print(f'\nENDPOINTS (seen by {latest["entry"]})')
    output.print_rows(
        [_endpoint_row(e) for e in latest['endpoints']], as_json=False
    )
    print('\nLEASES')
    leases = [{'lease': k, **v} for k, v in latest['leases'].items()]
    output.print_rows(leases, as_json=False)
    print('\nMAPS')
    maps = [{'group': k, 'map': v} for k, v in latest['maps'].items()]
    output.print_rows(maps, as_json=False)


def _entry_row(name: str, report: JsonObject | None) -> JsonObject:
    if report is None:
        return {
            'entry': name,
            'zone': None,
            'version': None,
            'state': 'does not respond',
            'in flight': None,
        }
    state = 'in force' if report['log_up'] else 'stale: cannot reach the log'
    if report['draining']:
        state = 'draining'
    return {
        'entry': name,
        'zone': report['availability_zone'],
        'version': report['version'],
        'state': state,
        'in flight': report['in_flight'],
    }


def _endpoint_row(endpoint: JsonObject) -> JsonObject:
    state = 'leaving' if endpoint['leaving'] else 'live'
    if endpoint['stale']:
        state += ', no recent report'
    return {
        'endpoint': endpoint['name'],
        'zone': endpoint['availability_zone'],
        'service': endpoint['service'],
        'state': state,
        'pressure': endpoint['pressure'],
        'map': endpoint['map_in_use'] or None,
    }


class ExplainCommand:
    """Prints how an entry would route a request."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(
        self,
        organisation: str,
        service: str,
        operation: str,
        *,
        entry: str,
        as_json: bool,
    ) -> exit_status.ExitStatus:
        """Print the rules that were tried and the endpoints.

        Uses the first entry if ``entry`` is empty.  Raises ConfigError if
        there is no entry of that name.
        """
        hosts = self._client.list_entries()
        candidates = [h for h in hosts if not entry or h.name == entry]
        if not candidates:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.NOT_FOUND,
                    detail=f'there is no entry {entry!r}',
                    field='entry',
                    remedy=f'use one of {[h.name for h in hosts]}',
                )
            )
        explanation = self._client.fetch_explanation(
            candidates[0],
            {
                'organisation': organisation,
                'service': service,
                'operation': operation,
            },
        )
        if explanation is None:
            print(f'{candidates[0].name} does not respond')
            return exit_status.ExitStatus.UNREACHABLE
        if as_json:
            output.print_json(explanation)
            return exit_status.ExitStatus.OK
        output.print_rows(explanation['rules'], as_json=False)
        print(
            f'\npriority: {explanation["priority"]}; '
            f'{explanation["policies"]}\n'
        )
        output.print_rows(explanation['endpoints'], as_json=False)
        return exit_status.ExitStatus.OK
