"""Reports for operators: an entry's status, and how it routes a request."""

import datetime
import typing

from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.models import hosts
from aspenfold._internal.models import settings

MAX_REPORT_AGE = datetime.timedelta(seconds=3)
"""Reports that are older are shown as stale."""


class Entry(typing.Protocol):
    """The part of the entry process that the reports use."""

    name: str
    cfg: settings.EntrySettings
    kernel: entry_kernel.EntryKernel
    clock: clock_module.Clock

    @property
    def host_list(self) -> hosts.HostList:
        """The most recently read host list."""


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
            _endpoint_status(entry, endpoint, now)
            for endpoint in sorted(
                entry.kernel.view.endpoints(),
                key=lambda endpoint: endpoint.name,
            )
        ],
    }


def _endpoint_status(
    entry: Entry, endpoint: endpoint_module.Endpoint, now: datetime.datetime
) -> dict[str, typing.Any]:
    age = None
    if endpoint.last_report_at is not None:
        age = round((now - endpoint.last_report_at).total_seconds(), 3)
    return {
        'name': endpoint.name,
        'service': endpoint.host.service,
        'availability_zone': endpoint.zone,
        'incarnation': endpoint.incarnation,
        'leaving': entry.kernel.view.is_leaving(endpoint.name),
        'pressure': round(endpoint.pressure, 3),
        'in_flight_here': endpoint.in_flight,
        'reported_seconds_ago': age,
        'stale': age is None or age > MAX_REPORT_AGE.total_seconds(),
        'group': endpoint.host.group,
        'rank': endpoint.host.rank,
        'map_version': endpoint.map_version,
        'map_in_use': endpoint.map_in_use,
    }


def explain(
    entry: Entry, body: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return which rule matches a request and which endpoints may get it.

    ``body`` has the request's organisation, service and operation.
    """
    organisation = str(body.get('organisation', ''))
    service = str(body.get('service', ''))
    operation = str(body.get('operation', ''))
    fleet = entry.kernel.fleet
    if fleet is None:
        return {'error': 'this entry has no configuration yet'}
    rules = []
    matched = None
    for number, rule in enumerate(fleet.rules):
        matches = rule.matches(organisation, service, operation)
        rules.append(
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
        'rules': rules,
        'priority': matched.priority.value if matched else None,
        'policies': _policies(entry, service),
        'endpoints': [
            _endpoint_routing(entry, endpoint, endpoint.name in routable)
            for endpoint in entry.kernel.view.endpoints()
            if endpoint.host.service == service
        ],
    }


def _policies(entry: Entry, service: str) -> dict[str, str]:
    fleet = entry.kernel.fleet
    service_config = fleet.service(service) if fleet else None
    return service_config.policies.model_dump() if service_config else {}


def _endpoint_routing(
    entry: Entry, endpoint: endpoint_module.Endpoint, routable: bool
) -> dict[str, typing.Any]:
    if routable:
        reason = 'accepts requests'
    elif entry.kernel.view.is_leaving(endpoint.name):
        reason = 'leaving'
    elif endpoint.last_report_at is None:
        reason = 'this entry has received no report'
    else:
        reason = 'unresponsive or ejected'
    return {
        'name': endpoint.name,
        'availability_zone': endpoint.zone,
        'own_zone': endpoint.zone == entry.cfg.availability_zone,
        'pressure': round(endpoint.pressure, 3),
        'routable': routable,
        'reason': reason,
    }
