"""The decisions of an entry about its calls, without I/O.

The kernel gets every event of its process by a method call and returns
the actions that the process has to perform.
"""

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

KEY_RETENTION = datetime.timedelta(hours=1)
"""How long an idempotency key is remembered."""

MOVING_AVERAGE_WEIGHT = 0.1
"""Weight of the newest sample in exponential moving averages."""

INITIAL_SERVICE_TIME = datetime.timedelta(milliseconds=50)

ID_BITS = 96


class EntryKernel:
    """The state of one entry: its calls, claims, view and fleet."""

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
            records.claim_stream(i): claim_table.ClaimTable(
                window=KEY_RETENTION
            )
            for i in range(claim_streams)
        }
        self._flows: dict[str, flow_module.CallFlow] = {}
        self._streams: dict[int, str] = {}
        self._stream_endpoint: dict[int, str] = {}
        self._next_stream_id = 1
        self._timers: list[tuple[datetime.datetime, str]] = []
        self._calls_by_key: dict[str, set[str]] = collections.defaultdict(set)
        self._policies: dict[tuple[str, str], typing.Any] = {}
        self._service_time: dict[str, datetime.timedelta] = {}
        self._interactive_in_flight: collections.Counter[str] = (
            collections.Counter()
        )
        self._interactive_mean: dict[str, float] = {}
        self._entry_count = 1
        self.result_counts: collections.Counter[str] = collections.Counter()

    @property
    def log_up(self) -> bool:
        """Whether the last request to the log service succeeded."""
        return self._log_up

    def claims(self, scoped_key: str) -> claim_table.ClaimTable:
        """Return the claim table that decides the key."""
        return self._claim_tables[self.claim_stream(scoped_key)]

    def claim_stream(self, scoped_key: str) -> str:
        """Return the name of the claim stream that decides the key."""
        return claim_table.stream_for_key(scoped_key, len(self._claim_tables))

    def choose_endpoint(
        self, call: call_module.Call, avoid: str, now: datetime.datetime
    ) -> endpoint_module.Endpoint | None:
        """Return an endpoint chosen by the service's routing policy.

        ``avoid`` is chosen only if there is no other.  Returns None if
        no endpoint of the service is routable.
        """
        candidates = self.view.routable(call.service, now)
        others = [c for c in candidates if c.name != avoid]
        if others:
            candidates = others
        if not candidates:
            return None
        policy: routing_policy.RoutingPolicy = self._policy(
            routing_policy.KIND, call.service, zone=self.zone, rng=self._rng
        )
        interactive = call.priority is fleet_model.Priority.INTERACTIVE
        return policy.choose(candidates, call.prompt_prefix_hash, interactive)

    def endpoint(self, name: str) -> endpoint_module.Endpoint | None:
        """Return the endpoint called ``name``, or None."""
        return self.view.get(name)

    def new_id(self) -> str:
        """Return a random id of :const:`ID_BITS` bits in hexadecimal."""
        return f'{self._rng.getrandbits(ID_BITS):024x}'

    def new_stream_id(self, call_id: str) -> int:
        """Return the number of a new answer stream for the call."""
        stream_id = self._next_stream_id
        self._next_stream_id += 1
        self._streams[stream_id] = call_id
        endpoint_name = self._flows[call_id].endpoint
        self._stream_endpoint[stream_id] = endpoint_name
        endpoint = self.view.get(endpoint_name)
        if endpoint is not None:
            endpoint.in_flight += 1
        return stream_id

    def retry_delay(
        self, call: call_module.Call, attempt: int
    ) -> datetime.timedelta | None:
        """Return the delay before a retry, or None if none is allowed."""
        return self._retry_policy(call.service).retry_delay(attempt)

    def on_complete_answer(
        self, call: call_module.Call, endpoint: str, now: datetime.datetime
    ) -> None:
        """Record a complete answer and how long it took."""
        self.view.record_success(endpoint)
        service_time = now - call.received_at
        before = self._service_time.get(call.service, service_time)
        self._service_time[call.service] = (
            before + (service_time - before) * MOVING_AVERAGE_WEIGHT
        )

    @property
    def fleet(self) -> fleet_model.Fleet | None:
        """The active fleet configuration, None before the first one."""
        return self.fleet_reader.state.fleet

    @property
    def in_flight(self) -> int:
        """Number of calls without a final answer."""
        return len(self._flows)

    @property
    def may_exit(self) -> bool:
        """Whether no call is in flight, so that the process may exit."""
        return not self._flows

    def submit(
        self, call: call_module.Call, now: datetime.datetime
    ) -> list[actions.Action]:
        """Admit a validated call and start it, or refuse it."""
        failure = self._admit(call, now)
        if failure is not None:
            if call.key:
                failure = refusals.mark_key_undecided(failure)
            self.result_counts[str(int(failure.code))] += 1
            return [actions.Fail(call_id=call.call_id, failure=failure)]
        flow = flow_module.CallFlow(call=call, context=self)
        self._flows[call.call_id] = flow
        if flow.scoped_key:
            self._calls_by_key[flow.scoped_key].add(call.call_id)
        self._retry_policy(call.service).record_request()
        self._count_interactive(call, 1)
        return self._after_event(flow, flow.start(now))

    def on_caller_left(self, call_id: str) -> list[actions.Action]:
        """Handle the disconnect of the caller of ``call_id``."""
        flow = self._flows.get(call_id)
        if flow is None:
            return []
        return self._after_event(flow, flow.on_caller_left())

    def on_frame(
        self, stream_id: int, frame: frames.Frame, now: datetime.datetime
    ) -> list[actions.Action]:
        """Handle a frame; those of closed answer streams are dropped."""
        flow = self._flow_of_stream(stream_id)
        if flow is None:
            return []
        self._record_load(self._stream_endpoint[stream_id], frame, now)
        return self._after_event(flow, flow.on_frame(frame, now))

    def on_stream_lost(
        self, stream_id: int, sent: bool, now: datetime.datetime
    ) -> list[actions.Action]:
        """Handle the loss of an answer stream.

        ``sent``: the request may have reached the agent.
        """
        flow = self._flow_of_stream(stream_id)
        if flow is None:
            return []
        self.view.record_failure(self._stream_endpoint[stream_id], now)
        if not sent:
            self.view.invalidate_report(self._stream_endpoint[stream_id])
        self._remove_stream(stream_id)
        return self._after_event(flow, flow.on_stream_lost(sent, now))

    def on_fleet_page(
        self, page: reader_module.Page
    ) -> list[reader_module.AppliedRecord]:
        """Apply a page of the fleet stream; return the applied records."""
        self._log_up = True
        applied = self.fleet_reader.apply_page(page)
        self.view.update_members(self.fleet_reader.state.members)
        return applied

    def adopt_state(self, state: state_module.FleetState) -> bool:
        """Adopt a peer's fleet state if it is newer; return whether so."""
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
        """Apply a page of a claim stream and notify the calls it affects."""
        self._log_up = True
        claimed_keys = self._claim_tables[stream].apply_page(page, now)
        result: list[actions.Action] = []
        for key in sorted(claimed_keys):
            for call_id in sorted(self._calls_by_key.get(key, ())):
                flow = self._flows[call_id]
                result.extend(self._after_event(flow, flow.on_claims(now)))
        return result

    def claims_position(self, stream: str) -> int:
        """Return the offset to read next from a claim stream."""
        return self._claim_tables[stream].position

    def on_log_lost(self) -> None:
        """Record that the log service is unavailable."""
        self._log_up = False

    def on_host_list(self, host_list: hosts.HostList) -> None:
        """Update the view of the hosts from the platform's host list."""
        self.view.update_hosts(host_list)
        entries = sum(h.role is hosts.Role.ENTRY for h in host_list.hosts)
        self._entry_count = max(1, entries)
        self.limiter.set_share(1.0 / self._entry_count)

    def tick(self, now: datetime.datetime) -> list[actions.Action]:
        """Run all timers that are due at ``now``."""
        result: list[actions.Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, call_id = heapq.heappop(self._timers)
            flow = self._flows.get(call_id)
            if flow is not None and flow.wake_at <= now:
                flow.scheduled_at = None
                result.extend(self._after_event(flow, flow.on_tick(now)))
        return result

    def wake_at(self) -> datetime.datetime | None:
        """Return when :meth:`tick` is next due, or None."""
        return self._timers[0][0] if self._timers else None

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
                remedy='use another entry',
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

    def _record_load(
        self, endpoint: str, frame: frames.Frame, now: datetime.datetime
    ) -> None:
        body = frame.body
        if (
            isinstance(body, frames.Failed)
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
            interactive_fraction=self._interactive_fraction(
                call.service, capacity
            ),
            service_time=self._service_time.get(
                call.service, INITIAL_SERVICE_TIME
            ),
        )

    def _interactive_fraction(self, service: str, capacity: int) -> float:
        """Return the fraction of ``capacity`` used by interactive calls.

        Assumes that all entries have as many of them as this one.
        """
        here = self._interactive_in_flight.get(service, 0)
        before = self._interactive_mean.get(service, 0.0)
        mean = before + (here - before) * MOVING_AVERAGE_WEIGHT
        self._interactive_mean[service] = mean
        return mean * self._entry_count / max(1, capacity)

    def _count_interactive(self, call: call_module.Call, by: int) -> None:
        if call.priority is fleet_model.Priority.INTERACTIVE:
            self._interactive_in_flight[call.service] += by

    def _after_event(
        self, flow: flow_module.CallFlow, result: list[actions.Action]
    ) -> list[actions.Action]:
        """Update streams, timers and counts after an event of ``flow``.

        Returns ``result``.
        """
        for action in result:
            if isinstance(action, actions.CloseAnswerStream):
                self._remove_stream(action.stream_id)
        call = flow.call
        if flow.state is not flow_module.State.ENDED:
            # Most frames leave the time unchanged.
            if flow.scheduled_at != flow.wake_at:
                flow.scheduled_at = flow.wake_at
                heapq.heappush(self._timers, (flow.wake_at, call.call_id))
            return result
        if self._flows.pop(call.call_id, None) is None:
            return result
        self.limiter.release(call.organisation)
        self._count_interactive(call, -1)
        if flow.scoped_key:
            waiting = self._calls_by_key[flow.scoped_key]
            waiting.discard(call.call_id)
            if not waiting:
                del self._calls_by_key[flow.scoped_key]
        for action in result:
            if isinstance(action, actions.Fail):
                self.result_counts[str(int(action.failure.code))] += 1
            elif isinstance(action, actions.Finish):
                self.result_counts['ok'] += 1
        return result

    def _flow_of_stream(self, stream_id: int) -> flow_module.CallFlow | None:
        call_id = self._streams.get(stream_id)
        return self._flows.get(call_id) if call_id else None

    def _remove_stream(self, stream_id: int) -> None:
        if self._streams.pop(stream_id, None) is None:
            return
        endpoint = self.view.get(self._stream_endpoint.pop(stream_id))
        if endpoint is not None and endpoint.in_flight > 0:
            endpoint.in_flight -= 1

    def _retry_policy(self, service: str) -> retry_policy.RetryPolicy:
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
