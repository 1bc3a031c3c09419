"""``aspenfold audit`` and ``history``: list the fleet's changes."""

import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import output
from aspenfold._internal.configuration import reader as reader_module

MAX_PATHS = 4
"""Paths of a configuration change that are printed."""


class AuditCommand:
    """Lists the records of the fleet stream with their verdicts."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(
        self,
        *,
        kind: str,
        author: str,
        since: int,
        verdict: str,
        as_json: bool,
    ) -> exit_status.ExitStatus:
        """Print the records that match the filters.

        ``since`` is an offset, ``author`` a part of the author's name.  An
        empty filter matches all records.
        """
        rows = [
            row
            for row in self.rows()
            if (not kind or row['kind'] == kind)
            and (not author or author in str(row['who']))
            and (not verdict or row['verdict'] == verdict)
            and row['offset'] >= since
        ]
        output.print_rows(rows, as_json=as_json)
        return exit_status.ExitStatus.OK

    def rows(self) -> list[dict[str, typing.Any]]:
        """Return one row for each record that the log still holds."""
        rows = []
        reader = reader_module.FleetReader()
        for page in self._client.read_pages():
            for record in page.records:
                before = _state_before(reader, record.body)
                single = reader_module.Page(
                    records=[record],
                    first_offset=page.first_offset,
                    next_offset=page.next_offset,
                )
                for applied in reader.apply_page(single):
                    rows.append(_row(applied, before))
        return rows


def _row(
    applied: reader_module.AppliedRecord, before: str
) -> dict[str, typing.Any]:
    body = applied.record.body
    return {
        'offset': applied.record.offset,
        'at': str(body.get('at', ''))[:23],
        'who': body.get('author', ''),
        'kind': body.get('type', ''),
        'verdict': applied.verdict.value,
        'from': before,
        'to': _state_after(applied.record.offset, body),
        'why': body.get('reason', ''),
    }


def _state_before(
    reader: reader_module.FleetReader, body: dict[str, typing.Any]
) -> str:
    """Describe what the record would change, as it is before it."""
    state = reader.state
    match body.get('type'):
        case 'config':
            return f'version {body.get("base_version")}'
        case 'lease':
            lease = state.leases.get(body['name'])
            return f'{lease.holder} ({lease.token})' if lease else 'free'
        case 'membership':
            member = state.members.get(body['endpoint'])
            return member.state if member else 'live'
        case 'map':
            current = state.maps.get(body['group'])
            return f'map {current.version}' if current else 'no map'
    return ''


def _state_after(offset: int, body: dict[str, typing.Any]) -> str:
    """Describe what the record at ``offset`` sets."""
    match body.get('type'):
        case 'config':
            return f'version {offset}: {_format_paths(body["patch"])}'
        case 'lease':
            return f'{body["name"]}: {body["holder"]} ({offset})'
        case 'membership':
            return f'{body["endpoint"]}: {body["state"]}'
        case 'map':
            return f'{body["group"]}: map {offset}'
        case 'snapshot':
            return f'state before {body["covers"]}'
    return ''


def _format_paths(operations: list[dict[str, typing.Any]]) -> str:
    paths = [str(operation['path']) for operation in operations[:MAX_PATHS]]
    if len(operations) > MAX_PATHS:
        paths.append(f'and {len(operations) - MAX_PATHS} more')
    return ', '.join(paths)
