"""CPU time of the gateway's logging, routing and map planning."""

import datetime
import random
import time

import eliot

from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import greedy
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet
from aspenfold._internal.observability import events
from aspenfold._internal.observability import output
from aspenfold._internal import routing
from aspenfold._internal.routing import policy
from bench import report

PLUGINS = (descent, greedy, routing)

LINE_COUNT = 20_000
LINES_PER_REQUEST = 2
"""The start and end of an attempt; each retry adds two."""

CHOICE_COUNT = 2_000
EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
PRICE = fleet.MapPrice(skew=1.0, moved_weights=5.0, skew_bound=1.1)
SHAPES = (
    planner.MapShape(
        ranks=16, experts=64, slots_per_rank=5, max_new_experts=2
    ),
    planner.MapShape(
        ranks=72, experts=144, slots_per_rank=3, max_new_experts=2
    ),
    planner.MapShape(
        ranks=128, experts=256, slots_per_rank=3, max_new_experts=2
    ),
)
DEMAND_COUNT = 5


@report.benchmark('gateway-logs')
def logs(seed: int) -> list[report.Row]:
    """CPU time of a log line that is written, and of one that is dropped."""
    rows = []
    for variant, tick in (('written', 1.0), ('left out', 0.0)):
        now = [0.0]
        destination = output.LogDestination(
            write=len, monotonic=lambda now=now: now[0]
        )
        eliot.add_destinations(destination)
        started_at = time.process_time()
        for number in range(LINE_COUNT):
            now[0] += tick
            events.emit(
                events.Event.CALL_FINISHED,
                call='9c41d07be2a35f68',
                service='s',
                endpoint='i-7fe45397bd',
                attempts=1,
                age_ms=number,
                plan=7,
                status=200,
            )
        elapsed = time.process_time() - started_at
        eliot.remove_destination(destination)
        rows.append(
            report.Row(
                figure='us a log line',
                variant=variant,
                value=elapsed / LINE_COUNT * 1e6,
            )
        )
    return rows


@report.benchmark('gateway-choice')
def choice(seed: int) -> list[report.Row]:
    """CPU time of choosing among all endpoints of a service."""
    rows = []
    for count in (16, 72, 750):
        endpoints = directory.Directory()
        for number in range(count):
            endpoints.update_listing(
                endpoint_listing.Listing(
                    name=f'w-{number}',
                    service='s',
                    host='h',
                    port=1,
                    zone=f'z-{number % 3}',
                    capacity=6,
                    draining=False,
                )
            )
        routing_policy: policy.RoutingPolicy = registry.create(
            policy.KIND, 'least-loaded', zone='z-0', rng=random.Random(seed)
        )
        started_at = time.process_time()
        for _ in range(CHOICE_COUNT):
            routing_policy.choose(endpoints.routable('s', EPOCH), '', True)
        elapsed = time.process_time() - started_at
        rows.append(
            report.Row(
                figure='us a choice',
                variant=f'{count} endpoints',
                value=elapsed / CHOICE_COUNT * 1e6,
            )
        )
    return rows


@report.benchmark('gateway-maps')
def maps(seed: int) -> list[report.Row]:
    """One bounded change of the first map, for several random loads."""
    rows = []
    for shape in SHAPES:
        for name in ('descent', 'greedy'):
            rows += _plan_changes(seed, shape, name)
    return rows


def _plan_changes(
    seed: int, shape: planner.MapShape, name: str
) -> list[report.Row]:
    map_planner: planner.MapPlanner = registry.create(planner.KIND, name)
    # The first map leaves slots free, which 'greedy' never fills.
    first_map = [
        list(range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    ]
    total_skew = total_moved = 0.0
    started_at = time.process_time()
    for number in range(DEMAND_COUNT):
        load = [1 / (i + 1) ** 1.1 for i in range(shape.experts)]
        random.Random(seed + number).shuffle(load)
        plan = map_planner.plan(shape, load, first_map, PRICE)
        total_skew += planner.skew(plan, load)
        total_moved += planner.moved_weights(first_map, plan)
    elapsed = time.process_time() - started_at
    label = f'{shape.ranks}x{shape.experts} {name}'
    return [
        report.Row(
            figure='skew', variant=label, value=total_skew / DEMAND_COUNT
        ),
        report.Row(
            figure='new experts',
            variant=label,
            value=total_moved / DEMAND_COUNT,
        ),
        report.Row(
            figure='ms a set',
            variant=label,
            value=elapsed / DEMAND_COUNT * 1e3,
        ),
    ]
