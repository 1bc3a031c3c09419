"""The entry's decisions, gathered: calls, claims, members, the fleet."""

import collections
import datetime
import heapq
import random
import typing

from aspenfold._internal.admission import limiter
from aspenfold._internal.admission import policy as admission_policy
from aspenfold._internal.calls import actions
from aspenfold._internal.calls import call as call_module
from aspenfold._internal.calls import flow as flow_module
from aspenfold._internal.calls import refusals
from aspenfold._internal.claims import table as claim_table
from aspenfold._internal.configuration import reader as reader_module
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.kernel import registry
from aspenfold._internal.membership import endpoint as endpoint_module
from aspenfold._internal.membership import view as view_module
from aspenfold._internal.models import fleet as fleet_model
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal.retries import policy as retry_policy
from aspenfold._internal.routing import policy as routing_policy

KEY_WINDOW = datetime.timedelta(hours=1)
"""How long an idempotency key is remembered."""

LATENCY_SHARE = 0.1
"""Weight of the newest sample in the moving average of service time."""

INITIAL_SERVICE_TIME = datetime.timedelta(milliseconds=50)

ID_BITS = 96


class EntryKernel:
    """All state of one entry host; events in, actions out, no I/O."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        system_key: str,
        claim_streams: int,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.system_key = system_key
        self.draining = False
        self.view = view_module.EndpointView(owner=name, zone=zone)
        self.fleet_reader = reader_module.FleetReader()
        self.limiter = limiter.Limiter()
        self._rng = rng
        self._log_up = False
        self._claim_tables = {
            records.claim_stream(i): claim_table.ClaimTable(window=KEY_WINDOW)
            for i in range(claim_streams)
        }
        self._flows: dict[str, flow_module.CallFlow] = {}
        self._streams: dict[int, str] = {}
        self._stream_endpoint: dict[int, str] = {}
        self._next_stream_id = 1
        self._timers: list[tuple[datetime.datetime, str]] = []
        self._by_key: dict[str, set[str]] = collections.defaultdict(set)
        self._policies: dict[tuple[str, str], typing.Any] = {}
        self._service_time: dict[str, datetime.timedelta] = {}
        self._urgent: collections.Counter[str] = collections.Counter()
        self._urgent_mean: dict[str, float] = {}
        self._entries = 1
        self.result_counts: collections.Counter[str] = collections.Counter()

    # -- what flows need, see calls.context ----------------------------------

    @property
    def log_up(self) -> bool:
        """Whether the log service answered lately."""
        return self._log_up

    def claims(self, scoped_key: str) -> claim_table.ClaimTable:
        """Return the fold of the stream that decides the key."""
        return self._claim_tables[self.claim_stream(scoped_key)]

    def claim_stream(self, scoped_key: str) -> str:
        """Return the name of the stream that decides the key."""
        return claim_table.stream_for_key(scoped_key, len(self._claim_tables))

    def choose(
        self, call: call_module.Call, avoid: str, now: datetime.datetime
    ) -> endpoint_module.Endpoint | None:
        """Return an endpoint by the service's routing policy."""
        candidates = self.view.routable(call.service, now)
        others = [c for c in candidates if c.name != avoid]
        if others:
            candidates = others
        if not candidates:
            return None
        policy: routing_policy.RoutingPolicy = self._policy(
            routing_policy.KIND, call.service, zone=self.zone, rng=self._rng
        )
        urgent = call.priority is fleet_model.Priority.INTERACTIVE
        return policy.choose(candidates, call.prefix, urgent)

    def endpoint(self, name: str) -> endpoint_module.Endpoint | None:
        """Return what is known of an endpoint."""
        return self.view.get(name)

    def new_id(self) -> str:
        """Return a unique id."""
        return f'{self._rng.getrandbits(ID_BITS):024x}'

    def new_stream_id(self, call_id: str) -> int:
        """Return the number of a new leg of the call."""
        stream_id = self._next_stream_id
        self._next_stream_id += 1
        self._streams[stream_id] = call_id
        endpoint = self._flows[call_id].endpoint
        self._stream_endpoint[stream_id] = endpoint
        known = self.view.get(endpoint)
        if known is not None:
            known.in_flight += 1
        return stream_id

    def retry_wait(
        self, call: call_module.Call, attempt: int
    ) -> datetime.timedelta | None:
        """Return the wait before a retry, None if the budget is spent."""
        return self._retry(call.service).retry_delay(attempt)

    def on_complete_answer(
        self, call: call_module.Call, endpoint: str, now: datetime.datetime
    ) -> None:
        """Note a whole answer and how long it took."""
        self.view.record_success(endpoint)
        taken = now - call.received_at
        before = self._service_time.get(call.service, taken)
        self._service_time[call.service] = (
            before + (taken - before) * LATENCY_SHARE
        )

    # -- calls -----------------------------------------------------------

    @property
    def fleet(self) -> fleet_model.Fleet | None:
        """The fleet in force."""
        return self.fleet_reader.state.fleet

    @property
    def in_flight(self) -> int:
        """Calls without a final answer."""
        return len(self._flows)

    @property
    def may_exit(self) -> bool:
        """Whether a draining entry has nothing left to finish."""
        return not self._flows

    def submit(
        self, call: call_module.Call, now: datetime.datetime
    ) -> list[actions.Action]:
        """Take a call that passed the border."""
        failure = self._admit(call, now)
        if failure is not None:
            if call.key:
                failure = refusals.mark_key_undecided(failure)
            self.result_counts[str(int(failure.code))] += 1
            return [actions.Fail(call_id=call.call_id, failure=failure)]
        flow = flow_module.CallFlow(call=call, context=self)
        self._flows[call.call_id] = flow
        if flow.scoped_key:
            self._by_key[flow.scoped_key].add(call.call_id)
        self._retry(call.service).record_request()
        self._count_urgent(call, 1)
        return self._settle(flow, flow.start(now))

    def on_caller_left(self, call_id: str) -> list[actions.Action]:
        """The caller of ``call_id`` went away."""
        flow = self._flows.get(call_id)
        if flow is None:
            return []
        return self._settle(flow, flow.on_caller_left())

    def on_frame(
        self, stream_id: int, frame: frames.Frame, now: datetime.datetime
    ) -> list[actions.Action]:
        """A frame arrived on a leg; those of closed legs are dropped."""
        flow = self._flow_of(stream_id)
        if flow is None:
            return []
        self._hear(self._stream_endpoint[stream_id], frame, now)
        return self._settle(flow, flow.on_frame(frame, now))

    def on_stream_lost(
        self, stream_id: int, sent: bool, now: datetime.datetime
    ) -> list[actions.Action]:
        """A leg broke before its end."""
        flow = self._flow_of(stream_id)
        if flow is None:
            return []
        self.view.record_failure(self._stream_endpoint[stream_id], now)
        if not sent:
            self.view.invalidate_report(self._stream_endpoint[stream_id])
        self._remove_stream(stream_id)
        return self._settle(flow, flow.on_stream_lost(sent, now))

    # -- platform and members --------------------------------------------

    def on_fleet_page(
        self, page: reader_module.Page
    ) -> list[reader_module.AppliedRecord]:
        """Fold a page of the fleet stream."""
        self._log_up = True
        judged = self.fleet_reader.apply_page(page)
        self.view.update_members(self.fleet_reader.state.members)
        return judged

    def adopt_state(self, state: state_module.FleetState) -> bool:
        """Take a peer's fleet state if it is further on."""
        adopted = self.fleet_reader.adopt_state(state)
        if adopted:
            self.view.update_members(self.fleet_reader.state.members)
        return adopted

    def on_claims_page(
        self,
        stream: str,
        page: reader_module.Page,
        now: datetime.datetime,
    ) -> list[actions.Action]:
        """Fold a page of a claim stream and wake the flows it decides."""
        self._log_up = True
        seen = self._claim_tables[stream].apply_page(page, now)
        result: list[actions.Action] = []
        for key in sorted(seen):
            for call_id in sorted(self._by_key.get(key, ())):
                flow = self._flows[call_id]
                result.extend(self._settle(flow, flow.on_claims(now)))
        return result

    def claims_position(self, stream: str) -> int:
        """Return the offset to read next on a claim stream."""
        return self._claim_tables[stream].position

    def on_log_lost(self) -> None:
        """The log service does not answer."""
        self._log_up = False

    def on_host_list(self, listing: hosts.HostList) -> None:
        """Take a reading of the host list."""
        self.view.update_hosts(listing)
        entries = sum(h.role is hosts.Role.ENTRY for h in listing.hosts)
        self._entries = max(1, entries)
        self.limiter.set_share(1.0 / self._entries)

    def tick(self, now: datetime.datetime) -> list[actions.Action]:
        """Run all timers that are due."""
        result: list[actions.Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, call_id = heapq.heappop(self._timers)
            flow = self._flows.get(call_id)
            if flow is not None and flow.wake_at <= now:
                flow.scheduled_at = None
                result.extend(self._settle(flow, flow.on_tick(now)))
        return result

    def wake_at(self) -> datetime.datetime | None:
        """Return when :meth:`tick` is next due."""
        return self._timers[0][0] if self._timers else None

    # -- parts -----------------------------------------------------------

    def _admit(
        self, call: call_module.Call, now: datetime.datetime
    ) -> exceptions.Failure | None:
        fleet = self.fleet
        if fleet is None:
            return exceptions.Failure(
                code=exceptions.Code.NO_FLEET,
                detail='this entry has no configuration yet',
                retry_after=datetime.timedelta(seconds=1),
            )
        if self.draining:
            return exceptions.Failure(
                code=exceptions.Code.DRAINING,
                detail='this entry is shutting down',
                remedy='use another entry host',
                retry_after=datetime.timedelta(seconds=1),
            )
        policy: admission_policy.AdmissionPolicy = self._policy(
            admission_policy.KIND, call.service
        )
        failure = policy.check(
            call.priority, call.deadline - now, self._pressure(call, now)
        )
        if failure is not None:
            return failure
        organisation = fleet.organisation(call.organisation)
        assert organisation is not None
        return self.limiter.admit(organisation, now)

    def _hear(
        self, endpoint: str, frame: frames.Frame, now: datetime.datetime
    ) -> None:
        body = frame.body
        if (
            isinstance(body, frames.Refused)
            and body.failure.code is exceptions.Code.INCARNATION_GONE
        ):
            self.view.invalidate_report(endpoint)
            return
        self.view.update_load(endpoint, frame.load, now)

    def _pressure(
        self, call: call_module.Call, now: datetime.datetime
    ) -> admission_policy.Pressure:
        candidates = self.view.routable(call.service, now)
        pressures = [candidate.pressure for candidate in candidates]
        mean = sum(pressures) / max(1, len(pressures))
        capacity = sum(candidate.load.capacity for candidate in candidates)
        return admission_policy.Pressure(
            mean=mean,
            capacity=capacity,
            urgent=self._urgent_share(call.service, capacity),
            service_time=self._service_time.get(
                call.service, INITIAL_SERVICE_TIME
            ),
        )

    def _urgent_share(self, service: str, capacity: int) -> float:
        """Return the share of capacity that interactive calls use.

        All entries are taken to have as many of them as this one.
        """
        here = self._urgent.get(service, 0)
        before = self._urgent_mean.get(service, 0.0)
        mean = before + (here - before) * LATENCY_SHARE
        self._urgent_mean[service] = mean
        return mean * self._entries / max(1, capacity)

    def _count_urgent(self, call: call_module.Call, by: int) -> None:
        if call.priority is fleet_model.Priority.INTERACTIVE:
            self._urgent[call.service] += by

    def _settle(
        self, flow: flow_module.CallFlow, result: list[actions.Action]
    ) -> list[actions.Action]:
        """Keep the books after a flow moved."""
        for action in result:
            if isinstance(action, actions.CloseAnswerStream):
                self._remove_stream(action.stream_id)
        call = flow.call
        if flow.state is not flow_module.State.ENDED:
            # Frames come by the thousand; only a changed time is pushed.
            if flow.scheduled_at != flow.wake_at:
                flow.scheduled_at = flow.wake_at
                heapq.heappush(self._timers, (flow.wake_at, call.call_id))
            return result
        if self._flows.pop(call.call_id, None) is None:
            return result
        self.limiter.release(call.organisation)
        self._count_urgent(call, -1)
        if flow.scoped_key:
            waiting = self._by_key[flow.scoped_key]
            waiting.discard(call.call_id)
            if not waiting:
                del self._by_key[flow.scoped_key]
        for action in result:
            if isinstance(action, actions.Fail):
                self.result_counts[str(int(action.failure.code))] += 1
            elif isinstance(action, actions.Finish):
                self.result_counts['ok'] += 1
        return result

    def _flow_of(self, stream_id: int) -> flow_module.CallFlow | None:
        call_id = self._streams.get(stream_id)
        return self._flows.get(call_id) if call_id else None

    def _remove_stream(self, stream_id: int) -> None:
        if self._streams.pop(stream_id, None) is None:
            return
        known = self.view.get(self._stream_endpoint.pop(stream_id))
        if known is not None and known.in_flight > 0:
            known.in_flight -= 1

    def _retry(self, service: str) -> retry_policy.RetryPolicy:
        return self._policy(retry_policy.KIND, service, rng=self._rng)

    def _policy(
        self, kind: str, service: str, **options: object
    ) -> typing.Any:
        name = self._policy_name(kind, service)
        key = (service, f'{kind}/{name}')
        if key not in self._policies:
            self._policies[key] = registry.create(kind, name, **options)
        return self._policies[key]

    def _policy_name(self, kind: str, service: str) -> str:
        fleet = self.fleet
        found = fleet.service(service) if fleet else None
        policies = found.policies if found else fleet_model.Policies()
        return str(getattr(policies, kind))
