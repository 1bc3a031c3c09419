"""``aspenfold-plan``: operators' plans in the platform's store.

Nothing here writes: operators publish plans by the platform's own means.
Keys are counted, never printed.
"""

from collections import abc
import dataclasses
import datetime
import pathlib
import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions
from aspenfold._internal.gateway import leadership
from aspenfold._internal.gateway import peer_discovery
from aspenfold._internal.gateway import plan as plan_module
from aspenfold._internal.gateway import plan_index
from aspenfold._internal.gateway import ports

Plan = plan_module.Plan

Row = dict[str, object]

NO_WAIT = datetime.timedelta(0)

MAX_READ_ATTEMPTS = 3
"""Reads of a history that is trimmed meanwhile."""


def load_plan(
    path: str, decode: abc.Callable[[bytes], plan_module.Plan]
) -> Plan:
    """Read a plan from a file, or raise a coded error."""
    try:
        return decode(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise _invalid(f'cannot read {path}: {exc.strerror}') from exc
    except ValueError as exc:
        raise _invalid(f'{path} is not a plan: {exc}') from exc


def _invalid(detail: str) -> exceptions.ConfigError:
    return exceptions.ConfigError(
        exceptions.Failure(
            code=exceptions.Code.CONFIG_INVALID,
            detail=detail,
            field='plan_file',
            remedy='give a file with one plan, as it stands in the store',
        )
    )


# -- validate ----------------------------------------------------------------


def find_errors(plan: Plan) -> list[Row]:
    """Return what is wrong across fields, all of it at once."""
    found: list[Row] = []
    seen: set[tuple[str, str]] = set()
    for route in plan.routes:
        where = f'route {route.host}{route.path_prefix}'
        if (route.host, route.path_prefix) in seen:
            found.append(_mistake(where, 'stands twice'))
        seen.add((route.host, route.path_prefix))
        found += _route_mistakes(where, route, plan)
    holders: dict[str, str] = {}
    for organisation in plan.organisations:
        for key in organisation.keys:
            other = holders.setdefault(key, organisation.name)
            if other != organisation.name:
                where = f'organisation {organisation.name}'
                found.append(_mistake(where, f'shares a key with {other}'))
    return found


def _route_mistakes(
    where: str, route: plan_module.Route, plan: Plan
) -> abc.Iterator[Row]:
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        yield _mistake(where, 'its prefix does not begin and end with /')
    for target in route.targets:
        if target.service not in plan.services:
            yield _mistake(where, f'no service is named {target.service!r}')
    if not any(target.weight for target in route.targets):
        yield _mistake(where, 'all its weights are 0')
    if route.objective > route.timeout:
        yield _mistake(where, 'its objective is longer than its timeout')


def _mistake(where: str, what: str) -> Row:
    return {'where': where, 'mistake': what}


class ValidateCommand:
    """Checks a plan's fields, and what they say of each other."""

    def run(self, plan: Plan, *, as_json: bool) -> exit_status.Exit:
        """Print all mistakes, or what the plan holds."""
        found = find_errors(plan)
        if found:
            output.print_rows(found, as_json=as_json)
            return exit_status.Exit.USAGE
        output.print_rows([_summary(plan)], as_json=as_json)
        return exit_status.Exit.OK


def _summary(plan: Plan) -> Row:
    return {
        'version': plan.version,
        'routes': len(plan.routes),
        'services': len(plan.services),
        'organisations': len(plan.organisations),
        'keys': sum(len(o.keys) for o in plan.organisations),
    }


# -- explain -----------------------------------------------------------------


class ExplainCommand:
    """Says which route a request takes, and why."""

    def run(
        self, plan: Plan, host: str, path: str, *, as_json: bool
    ) -> exit_status.Exit:
        """Print the routes of the host that match, the one used first."""
        chosen = plan_index.PlanIndex(plan=plan).find_route(host, path)
        matching = [
            route
            for route in plan.routes
            if route.host == host.lower()
            and path.startswith(route.path_prefix)
        ]
        matching.sort(key=lambda r: len(r.path_prefix), reverse=True)
        rows = [_route_row(route, route is chosen) for route in matching]
        output.print_rows(rows, as_json=as_json)
        return (
            exit_status.Exit.OK
            if chosen is not None
            else exit_status.Exit.FAILED
        )


def _route_row(route: plan_module.Route, used: bool) -> Row:
    targets = [f'{t.service}:{t.weight}' for t in route.targets]
    return {
        'used': used,
        'prefix': route.path_prefix,
        'kind': route.kind.value,
        'services': ' '.join(targets),
        'attempts': route.max_attempts,
        'timeout': f'{route.timeout.total_seconds():g} s',
        'objective': f'{route.objective.total_seconds():g} s',
        'anonymous': route.anonymous,
        'resumable': route.resumable,
    }


# -- audit -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredPlan:
    """A plan, and the offset of its record."""

    offset: int
    plan: Plan


async def read_history(platform: ports.Platform) -> list[StoredPlan]:
    """Return all plans that the store still has, oldest first."""
    start = 0
    for _ in range(MAX_READ_ATTEMPTS):
        try:
            return await _read_from(platform, start)
        except ports.HistoryTrimmed as exc:
            start = exc.first
    page = await platform.store.newest(platform.plan_topic)
    return list(_versions(platform, page))


async def _read_from(platform: ports.Platform, start: int) -> list[StoredPlan]:
    found: list[StoredPlan] = []
    while True:
        page = await platform.store.read(platform.plan_topic, start, NO_WAIT)
        if not page.records:
            return found
        found += _versions(platform, page)
        start = page.records[-1].offset + 1


def _versions(
    platform: ports.Platform, page: ports.Page
) -> abc.Iterator[StoredPlan]:
    for record in page.records:
        if record.key == platform.plan_key and record.value:
            plan = platform.decode_plan(record.value)
            yield StoredPlan(offset=record.offset, plan=plan)


def describe_changes(old: Plan, new: Plan) -> list[str]:
    """Return what differs between two plans, a line each."""
    found = _named_changes(
        'route',
        {f'{r.host}{r.path_prefix}': r for r in old.routes},
        {f'{r.host}{r.path_prefix}': r for r in new.routes},
    )
    found += _named_changes('service', old.services, new.services)
    found += _key_changes(old, new)
    if old.limits != new.limits:
        found.append(f'limits changed: {_differing(old.limits, new.limits)}')
    return found


def _named_changes(
    what: str, old: abc.Mapping[str, object], new: abc.Mapping[str, object]
) -> list[str]:
    found = [f'{what} {name} added' for name in new if name not in old]
    found += [f'{what} {name} removed' for name in old if name not in new]
    for name, value in new.items():
        if name in old and old[name] != value:
            found.append(
                f'{what} {name} changed: {_differing(old[name], value)}'
            )
    return found


def _differing(old: typing.Any, new: typing.Any) -> str:
    """Return the fields of two equal data classes that differ."""
    return ', '.join(
        f'{field.name} {getattr(old, field.name)}'
        f' to {getattr(new, field.name)}'
        for field in dataclasses.fields(new)
        if getattr(old, field.name) != getattr(new, field.name)
    )


def _key_changes(old: Plan, new: Plan) -> list[str]:
    before = {o.name: set(o.keys) for o in old.organisations}
    after = {o.name: set(o.keys) for o in new.organisations}
    found = []
    for name in sorted(before.keys() | after.keys()):
        added = len(after.get(name, set()) - before.get(name, set()))
        taken = len(before.get(name, set()) - after.get(name, set()))
        if added or taken:
            found.append(
                f'organisation {name}: {added} keys added, {taken} taken'
            )
    return found


class AuditCommand:
    """Says what each accepted plan changed."""

    def run(
        self, versions: abc.Sequence[StoredPlan], *, as_json: bool
    ) -> exit_status.Exit:
        """Print a row for each change, the oldest kept plan first."""
        rows: list[Row] = []
        before: Plan | None = None
        for version in versions:
            lines = ['the oldest plan that the store has']
            if before is not None:
                lines = describe_changes(before, version.plan) or ['nothing']
            rows += [
                {
                    'offset': version.offset,
                    'version': version.plan.version,
                    'change': line,
                }
                for line in lines
            ]
            before = version.plan
        output.print_rows(rows, as_json=as_json)
        return exit_status.Exit.OK


# -- status ------------------------------------------------------------------


async def read_status(platform: ports.Platform) -> dict[str, list[Row]]:
    """Return what the store has: plan, endpoints, gateways, lease."""
    store = platform.store
    plans = await store.newest(platform.plan_topic)
    listings = await store.newest(platform.endpoint_topic)
    hosts = await store.newest(peer_discovery.TOPIC)
    lease = await store.newest(leadership.LEASE_TOPIC)
    return {
        'plan': [
            {'offset': v.offset, **_summary(v.plan)}
            for v in _versions(platform, plans)
        ],
        'endpoints': [
            _endpoint_row(platform, record)
            for record in listings.records
            if record.value
        ],
        'gateways': [_text_row('gateway', r) for r in hosts.records],
        'leases': [_text_row('lease', r) for r in lease.records],
    }


def _endpoint_row(platform: ports.Platform, record: ports.Record) -> Row:
    found = platform.decode_listing(record.key, record.value or b'')
    return {
        'endpoint': found.name,
        'service': found.service,
        'zone': found.zone,
        'address': f'{found.host}:{found.port}',
        'capacity': found.capacity,
        'state': 'leaving' if found.draining else 'live',
        'offset': record.offset,
    }


def _text_row(what: str, record: ports.Record) -> Row:
    value = (record.value or b'').decode('utf-8', 'replace')
    return {what: record.key, 'value': value, 'offset': record.offset}


class StatusCommand:
    """One screen: what the store has."""

    def run(
        self, parts: dict[str, list[Row]], *, as_json: bool
    ) -> exit_status.Exit:
        """Print each part."""
        if as_json:
            output.print_json(parts)
            return exit_status.Exit.OK
        for name, rows in parts.items():
            print(name.upper())
            output.print_rows(rows, as_json=False)
            print()
        return exit_status.Exit.OK
