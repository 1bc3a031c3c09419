"""What decisions cost, and how that grows with the system's size."""

from collections import abc
import gc
import random
import time
import tracemalloc

from aspenfold_standins import sim as sim_module
from bench import model as model_module
from bench import report

from aspenfold._internal.calls import call as call_module
from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.configuration import patch
from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import fleet
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal.routing import subset

CALLS = 2000
TODAY = 19
SIZES = (TODAY, 200, 2000, 12_000)
ENTRIES = 410
ZONES = 16
ORGANISATIONS = 4600


def _kernel(
    workers: int, entries: int, zones: int
) -> entry_kernel.EntryKernel:
    model = model_module.Model(seed=1, entries=1, endpoints=1)
    kernel = model.entries[0]
    listed = [
        hosts.Host.model_validate(
            {
                'name': f'worker-{n}',
                'availability_zone': f'zone-{n % zones}',
                'role': 'endpoint',
                'address': '127.0.0.1',
                'port': 1,
                'service': model_module.SERVICE,
            }
        )
        for n in range(workers)
    ]
    listed += [
        hosts.Host.model_validate(
            {
                'name': f'entry-{n}',
                'availability_zone': f'zone-{n % zones}',
                'role': 'entry',
                'address': '127.0.0.1',
                'port': 1,
            }
        )
        for n in range(entries)
    ]
    kernel.view = type(kernel.view)(owner='entry-0', zone='zone-0')
    kernel.on_host_list(hosts.HostList(version=2, hosts=listed))
    for known in kernel.view.watched():
        kernel.view.update_report(
            known.name, 'i', frames.Load(capacity=10**6), sim_module.START
        )
    return kernel


def _cost_us(kernel: entry_kernel.EntryKernel) -> float:
    """Return the processor time of one call's decisions, best of five."""
    best = float('inf')
    for _ in range(5):
        gc.collect()
        began = time.process_time()
        for number in range(CALLS):
            _one_call(kernel, number)
        best = min(best, (time.process_time() - began) / CALLS * 1e6)
    return best


def _one_call(kernel: entry_kernel.EntryKernel, number: int) -> None:
    now = sim_module.START
    call = call_module.Call(
        call_id=f'c{number}',
        organisation='org-0',
        service=model_module.SERVICE,
        operation='run',
        priority=fleet.Priority.INTERACTIVE,
        repeatable=True,
        streamed=False,
        body=b'{}',
        deadline=now + 1000 * sim_module.MILLISECOND,
        received_at=now,
    )
    (opened,) = kernel.submit(call, now)
    request = opened.request  # type: ignore[union-attr]
    digest = frames.ItemDigest()
    digest.add(b'x')
    bodies: tuple[frames.Body, ...] = (
        frames.Head(status=200, content_type='x'),
        frames.Items(first=0, items=(b'x',)),
        frames.End(total=1, digest=digest.value()),
    )
    for body in bodies:
        frame = frames.Frame(
            attempt_id=request.attempt_id,
            load=frames.Load(capacity=10**6),
            body=body,
        )
        kernel.on_frame(opened.stream_id, frame, now)  # type: ignore[union-attr]


@report.measure('decision-cost')
def decision_cost(seed: int) -> list[report.Row]:
    """Processor time and memory by number of workers."""
    rows = []
    costs = {}
    for workers in SIZES:
        tracemalloc.start()
        entries = ENTRIES if workers > TODAY else 8
        kernel = _kernel(workers, entries, ZONES if workers > TODAY else 3)
        memory = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        costs[workers] = _cost_us(kernel)
        variant = f'{workers} workers'
        rows.append(
            report.Row(
                figure='entry kernel, us a call',
                variant=variant,
                value=costs[workers],
            )
        )
        rows.append(
            report.Row(
                figure='entry kernel, MB of members',
                variant=variant,
                value=memory,
            )
        )
        interval = kernel.view.report_interval().total_seconds()
        watched = len(kernel.view.watched())
        rows.append(
            report.Row(
                figure='endpoints watched',
                variant=variant,
                value=float(watched),
            )
        )
        rows.append(
            report.Row(
                figure='seconds between reports',
                variant=variant,
                value=interval,
            )
        )
    growth = costs[SIZES[-1]] / costs[SIZES[1]]
    rows.append(
        report.Row(
            figure='us a call, 12,000 / 200 workers',
            variant='bounded subset',
            value=growth,
            aim='<= log',
            met=growth <= 1.8,
        )
    )
    return rows


@report.measure('subset')
def subsets(seed: int) -> list[report.Row]:
    """Evenness and churn of dealt and of rendezvous subsets."""
    names = [f'worker-{n}' for n in range(750)]
    owners = [f'entry-{n}' for n in range(26)]
    size = 64
    rows = []
    for name, choose in (('dealt', _dealt), ('rendezvous', _picked)):
        counts = dict.fromkeys(names, 0)
        before = {o: set(choose(o, owners, names, size)) for o in owners}
        for chosen in before.values():
            for worker in chosen:
                counts[worker] += 1
        fewer = owners[1:]
        moved = sum(
            len(set(choose(o, fewer, names, size)) - before[o]) for o in fewer
        )
        rows.append(
            report.Row(
                figure='workers watched by no entry, of 750',
                variant=name,
                value=float(sum(c == 0 for c in counts.values())),
                aim='0',
                met=all(counts.values()),
            )
        )
        rows.append(
            report.Row(
                figure='most watched / mean',
                variant=name,
                value=max(counts.values()) * 750 / sum(counts.values()),
            )
        )
        rows.append(
            report.Row(
                figure='share of a subset changed by a lost entry',
                variant=name,
                value=moved / (len(fewer) * size),
            )
        )
    return rows


def _dealt(
    owner: str, owners: list[str], names: list[str], size: int
) -> abc.Iterable[str]:
    return subset.assign(owner, owners, names, size)


def _picked(
    owner: str, owners: list[str], names: list[str], size: int
) -> abc.Iterable[str]:
    return subset.select(owner, names, size)


@report.measure('configuration')
def configuration(seed: int) -> list[report.Row]:
    """Folding one change in a fleet of 10 and of 4,600 organisations."""
    rows = []
    for count in (10, ORGANISATIONS):
        document = _fleet_of(count)
        state = state_module.FleetState()
        state.set_document(1, document, fleet.Fleet.model_validate(document))
        changed = {**document, 'name': 'changed'}
        began = time.process_time()
        steps = patch.diff(document, changed)
        differ = time.process_time() - began
        record = records.ConfigChange(
            id='x',
            author='x',
            at=sim_module.START,
            base_version=1,
            digest=patch.digest(changed),
            patch=steps,
        )
        body = record.model_dump(mode='json')
        began = time.process_time()
        verdict = reducer.apply_record(state, 2, body)
        folded = time.process_time() - began
        assert verdict is reducer.Verdict.ACCEPTED
        variant = f'{count} organisations'
        rows += [
            report.Row(
                figure='ms to fold one change',
                variant=variant,
                value=folded * 1000,
            ),
            report.Row(
                figure='ms to diff (operator)',
                variant=variant,
                value=differ * 1000,
            ),
            report.Row(
                figure='bytes of one change on the log',
                variant=variant,
                value=float(len(record.model_dump_json())),
            ),
        ]
    return rows


def _fleet_of(organisations: int) -> patch.Document:
    rng = random.Random(1)
    model = model_module.Model(
        seed=1,
        entries=1,
        endpoints=1,
        organisations=[
            model_module.organisation(f'org-{n}', rng.choice((1.0, 8.0)))
            for n in range(organisations)
        ],
    )
    document: patch.Document = model.entries[0].fleet_reader.state.document
    return document
