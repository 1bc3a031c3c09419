"""The gateway's own costs, without sockets: logs, choices, map plans."""

import datetime
import random
import time

import eliot

from aspenfold._internal.expertmaps import descent
from aspenfold._internal.expertmaps import greedy
from aspenfold._internal.expertmaps import planner
from aspenfold._internal.gateway import directory
from aspenfold._internal.kernel import registry
from aspenfold._internal.models import fleet
from aspenfold._internal.observability import events
from aspenfold._internal.observability import output
from aspenfold._internal import routing
from aspenfold._internal.routing import policy
from bench import report

PLUGINS = (descent, greedy, routing)

LINES = 20_000
LINES_A_REQUEST = 2
"""An attempt and its end; each further attempt adds two."""

CHOICES = 2_000
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
DEMANDS = 5


@report.measure('gateway-logs')
def logs(seed: int) -> list[report.Row]:
    """Processor time of one line, written, and left out."""
    rows = []
    for variant, tick in (('written', 1.0), ('left out', 0.0)):
        now = [0.0]
        destination = output.LogDestination(
            write=len, monotonic=lambda now=now: now[0]
        )
        eliot.add_destinations(destination)
        before = time.process_time()
        for number in range(LINES):
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
        taken = time.process_time() - before
        eliot.remove_destination(destination)
        rows.append(
            report.Row(
                figure='us a log line',
                variant=variant,
                value=taken / LINES * 1e6,
            )
        )
    return rows


@report.measure('gateway-choice')
def choice(seed: int) -> list[report.Row]:
    """Processor time of choosing among all endpoints of a service."""
    rows = []
    for count in (16, 72, 750):
        known = directory.Directory()
        for number in range(count):
            known.update_listing(
                directory.Listing(
                    name=f'w-{number}',
                    service='s',
                    host='h',
                    port=1,
                    zone=f'z-{number % 3}',
                    capacity=6,
                    draining=False,
                )
            )
        chooser: policy.RoutingPolicy = registry.create(
            policy.KIND, 'least-loaded', zone='z-0', rng=random.Random(seed)
        )
        before = time.process_time()
        for _ in range(CHOICES):
            chooser.choose(known.routable('s', EPOCH), '', True)
        taken = time.process_time() - before
        rows.append(
            report.Row(
                figure='us a choice',
                variant=f'{count} endpoints',
                value=taken / CHOICES * 1e6,
            )
        )
    return rows


@report.measure('gateway-maps')
def maps(seed: int) -> list[report.Row]:
    """One bounded change from the first map, over several demands."""
    rows = []
    for shape in SHAPES:
        for name in ('descent', 'greedy'):
            rows += _changes(seed, shape, name)
    return rows


def _changes(
    seed: int, shape: planner.MapShape, name: str
) -> list[report.Row]:
    planning: planner.MapPlanner = registry.create(planner.KIND, name)
    # The first map leaves places free, which 'greedy' never fills.
    first = [
        list(range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    ]
    skew = moved = 0.0
    before = time.process_time()
    for number in range(DEMANDS):
        load = [1 / (i + 1) ** 1.1 for i in range(shape.experts)]
        random.Random(seed + number).shuffle(load)
        plan = planning.plan(shape, load, first, PRICE)
        skew += planner.skew(plan, load)
        moved += planner.moved_weights(first, plan)
    taken = time.process_time() - before
    label = f'{shape.ranks}x{shape.experts} {name}'
    return [
        report.Row(figure='skew', variant=label, value=skew / DEMANDS),
        report.Row(figure='new experts', variant=label, value=moved / DEMANDS),
        report.Row(
            figure='ms a set', variant=label, value=taken / DEMANDS * 1e3
        ),
    ]
