"""``aspenfold-plan``: checks plans and shows those in the store.

Never writes to the store: operators publish plans with the platform's own
tools.  Never prints the organisations' keys.
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
from aspenfold._internal.gateway import quarantine_records

Plan = plan_module.Plan

Row = dict[str, object]
"""A line of a table: a value for each column name."""

NO_WAIT = datetime.timedelta(0)

MAX_READ_ATTEMPTS = 3
"""Limit for a history that is trimmed while it is read."""


def load_plan(
    path: str, decode: abc.Callable[[bytes], plan_module.Plan]
) -> Plan:
    """Return the plan in a file.

    Raises ConfigError if the file is unreadable or not a valid plan.
    """
    try:
        return decode(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise _invalid_plan_file(
            f'cannot read {path}: {exc.strerror}'
        ) from exc
    except ValueError as exc:
        raise _invalid_plan_file(f'{path} is not a valid plan: {exc}') from exc


def _invalid_plan_file(detail: str) -> exceptions.ConfigError:
    return exceptions.ConfigError(
        exceptions.Failure(
            code=exceptions.Code.CONFIG_INVALID,
            detail=detail,
            field='plan_file',
            remedy='use a file with one plan, encoded as in the store',
        )
    )


def find_errors(plan: Plan) -> list[Row]:
    """Return a row for each error that decoding a plan cannot detect.

    These are duplicates, references to missing services, and values that
    contradict each other.
    """
    errors: list[Row] = []
    seen: set[tuple[str, str]] = set()
    for route in plan.routes:
        where = f'route {route.host}{route.path_prefix}'
        if (route.host, route.path_prefix) in seen:
            errors.append(_error_row(where, 'is defined more than once'))
        seen.add((route.host, route.path_prefix))
        errors += _route_errors(where, route, plan)
    name_by_key: dict[str, str] = {}
    for organisation in plan.organisations:
        for key in organisation.keys:
            first = name_by_key.setdefault(key, organisation.name)
            if first != organisation.name:
                where = f'organisation {organisation.name}'
                errors.append(_error_row(where, f'shares a key with {first}'))
    return errors


def _route_errors(
    where: str, route: plan_module.Route, plan: Plan
) -> abc.Iterator[Row]:
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        yield _error_row(where, 'its prefix does not begin and end with /')
    for target in route.targets:
        if target.service not in plan.services:
            yield _error_row(where, f'no service is named {target.service!r}')
    if not any(target.weight for target in route.targets):
        yield _error_row(where, 'all its weights are 0')
    if route.objective > route.timeout:
        yield _error_row(where, 'its objective is longer than its timeout')


def _error_row(where: str, message: str) -> Row:
    return {'where': where, 'mistake': message}


class ValidateCommand:
    """Checks a plan for errors across its fields."""

    def run(self, plan: Plan, *, as_json: bool) -> exit_status.ExitStatus:
        """Print all errors, or a summary if there are none."""
        errors = find_errors(plan)
        if errors:
            output.print_rows(errors, as_json=as_json)
            return exit_status.ExitStatus.USAGE
        output.print_rows([_summary_row(plan)], as_json=as_json)
        return exit_status.ExitStatus.OK


def _summary_row(plan: Plan) -> Row:
    return {
        'version': plan.version,
        'routes': len(plan.routes),
        'services': len(plan.services),
        'organisations': len(plan.organisations),
        'keys': sum(len(o.keys) for o in plan.organisations),
    }


class ExplainCommand:
    """Shows which route a request takes."""

    def run(
        self, plan: Plan, host: str, path: str, *, as_json: bool
    ) -> exit_status.ExitStatus:
        """Print the matching routes, the longest prefix first.

        Returns ``FAILED`` if no route matches.
        """
        used = plan_index.PlanIndex(plan=plan).find_route(host, path)
        matching = [
            route
            for route in plan.routes
            if route.host == host.lower()
            and path.startswith(route.path_prefix)
        ]
        matching.sort(key=lambda r: len(r.path_prefix), reverse=True)
        rows = [_route_row(route, route is used) for route in matching]
        output.print_rows(rows, as_json=as_json)
        return (
            exit_status.ExitStatus.OK
            if used is not None
            else exit_status.ExitStatus.FAILED
        )


def _route_row(route: plan_module.Route, is_used: bool) -> Row:
    targets = [f'{t.service}:{t.weight}' for t in route.targets]
    return {
        'used': is_used,
        'prefix': route.path_prefix,
        'kind': route.kind.value,
        'services': ' '.join(targets),
        'attempts': route.max_attempts,
        'timeout': f'{route.timeout.total_seconds():g} s',
        'objective': f'{route.objective.total_seconds():g} s',
        'anonymous': route.anonymous,
        'resumable': route.resumable,
    }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredPlan:
    """A plan in the store; ``offset`` is that of its record."""

    offset: int
    plan: Plan


async def read_history(platform: ports.Platform) -> list[StoredPlan]:
    """Return all plans that the store still has, oldest first.

    Returns only the newest plan if the history is repeatedly trimmed while
    it is read.
    """
    start = 0
    for _ in range(MAX_READ_ATTEMPTS):
        try:
            return await _read_from(platform, start)
        except ports.HistoryTrimmed as exc:
            start = exc.first
    page = await platform.store.newest(platform.plan_topic)
    return list(_decode_plans(platform, page))


async def _read_from(platform: ports.Platform, start: int) -> list[StoredPlan]:
    plans: list[StoredPlan] = []
    while True:
        page = await platform.store.read(platform.plan_topic, start, NO_WAIT)
        if not page.records:
            return plans
        plans += _decode_plans(platform, page)
        start = page.records[-1].offset + 1


def _decode_plans(
    platform: ports.Platform, page: ports.Page
) -> abc.Iterator[StoredPlan]:
    for record in page.records:
        if record.key == platform.plan_key and record.value:
            plan = platform.decode_plan(record.value)
            yield StoredPlan(offset=record.offset, plan=plan)


def describe_changes(old: Plan, new: Plan) -> list[str]:
    """Return a line for each difference between two plans."""
    lines = _entry_changes(
        'route',
        {f'{r.host}{r.path_prefix}': r for r in old.routes},
        {f'{r.host}{r.path_prefix}': r for r in new.routes},
    )
    lines += _entry_changes('service', old.services, new.services)
    lines += _key_changes(old, new)
    if old.limits != new.limits:
        lines.append(
            f'limits changed: {_field_changes(old.limits, new.limits)}'
        )
    return lines


def _entry_changes(
    kind: str, old: abc.Mapping[str, object], new: abc.Mapping[str, object]
) -> list[str]:
    lines = [f'{kind} {name} added' for name in new if name not in old]
    lines += [f'{kind} {name} removed' for name in old if name not in new]
    for name, value in new.items():
        if name in old and old[name] != value:
            lines.append(
                f'{kind} {name} changed: {_field_changes(old[name], value)}'
            )
    return lines


def _field_changes(old: typing.Any, new: typing.Any) -> str:
    """Format the fields that differ in two objects of one data class."""
    return ', '.join(
        f'{field.name} {getattr(old, field.name)}'
        f' to {getattr(new, field.name)}'
        for field in dataclasses.fields(new)
        if getattr(old, field.name) != getattr(new, field.name)
    )


def _key_changes(old: Plan, new: Plan) -> list[str]:
    before = {o.name: set(o.keys) for o in old.organisations}
    after = {o.name: set(o.keys) for o in new.organisations}
    lines = []
    for name in sorted(before.keys() | after.keys()):
        added = len(after.get(name, set()) - before.get(name, set()))
        removed = len(before.get(name, set()) - after.get(name, set()))
        if added or removed:
            lines.append(
                f'organisation {name}: {added} keys added, {removed} removed'
            )
    return lines


class AuditCommand:
    """Shows what each plan changed against the one before."""

    def run(
        self, plans: abc.Sequence[StoredPlan], *, as_json: bool
    ) -> exit_status.ExitStatus:
        """Print a row for each change in ``plans``, oldest first."""
        rows: list[Row] = []
        before: Plan | None = None
        for stored in plans:
            lines = ['the oldest plan that the store has']
            if before is not None:
                lines = describe_changes(before, stored.plan) or ['nothing']
            rows += [
                {
                    'offset': stored.offset,
                    'version': stored.plan.version,
                    'change': line,
                }
                for line in lines
            ]
            before = stored.plan
        output.print_rows(rows, as_json=as_json)
        return exit_status.ExitStatus.OK


async def read_status(platform: ports.Platform) -> dict[str, list[Row]]:
    """Return the newest plan, endpoints, gateways and leases."""
    store = platform.store
    plans = await store.newest(platform.plan_topic)
    listings = await store.newest(platform.endpoint_topic)
    gateways = await store.newest(peer_discovery.TOPIC)
    leases = await store.newest(leadership.LEASE_TOPIC)
    return {
        'plan': [
            {'offset': v.offset, **_summary_row(v.plan)}
            for v in _decode_plans(platform, plans)
        ],
        'endpoints': [
            _endpoint_row(platform, record)
            for record in listings.records
            if record.value
        ],
        'gateways': [
            _text_row('gateway', record)
            for record in gateways.records
            if not record.key.startswith(quarantine_records.KEY_PREFIX)
        ],
        'leases': [_text_row('lease', r) for r in leases.records],
    }


def _endpoint_row(platform: ports.Platform, record: ports.Record) -> Row:
    listing = platform.decode_listing(record.key, record.value or b'')
    return {
        'endpoint': listing.name,
        'service': listing.service,
        'zone': listing.zone,
        'address': f'{listing.host}:{listing.port}',
        'capacity': listing.capacity,
        'state': 'leaving' if listing.draining else 'live',
        'offset': record.offset,
    }


def _text_row(column: str, record: ports.Record) -> Row:
    value = (record.value or b'').decode('utf-8', 'replace')
    return {column: record.key, 'value': value, 'offset': record.offset}


class StatusCommand:
    """Prints what the store has."""

    def run(
        self, sections: dict[str, list[Row]], *, as_json: bool
    ) -> exit_status.ExitStatus:
        """Print each section under its name."""
        if as_json:
            output.print_json(sections)
            return exit_status.ExitStatus.OK
        for name, rows in sections.items():
            print(name.upper())
            output.print_rows(rows, as_json=False)
            print()
        return exit_status.ExitStatus.OK
