"""``aspenfold audit`` and ``history``: who changed what, when."""

import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import output
from aspenfold._internal.configuration import reader as reader_module

MAX_PATHS = 4


class AuditCommand:
    """Folds the stream from its oldest record and prints each verdict."""

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
    ) -> exit_status.Exit:
        """Print the records that pass the filters."""
        rows = [
            row
            for row in self.rows()
            if (not kind or row['kind'] == kind)
            and (not author or author in str(row['who']))
            and (not verdict or row['verdict'] == verdict)
            and row['offset'] >= since
        ]
        output.print_rows(rows, as_json=as_json)
        return exit_status.Exit.OK

    def rows(self) -> list[dict[str, typing.Any]]:
        """Return one row for each record that the log still holds."""
        rows = []
        reading = reader_module.FleetReader()
        for page in self._client.read_pages():
            for record in page.records:
                before = _before(reading, record.body)
                single = reader_module.Page(
                    records=[record],
                    first_offset=page.first_offset,
                    next_offset=page.next_offset,
                )
                for judged in reading.apply_page(single):
                    rows.append(_row(judged, before))
        return rows


def _row(
    judged: reader_module.AppliedRecord, before: str
) -> dict[str, typing.Any]:
    body = judged.record.body
    return {
        'offset': judged.record.offset,
        'at': str(body.get('at', ''))[:23],
        'who': body.get('author', ''),
        'kind': body.get('type', ''),
        'verdict': judged.verdict.value,
        'from': before,
        'to': _after(judged.record.offset, body),
        'why': body.get('reason', ''),
    }


def _before(
    reading: reader_module.FleetReader, body: dict[str, typing.Any]
) -> str:
    state = reading.state
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
            known = state.maps.get(body['group'])
            return f'map {known.version}' if known else 'no map'
    return ''


def _after(offset: int, body: dict[str, typing.Any]) -> str:
    match body.get('type'):
        case 'config':
            return f'version {offset}: {_paths(body["patch"])}'
        case 'lease':
            return f'{body["name"]}: {body["holder"]} ({offset})'
        case 'membership':
            return f'{body["endpoint"]}: {body["state"]}'
        case 'map':
            return f'{body["group"]}: map {offset}'
        case 'snapshot':
            return f'state before {body["covers"]}'
    return ''


def _paths(steps: list[dict[str, typing.Any]]) -> str:
    paths = [str(step['path']) for step in steps[:MAX_PATHS]]
    if len(steps) > MAX_PATHS:
        paths.append(f'and {len(steps) - MAX_PATHS} more')
    return ', '.join(paths)
