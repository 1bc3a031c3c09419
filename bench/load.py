"""Admission, routing, retries and rate limits in the load model."""

import bisect

from bench import model as model_module
from bench import report

DURATION_S = 20
WARM_UP_MS = 3000
INTERACTIVE_WORK_MS = 20.0
GENERATION_WORK_MS = 400.0
INTERACTIVE_LOAD_FRACTION = 0.1
GENERATION_LOAD_FRACTION = 0.3


def _surge_latencies(seed: int, policy: str, factor: float) -> list[float]:
    """Return interactive latencies in ms.

    The rate of generation calls is ``factor`` times its normal value.
    """
    model = model_module.LoadModel(seed=seed, policies={'admission': policy})
    until_ms = DURATION_S * 1000
    rng = model.sim.rng
    slots_ms = model.capacity * 1000

    def interactive() -> None:
        entry = rng.randrange(len(model.entries))
        model.send(entry, 'interactive', INTERACTIVE_WORK_MS, deadline_ms=2000)

    def generation() -> None:
        entry = rng.randrange(len(model.entries))
        work_ms = GENERATION_WORK_MS * (0.5 + rng.random())
        model.send(entry, 'generation', work_ms, deadline_ms=20_000)

    model.schedule_poisson(
        slots_ms * INTERACTIVE_LOAD_FRACTION / INTERACTIVE_WORK_MS,
        until_ms,
        interactive,
    )
    if factor:
        rate = (
            slots_ms * GENERATION_LOAD_FRACTION / GENERATION_WORK_MS * factor
        )
        model.schedule_poisson(rate, until_ms, generation)
    model.sim.run(until_ms + 20_000)
    return [
        d.latency_ms
        for d in model.completed
        if d.priority == 'interactive'
        and d.sent_ms > WARM_UP_MS
        and d.failure is None
    ]


@report.benchmark('surge')
def surge(seed: int) -> list[report.Row]:
    """Interactive latency while generation load rises tenfold."""
    baseline = model_module.quantile(
        _surge_latencies(seed, 'lanes', 1.0), 0.99
    )
    rows = []
    for policy in ('lanes', 'open'):
        surged = model_module.quantile(
            _surge_latencies(seed, policy, 10.0), 0.99
        )
        rows.append(
            report.Row(
                figure='interactive p99, surge / idle',
                variant=policy,
                value=surged / baseline,
                aim='<= 1.2',
                met=surged / baseline <= 1.2,
            )
        )
    return rows


def _simulate_overload(seed: int, policy: str) -> tuple[float, float]:
    """Return goodput / capacity, and the p99 time to a refusal in ms."""
    model = model_module.LoadModel(seed=seed, policies={'admission': policy})
    until_ms = DURATION_S * 1000
    rng = model.sim.rng
    work_ms = 200.0
    deadline_ms = 1000.0
    capacity = model.capacity * 1000 / work_ms

    def send() -> None:
        entry = rng.randrange(len(model.entries))
        model.send(entry, 'generation', work_ms, deadline_ms=deadline_ms)

    model.schedule_poisson(capacity * 3, until_ms, send)
    model.sim.run(until_ms + 5000)
    in_time = [
        d
        for d in model.completed
        if d.failure is None
        and d.sent_ms > WARM_UP_MS
        and d.latency_ms <= deadline_ms
    ]
    refused = [
        d.latency_ms
        for d in model.completed
        if d.failure is not None and d.sent_ms > WARM_UP_MS
    ]
    seconds = (until_ms - WARM_UP_MS) / 1000
    return (
        len(in_time) / seconds / capacity,
        model_module.quantile(refused, 0.99),
    )


@report.benchmark('overload')
def overload(seed: int) -> list[report.Row]:
    """Answers in time, and refusals, at three times the capacity."""
    rows = []
    for policy in ('lanes', 'open'):
        goodput, refusal = _simulate_overload(seed, policy)
        rows.append(
            report.Row(
                figure='useful answers / capacity at 3x load',
                variant=policy,
                value=goodput,
                aim='>= 0.95',
                met=goodput >= 0.95,
            )
        )
        rows.append(
            report.Row(
                figure='p99 ms to a refusal at 3x load',
                variant=policy,
                value=refusal,
                aim='0 (at once)',
                met=refusal == 0.0,
            )
        )
    return rows


def _simulate_brown_out(seed: int, policy: str) -> tuple[float, float]:
    """Return attempts per request, and the fraction that succeeds."""
    model = model_module.LoadModel(
        seed=seed, policies={'retry': policy, 'admission': 'open'}
    )
    for endpoint in model.endpoints.values():
        endpoint.failure_probability = 0.6
    until_ms = DURATION_S * 1000
    rng = model.sim.rng
    rate = model.capacity * 1000 / 50.0 * 0.3
    model.schedule_poisson(
        rate,
        until_ms,
        lambda: model.send(
            rng.randrange(len(model.entries)), 'interactive', 50.0
        ),
    )
    model.sim.run(until_ms + 5000)
    succeeded = sum(d.failure is None for d in model.completed)
    return model.attempts / len(model.completed), succeeded / len(
        model.completed
    )


@report.benchmark('brown-out')
def brown_out(seed: int) -> list[report.Row]:
    """Retry amplification while 60 % of attempts fail."""
    rows = []
    for policy in ('budget', 'naive'):
        attempts, _ = _simulate_brown_out(seed, policy)
        rows.append(
            report.Row(
                figure='attempts / requests in a brown-out',
                variant=policy,
                value=attempts,
                aim='<= 1.1',
                met=attempts <= 1.1,
            )
        )
    return rows


def _routing_latencies(seed: int, policy: str, load: float) -> list[float]:
    """Return the latencies, in ms, of calls with uneven work."""
    model = model_module.LoadModel(
        seed=seed,
        endpoints=12,
        policies={'routing': policy, 'admission': 'open'},
    )
    until_ms = DURATION_S * 1000
    rng = model.sim.rng
    mean_work_ms = 100.0
    rate = model.capacity * 1000 / mean_work_ms * load
    model.schedule_poisson(
        rate,
        until_ms,
        lambda: model.send(
            rng.randrange(len(model.entries)),
            'generation',
            rng.expovariate(1 / mean_work_ms),
            deadline_ms=60_000,
        ),
    )
    model.sim.run(until_ms + 30_000)
    return [d.latency_ms for d in model.completed if d.sent_ms > WARM_UP_MS]


@report.benchmark('routing')
def routing(seed: int) -> list[report.Row]:
    """Latency at 80 % load relative to 5 % load, per policy."""
    rows = []
    for policy in ('two-choices', 'round-robin', 'random'):
        light = model_module.quantile(
            _routing_latencies(seed, policy, 0.05), 0.95
        )
        heavy = model_module.quantile(
            _routing_latencies(seed, policy, 0.8), 0.95
        )
        rows.append(
            report.Row(
                figure='p95 at 80 % load / unloaded',
                variant=policy,
                value=heavy / light,
                aim='<= 1.3',
                met=heavy / light <= 1.3,
            )
        )
    return rows


LIMIT_PER_SECOND = 200.0


def _admission_times(seed: int, skewed: bool, demand: float) -> list[float]:
    """Return the sorted times, in ms, at which 8 entries admitted calls.

    ``demand`` is relative to the rate limit.
    """
    limited = model_module.organisation(
        'org-0',
        requests_per_second=LIMIT_PER_SECOND,
        burst=LIMIT_PER_SECOND / 10,
    )
    model = model_module.LoadModel(
        seed=seed,
        entries=8,
        organisations=[limited],
        policies={'admission': 'open'},
    )
    until_ms = DURATION_S * 1000
    rng = model.sim.rng
    weights = [8, 1, 1, 1, 1, 1, 1, 1] if skewed else [1] * 8
    model.schedule_poisson(
        LIMIT_PER_SECOND * demand,
        until_ms,
        lambda: model.send(
            rng.choices(range(8), weights)[0], 'interactive', 5.0
        ),
    )
    model.sim.run(until_ms + 1000)
    return sorted(d.sent_ms for d in model.completed if d.failure is None)


def _busiest_second(times_ms: list[float]) -> int:
    """Return the most calls in any window of one second."""
    return max(
        bisect.bisect_left(times_ms, start + 1000) - number
        for number, start in enumerate(times_ms)
    )


@report.benchmark('limits')
def limits(seed: int) -> list[report.Row]:
    """Overshoot of a rate limit shared by 8 entries, and its use."""
    rows = []
    for name, skewed in (('even demand', False), ('8:1 demand', True)):
        overshoot = (
            _busiest_second(_admission_times(seed, skewed, 3.0))
            / LIMIT_PER_SECOND
        )
        rows.append(
            report.Row(
                figure='busiest second / limit, 8 entries',
                variant=name,
                value=overshoot,
                aim='<= 1.1',
                met=overshoot <= 1.1,
            )
        )
        used_fraction = len(_admission_times(seed, skewed, 1.5)) / (
            LIMIT_PER_SECOND * DURATION_S
        )
        rows.append(
            report.Row(
                figure='limit used at 1.5x demand, 8 entries',
                variant=name,
                value=used_fraction,
                aim='>= 0.95',
                met=used_fraction >= 0.95,
            )
        )
    return rows
