"""``show``, ``status`` and ``explain``: what is in force, and why."""

import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions


class ShowCommand:
    """Prints the fleet in force, or an earlier version."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(self) -> exit_status.Exit:
        """Print the whole fleet document."""
        self._client.catch_up()
        if not self._client.state.version:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.NO_FLEET,
                    detail='no fleet was applied yet',
                    remedy='run "aspenfold apply FLEET.json"',
                )
            )
        output.print_json(self._client.state.document)
        return exit_status.Exit.OK


class StatusCommand:
    """One screen: versions, endpoints, leases, maps, what is stale."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(self, *, as_json: bool) -> exit_status.Exit:
        """Ask every entry for its view."""
        reports = {
            host.name: self._client.fetch_status(host)
            for host in self._client.list_entries()
        }
        if as_json:
            output.print_json(reports)
        else:
            _print_reports(reports)
        if any(report is None for report in reports.values()):
            return exit_status.Exit.UNREACHABLE
        return exit_status.Exit.OK


Report = dict[str, typing.Any]


def _print_reports(reports: dict[str, Report | None]) -> None:
    print('ENTRIES')
    output.print_rows(
        [_entry_row(name, report) for name, report in reports.items()],
        as_json=False,
    )
    answered = [report for report in reports.values() if report]
    if not answered:
        return
    latest = max(answered, key=lambda report: report['next_offset'])
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


def _entry_row(name: str, report: Report | None) -> Report:
    if report is None:
        return {
            'entry': name,
            'zone': None,
            'version': None,
            'state': 'does not answer',
            'in flight': None,
        }
    state = 'in force' if report['log_up'] else 'cut off from the log: stale'
    if report['draining']:
        state = 'draining'
    return {
        'entry': name,
        'zone': report['availability_zone'],
        'version': report['version'],
        'state': state,
        'in flight': report['in_flight'],
    }


def _endpoint_row(endpoint: Report) -> Report:
    state = 'leaving' if endpoint['leaving'] else 'live'
    if endpoint['stale']:
        state += ', not heard from'
    return {
        'endpoint': endpoint['name'],
        'zone': endpoint['availability_zone'],
        'service': endpoint['service'],
        'state': state,
        'pressure': endpoint['pressure'],
        'map': endpoint['map_in_use'] or None,
    }


class ExplainCommand:
    """Asks an entry where a request would go, rule by rule."""

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
    ) -> exit_status.Exit:
        """Print the rules that were tried and the endpoints."""
        hosts = self._client.list_entries()
        chosen = [h for h in hosts if not entry or h.name == entry]
        if not chosen:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.NOT_FOUND,
                    detail=f'there is no entry {entry!r}',
                    field='entry',
                    remedy=f'use one of {[h.name for h in hosts]}',
                )
            )
        answer = self._client.fetch_explanation(
            chosen[0],
            {
                'organisation': organisation,
                'service': service,
                'operation': operation,
            },
        )
        if answer is None:
            print(f'{chosen[0].name} does not answer')
            return exit_status.Exit.UNREACHABLE
        if as_json:
            output.print_json(answer)
            return exit_status.Exit.OK
        output.print_rows(answer['rules'], as_json=False)
        print(f'\npriority: {answer["priority"]}; {answer["policies"]}\n')
        output.print_rows(answer['endpoints'], as_json=False)
        return exit_status.Exit.OK
