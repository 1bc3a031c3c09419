"""What an entry tells operators: its status, and where a call would go."""

import datetime
import typing

from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.models import hosts
from aspenfold._internal.models import settings

MAX_REPORT_AGE = datetime.timedelta(seconds=3)


class Entry(typing.Protocol):
    """What the report needs of the entry."""

    name: str
    cfg: settings.EntrySettings
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock

    @property
    def host_list(self) -> hosts.HostList:
        """The host list as last read."""


def report(entry: Entry) -> dict[str, typing.Any]:
    """Return the entry's view of the system as a JSON document."""
    state = entry.kernel.fleet_reader.state
    now = entry.clock.now()
    return {
        'entry': entry.name,
        'availability_zone': entry.cfg.availability_zone,
        'version': state.version,
        'next_offset': state.next_offset,
        'log_up': entry.kernel.log_up,
        'recovering': entry.kernel.fleet_reader.awaiting_snapshot,
        'draining': entry.kernel.draining,
        'in_flight': entry.kernel.in_flight,
        'answered': dict(entry.kernel.result_counts),
        'host_list_version': entry.host_list.version,
        'leases': {
            name: {'holder': lease.holder, 'token': lease.token}
            for name, lease in state.leases.items()
        },
        'maps': {name: m.version for name, m in state.maps.items()},
        'endpoints': [
            _endpoint(entry, known, now)
            for known in sorted(
                entry.kernel.view.endpoints(), key=lambda known: known.name
            )
        ],
    }


def _endpoint(
    entry: Entry, known: endpoint_module.Endpoint, now: datetime.datetime
) -> dict[str, typing.Any]:
    age = None
    if known.last_report_at is not None:
        age = round((now - known.last_report_at).total_seconds(), 3)
    return {
        'name': known.name,
        'service': known.host.service,
        'availability_zone': known.zone,
        'incarnation': known.incarnation,
        'leaving': entry.kernel.view.is_leaving(known.name),
        'pressure': round(known.pressure, 3),
        'in_flight_here': known.in_flight,
        'reported_seconds_ago': age,
        'stale': age is None or age > MAX_REPORT_AGE.total_seconds(),
        'group': known.host.group,
        'rank': known.host.rank,
        'map_version': known.map_version,
        'map_in_use': known.map_in_use,
    }


def explain(
    entry: Entry, body: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return, rule by rule, where a request would go and why."""
    organisation = str(body.get('organisation', ''))
    service = str(body.get('service', ''))
    operation = str(body.get('operation', ''))
    fleet = entry.kernel.fleet
    if fleet is None:
        return {'error': 'this entry has no configuration yet'}
    steps = []
    matched = None
    for number, rule in enumerate(fleet.rules):
        matches = rule.matches(organisation, service, operation)
        steps.append(
            {
                'rule': number,
                'organisation': rule.organisation,
                'service': rule.service,
                'operation': rule.operation,
                'priority': rule.priority.value,
                'matches': matches,
            }
        )
        if matches:
            matched = rule
            break
    now = entry.clock.now()
    routable = {c.name for c in entry.kernel.view.routable(service, now)}
    return {
        'rules': steps,
        'priority': matched.priority.value if matched else None,
        'policies': _policies(entry, service),
        'endpoints': [
            _candidate(entry, known, known.name in routable)
            for known in entry.kernel.view.endpoints()
            if known.host.service == service
        ],
    }


def _policies(entry: Entry, service: str) -> dict[str, str]:
    fleet = entry.kernel.fleet
    found = fleet.service(service) if fleet else None
    return found.policies.model_dump() if found else {}


def _candidate(
    entry: Entry, known: endpoint_module.Endpoint, routable: bool
) -> dict[str, typing.Any]:
    if routable:
        reason = 'takes work'
    elif entry.kernel.view.is_leaving(known.name):
        reason = 'leaving'
    elif known.last_report_at is None:
        reason = 'never reported to this entry'
    else:
        reason = 'silent or ejected'
    return {
        'name': known.name,
        'availability_zone': known.zone,
        'own_zone': known.zone == entry.cfg.availability_zone,
        'pressure': round(known.pressure, 3),
        'routable': routable,
        'reason': reason,
    }
