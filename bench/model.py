"""A load model: real entry and agent kernels, simulated endpoints.

Endpoints, network and callers are simulated.  An endpoint serves
``slots`` calls at a time, those of the highest priority first, as engines
that honour priorities do.  Time is virtual, so a run depends only on its seed.
"""

import collections
from collections import abc
import dataclasses
import datetime
import heapq
import itertools
import typing

from aspenfold_standins import sim as sim_module

from aspenfold._internal import admission
from aspenfold._internal.attempts import actions as agent_actions
from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal.calls import actions
from aspenfold._internal.calls import call as call_module
from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.configuration import patch
from aspenfold._internal.configuration import reader
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import fleet
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal import retries
from aspenfold._internal import routing

PLUGINS = (admission, retries, routing)
ZONES = ('zone-a', 'zone-b', 'zone-c')
REPORT_INTERVAL_MS = 500
NETWORK_DELAY_MS = 1.0
SERVICE_NAME = 'svc'
PRIORITY_ORDER = {'interactive': 0, 'generation': 1, 'batch': 2}


@dataclasses.dataclass(kw_only=True, slots=True)
class CompletedCall:
    """A call that succeeded, or failed with ``failure``."""

    organisation: str
    priority: str
    sent_ms: float
    latency_ms: float
    failure: exceptions.Failure | None


class Endpoint:
    """A simulated endpoint with ``slots`` servers, and its agent's kernel."""

    def __init__(
        self, *, model: 'LoadModel', name: str, zone: str, slots: int
    ) -> None:
        self.model = model
        self.name = name
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.started = 0
        self.failure_probability = 0.0
        self.kernel = agent_kernel.AgentKernel(
            incarnation=f'{name}-1', capacity=slots, answer_memory=1 << 16
        )
        self._queue: list[tuple[int, int, frames.AttemptRequest]] = []
        self._order = itertools.count()
        self._streams: dict[int, abc.Callable[[frames.Frame], None]] = {}

    def execute(
        self,
        stream_id: int,
        request: frames.AttemptRequest,
        on_frame: abc.Callable[[frames.Frame], None],
    ) -> None:
        """Execute an attempt and pass its frames to ``on_frame``."""
        self._streams[stream_id] = on_frame
        self._apply(
            self.kernel.execute(stream_id, request, self.model.sim.now)
        )

    def _apply(self, result: list[agent_actions.Action]) -> None:
        for action in result:
            match action:
                case agent_actions.Send(stream_id=stream_id, frame=frame):
                    self._streams[stream_id](frame)
                case agent_actions.CloseAnswerStream(stream_id=stream_id):
                    del self._streams[stream_id]
                case agent_actions.CallEndpoint(request=request):
                    priority_order = PRIORITY_ORDER[request.priority]
                    queued = (priority_order, next(self._order), request)
                    heapq.heappush(self._queue, queued)
                    self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self.running < self.slots:
            _, _, request = heapq.heappop(self._queue)
            self.running += 1
            self.started += 1
            work_ms = float(request.body)
            self.model.sim.after(work_ms, lambda r=request: self._finish(r))

    def _finish(self, request: frames.AttemptRequest) -> None:
        self.running -= 1
        attempt = request.attempt_id
        if self.model.sim.rng.random() < self.failure_probability:
            failure = exceptions.Failure(
                code=exceptions.Code.ENDPOINT_LOST, detail='brown-out'
            )
            self._apply(self.kernel.on_endpoint_failed(attempt, failure))
        else:
            head = frames.Head(status=200, content_type='x')
            self._apply(self.kernel.on_endpoint_head(attempt, head))
            self._apply(self.kernel.on_endpoint_items(attempt, (b'x',)))
            now = self.model.sim.now
            self._apply(self.kernel.on_endpoint_ended(attempt, now))
        self._start_queued()


class LoadModel:
    """Entries and endpoints under simulated load, and completed calls."""

    def __init__(
        self,
        *,
        seed: int,
        entries: int = 3,
        endpoints: int = 6,
        slots: int = 8,
        policies: dict[str, str] | None = None,
        organisations: list[dict[str, typing.Any]] | None = None,
    ) -> None:
        self.sim = sim_module.Simulation(seed=seed)
        self.completed: list[CompletedCall] = []
        self.attempts = 0
        self._calls = itertools.count()
        self._pending: dict[str, call_module.Call] = {}
        names = [f'endpoint-{n}' for n in range(endpoints)]
        self.endpoints = {
            name: Endpoint(
                model=self,
                name=name,
                zone=ZONES[number % len(ZONES)],
                slots=slots,
            )
            for number, name in enumerate(names)
        }
        self.entries = [
            entry_kernel.EntryKernel(
                name=f'entry-{number}',
                zone=ZONES[number % len(ZONES)],
                system_key='k' * 16,
                claim_streams=1,
                rng=self.sim.rng,
            )
            for number in range(entries)
        ]
        document = _fleet_document(policies or {}, organisations)
        host_list = self._host_list()
        for entry in self.entries:
            entry.on_fleet_page(_fleet_page(document))
            entry.on_host_list(host_list)
        self.sim.every(REPORT_INTERVAL_MS, self._send_reports)
        self.sim.every(10, self._tick)

    @property
    def capacity(self) -> int:
        """The number of calls that all endpoints can run at once."""
        return sum(e.slots for e in self.endpoints.values())

    def send(
        self,
        entry: int,
        priority: str,
        work_ms: float,
        *,
        organisation: str = 'org-0',
        deadline_ms: float = 5000,
        streamed: bool = False,
    ) -> None:
        """Submit a call that occupies a slot for ``work_ms`` milliseconds."""
        now = self.sim.now
        call = call_module.Call(
            call_id=f'call-{next(self._calls)}',
            organisation=organisation,
            service=SERVICE_NAME,
            operation='run',
            priority=fleet.Priority(priority),
            repeatable=True,
            streamed=streamed,
            body=str(work_ms).encode(),
            deadline=now + deadline_ms * sim_module.MILLISECOND,
            received_at=now,
        )
        self._pending[call.call_id] = call
        kernel = self.entries[entry]
        self._apply(kernel, kernel.submit(call, now))

    def schedule_poisson(
        self,
        rate_per_s: float,
        until_ms: float,
        send: abc.Callable[[], None],
    ) -> None:
        """Schedule ``send`` as a Poisson process until ``until_ms``."""

        def repeat() -> None:
            if self.sim.ms >= until_ms:
                return
            send()
            self.sim.after(self.sim.rng.expovariate(rate_per_s / 1000), repeat)

        self.sim.after(self.sim.rng.expovariate(rate_per_s / 1000), repeat)

    def _apply(
        self,
        kernel: entry_kernel.EntryKernel,
        result: list[actions.Action],
    ) -> None:
        for action in result:
            match action:
                case actions.OpenAnswerStream():
                    self._open_stream(kernel, action)
                case actions.Finish(call_id=call_id):
                    self._record_completion(call_id, None)
                case actions.Fail(call_id=call_id, failure=failure):
                    self._record_completion(call_id, failure)

    def _open_stream(
        self,
        kernel: entry_kernel.EntryKernel,
        action: actions.OpenAnswerStream,
    ) -> None:
        self.attempts += 1
        endpoint = self.endpoints[action.host.name]

        def on_frame(frame: frames.Frame) -> None:
            self.sim.after(
                NETWORK_DELAY_MS,
                lambda: self._apply(
                    kernel,
                    kernel.on_frame(action.stream_id, frame, self.sim.now),
                ),
            )

        stream_id = self.attempts
        self.sim.after(
            NETWORK_DELAY_MS,
            lambda: endpoint.execute(stream_id, action.request, on_frame),
        )

    def _record_completion(
        self, call_id: str, failure: exceptions.Failure | None
    ) -> None:
        call = self._pending.pop(call_id)
        sent_ms = (
            call.received_at - sim_module.START
        ) / sim_module.MILLISECOND
        latency_ms = (self.sim.now - call.received_at) / sim_module.MILLISECOND
        self.completed.append(
            CompletedCall(
                organisation=call.organisation,
                priority=call.priority.value,
                sent_ms=sent_ms,
                latency_ms=latency_ms,
                failure=failure,
            )
        )

    def _tick(self) -> None:
        for kernel in self.entries:
            self._apply(kernel, kernel.tick(self.sim.now))

    def _send_reports(self) -> None:
        for endpoint in self.endpoints.values():
            load = endpoint.kernel.load
            for kernel in self.entries:
                kernel.view.update_report(
                    endpoint.name,
                    endpoint.kernel.incarnation,
                    load,
                    self.sim.now,
                )

    def _host_list(self) -> hosts.HostList:
        host_records = [
            _make_host(e.name, e.zone, hosts.Role.ENDPOINT)
            for e in self.endpoints.values()
        ]
        host_records += [
            _make_host(k.name, k.zone, hosts.Role.ENTRY) for k in self.entries
        ]
        return hosts.HostList(version=1, hosts=host_records)


def _make_host(name: str, zone: str, role: hosts.Role) -> hosts.Host:
    return hosts.Host.model_validate(
        {
            'name': name,
            'availability_zone': zone,
            'role': role,
            'address': '127.0.0.1',
            'port': 1,
            'service': SERVICE_NAME if role is hosts.Role.ENDPOINT else '',
        }
    )


def organisation(
    name: str, weight: float = 1.0, **limits: float
) -> dict[str, typing.Any]:
    """Return an organisation of a fleet document, unlimited by default."""
    return {
        'name': name,
        'weight': weight,
        'credential_sha256': ['0' * 64],
        'limits': {
            'requests_per_second': 1e9,
            'burst': 1e9,
            'in_flight': 10**9,
            **limits,
        },
    }


def _fleet_document(
    policies: dict[str, str],
    organisations: list[dict[str, typing.Any]] | None,
) -> patch.Document:
    data = {
        'format': 1,
        'name': 'bench',
        'regions': [{'name': 'here', 'availability_zones': list(ZONES)}],
        'organisations': organisations or [organisation('org-0')],
        'services': [
            {
                'name': SERVICE_NAME,
                'kind': 'plain',
                'operations': [{'name': 'run', 'path': '/run'}],
                'workers': {ZONES[0]: 1},
                'policies': policies,
            }
        ],
        'rules': [{'priority': 'interactive'}],
    }
    return fleet.Fleet.model_validate(data).model_dump(mode='json')


def _fleet_page(document: patch.Document) -> reader.Page:
    record = records.ConfigChange(
        id='bench',
        author='bench',
        at=datetime.datetime.now(datetime.timezone.utc),
        base_version=0,
        digest=patch.digest(document),
        patch=patch.diff({}, document),
    )
    body = record.model_dump(mode='json')
    return reader.Page(
        records=[reader.LogRecord(offset=1, body=body)],
        first_offset=1,
        next_offset=2,
    )


def quantile(values: abc.Sequence[float], fraction: float) -> float:
    """Return the quantile of ``values`` at ``fraction``; NaN if empty."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def count_outcomes(
    completed: abc.Iterable[CompletedCall],
) -> collections.Counter[str]:
    """Return the number of calls per failure code; success is ``whole``."""
    return collections.Counter(
        d.failure.code.name if d.failure else 'whole' for d in completed
    )
