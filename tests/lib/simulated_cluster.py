"""Simulated entries, agents and endpoints.

Runs the real entry and agent kernels.  The network, the log, the host
list, the endpoints and the callers are simulated.  Endpoints record their
executions and callers what they receive, for ``history_checks``.
"""

from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal import admission
from aspenfold._internal.attempts import actions as agent_actions
from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal.calls import actions
from aspenfold._internal.calls import call as call_module
from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.claims import ticket as ticket_module
from aspenfold._internal.configuration import patch
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import fleet
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal import retries
from aspenfold._internal import routing
from aspenfold_standins import sim as sim_module
from tests.lib import fake_log
from tests.lib import fleets

PLUGINS = (admission, retries, routing)
"""Packages that register the policies when they are imported."""

SYSTEM_KEY = 'test-system-key-0123'
PARTITION_DETECTION_MS = 400
APPEND_RETRY_DELAY_MS = 200
APPEND_TIMEOUT_MS = 3000
ITEM_INTERVAL_MS = 10
POLL_INTERVAL_MS = 30
EXIT_DELAY_MS = 300


@dataclasses.dataclass(kw_only=True)
class Execution:
    """One execution of a request at an endpoint."""

    started_at: datetime.datetime
    endpoint: str
    incarnation: str
    attempt_id: str
    call_id: str
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Submission:
    """One request of a caller and what the caller received for it."""

    call: call_module.Call
    entry: str
    items: list[bytes] = dataclasses.field(default_factory=list)
    first_item_numbers: list[int] = dataclasses.field(default_factory=list)
    complete: bool = False
    failure: exceptions.Failure | None = None
    answer_count: int = 0

    @property
    def result(self) -> str:
        """COMPLETE, the name of a result code, or NONE without an answer."""
        if self.complete:
            return 'COMPLETE'
        return self.failure.code.name if self.failure else 'NONE'


def expected_items(body: bytes, streamed: bool) -> list[bytes]:
    """Return the items of the correct answer to ``body``."""
    if not streamed:
        return [b'ran ' + body]
    return [b'%s:%d' % (body, i) for i in range(len(body) % 7 + 4)]


class SimulatedEndpoint(sim_module.SimulatedProcess):
    """A simulated endpoint, which records what it executes.

    The next ``answers_to_lose`` executions are not answered.  An answer
    begins after ``service_time_ms``.
    """

    def __init__(
        self, *, cluster: 'SimulatedCluster', name: str, zone: str
    ) -> None:
        super().__init__(sim=cluster.sim, name=name, zone=zone)
        self.cluster = cluster
        self.answers_to_lose = 0
        self.service_time_ms = 20.0
        self.cancelled: set[str] = set()

    def run(self, agent: 'SimulatedAgent', req: frames.AttemptRequest) -> None:
        """Execute a request and send its answer to the agent."""
        self.cluster.executions.append(
            Execution(
                started_at=self.sim.now,
                endpoint=self.name,
                incarnation=agent.kernel.incarnation,
                attempt_id=req.attempt_id,
                call_id=req.call_id,
                body=req.body,
            )
        )
        attempt = req.attempt_id
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            failure = exceptions.Failure(
                code=exceptions.Code.FATE_UNKNOWN, detail='answer lost'
            )
            self._send_later(
                0,
                agent,
                lambda: agent.kernel.on_endpoint_failed(attempt, failure),
            )
            return
        items = expected_items(req.body, req.streamed)[req.resume_from :]
        head = frames.Head(status=200, content_type='text/plain')
        self._send_later(
            0, agent, lambda: agent.kernel.on_endpoint_head(attempt, head)
        )
        for number, item in enumerate(items):
            self._send_later(
                number * ITEM_INTERVAL_MS,
                agent,
                lambda item=item: agent.kernel.on_endpoint_items(
                    attempt, (item,)
                ),
            )
        self._send_later(
            len(items) * ITEM_INTERVAL_MS,
            agent,
            lambda: agent.kernel.on_endpoint_ended(attempt, self.sim.now),
        )

    def _send_later(
        self,
        ms: float,
        agent: 'SimulatedAgent',
        work: abc.Callable[[], list[agent_actions.Action]],
    ) -> None:
        def on_agent() -> None:
            agent.dispatch(lambda: agent.apply(work()))

        self.sim.after(
            self.service_time_ms + ms, lambda: self.dispatch(on_agent)
        )


class SimulatedAgent(sim_module.SimulatedProcess):
    """One incarnation of an agent: its kernel and simulated I/O."""

    def __init__(
        self, *, cluster: 'SimulatedCluster', name: str, zone: str, number: int
    ) -> None:
        super().__init__(sim=cluster.sim, name=name, zone=zone)
        self.cluster = cluster
        self.kernel = agent_kernel.AgentKernel(
            incarnation=f'{name}-{number}',
            capacity=8,
            answer_memory=1 << 20,
        )
        self.streams: dict[int, AnswerStream] = {}
        self.sim.every(20, lambda: self.dispatch(self._tick))

    @property
    def endpoint(self) -> SimulatedEndpoint:
        """The endpoint of this agent."""
        return self.cluster.endpoints[self.name]

    def _tick(self) -> None:
        self.apply(self.kernel.tick(self.sim.now))

    def execute(
        self, stream: 'AnswerStream', req: frames.AttemptRequest
    ) -> None:
        """Handle a request that arrived on ``stream``."""
        self.streams[stream.agent_stream_id] = stream
        self.apply(
            self.kernel.execute(stream.agent_stream_id, req, self.sim.now)
        )

    def apply(self, result: list[agent_actions.Action]) -> None:
        """Execute the kernel's actions."""
        for action in result:
            match action:
                case agent_actions.Send(stream_id=stream_id, frame=frame):
                    self.streams[stream_id].send(frame)
                case agent_actions.CloseAnswerStream(stream_id=stream_id):
                    self.streams.pop(stream_id).close()
                case agent_actions.CallEndpoint(request=req):
                    self.sim.after(
                        self.cluster.network.draw_delay_ms(),
                        lambda req=req: self.endpoint.run(self, req),
                    )
                case agent_actions.CancelEndpoint(attempt_id=attempt):
                    self.endpoint.cancelled.add(attempt)


class AnswerStream:
    """An answer stream from an agent to an entry.

    With ``is_duplicate`` the entry gets no frames and no notice of its end.
    """

    def __init__(
        self,
        *,
        cluster: 'SimulatedCluster',
        entry_stream_id: int,
        entry: 'SimulatedEntry',
        agent: SimulatedAgent,
        is_duplicate: bool,
    ) -> None:
        self.agent_stream_id = cluster.next_id()
        self.entry_stream_id = entry_stream_id
        self.entry = entry
        self.agent = agent
        self._cluster = cluster
        self._is_duplicate = is_duplicate
        self._last_ms = 0.0

    @property
    def can_deliver(self) -> bool:
        """Whether the agent is alive and the network connects both ends."""
        is_connected = self._cluster.network.is_connected
        return self.agent.alive and is_connected(
            self.entry.zone, self.agent.zone
        )

    def send(self, frame: frames.Frame) -> None:
        """Send a frame to the entry, subject to the network's faults."""
        if self._is_duplicate or not self.can_deliver:
            return
        network = self._cluster.network
        for _ in range(max(1, network.draw_copies())):
            delay = network.draw_delay_ms()
            self._last_ms = max(self._last_ms, self._cluster.sim.ms + delay)
            self._cluster.sim.after(
                delay, lambda: self.entry.on_frame(self.entry_stream_id, frame)
            )

    def close(self) -> None:
        """Close the stream: the entry notices after the last frame."""
        wait = max(0.0, self._last_ms - self._cluster.sim.ms) + 2
        self._cluster.sim.after(wait, self.notify_entry)

    def notify_entry(self) -> None:
        """Notify the entry that the stream is lost."""
        if not self._is_duplicate:
            self.entry.on_stream_lost(self.entry_stream_id, True)

    def notify_agent(self) -> None:
        """Notify the agent that the stream is closed."""
        self.agent.dispatch(
            lambda: self.agent.apply(
                self.agent.kernel.on_stream_closed(self.agent_stream_id)
            )
        )


class SimulatedEntry(sim_module.SimulatedProcess):
    """An entry: its kernel and simulated I/O."""

    def __init__(
        self,
        *,
        cluster: 'SimulatedCluster',
        name: str,
        zone: str,
        claim_streams: int = 1,
    ) -> None:
        super().__init__(sim=cluster.sim, name=name, zone=zone)
        self.cluster = cluster
        self.kernel = entry_kernel.EntryKernel(
            name=name,
            zone=zone,
            system_key=SYSTEM_KEY,
            claim_streams=claim_streams,
            rng=cluster.sim.rng,
        )
        self._claim_streams = claim_streams
        self.submissions: dict[str, Submission] = {}
        # A random offset makes the entries read the log at different times.
        self.sim.after(
            cluster.sim.rng.random() * POLL_INTERVAL_MS,
            lambda: self.sim.every(
                POLL_INTERVAL_MS, lambda: self.dispatch(self._poll)
            ),
        )
        self.sim.every(10, lambda: self.dispatch(self._tick))
        self.sim.every(200, lambda: self.dispatch(self._request_reports))

    @property
    def is_platform_reachable(self) -> bool:
        """Whether the platform is up and this entry can reach it."""
        connected = self.cluster.network.is_connected(self.zone, 'platform')
        return connected and not self.cluster.log.down

    def submit(self, submission: Submission) -> None:
        """Pass a caller's request to the kernel."""

        def callback() -> None:
            call = submission.call
            self.submissions[call.call_id] = submission
            self.apply(self.kernel.submit(call, self.sim.now))

        self.dispatch(callback)

    def on_frame(self, stream_id: int, frame: frames.Frame) -> None:
        """Pass a frame from an agent to the kernel."""
        self.dispatch(
            lambda: self.apply(
                self.kernel.on_frame(stream_id, frame, self.sim.now)
            )
        )

    def on_stream_lost(self, stream_id: int, sent: bool) -> None:
        """Notify the kernel that an answer stream broke.

        ``sent`` says whether the request may have reached the agent.
        """
        self.dispatch(
            lambda: self.apply(
                self.kernel.on_stream_lost(stream_id, sent, self.sim.now)
            )
        )

    def apply(self, result: list[actions.Action]) -> None:
        """Execute the kernel's actions."""
        for action in result:
            match action:
                case actions.OpenAnswerStream():
                    self._open_stream(action)
                case actions.AppendClaim(stream=stream, claim=claim):
                    self._append(stream, claim, self.sim.ms)
                case actions.DeliverItems():
                    submission = self.submissions[action.call_id]
                    submission.first_item_numbers.append(action.first)
                    submission.items.extend(action.items)
                case actions.Finish(call_id=call_id):
                    self.submissions[call_id].complete = True
                    self._count_answer(call_id)
                case actions.Fail(call_id=call_id, failure=failure):
                    self.submissions[call_id].failure = failure
                    self._count_answer(call_id)

    def _count_answer(self, call_id: str) -> None:
        submission = self.submissions[call_id]
        submission.answer_count += 1

    def _open_stream(self, action: actions.OpenAnswerStream) -> None:
        cluster = self.cluster
        agent = cluster.agents[action.host.name]
        if not agent.alive:
            self.sim.after(
                2, lambda: self.on_stream_lost(action.stream_id, False)
            )
            return
        if not cluster.network.is_connected(self.zone, agent.zone):
            self.sim.after(
                PARTITION_DETECTION_MS,
                lambda: self.on_stream_lost(action.stream_id, False),
            )
            return
        copies = cluster.network.draw_copies()
        if not copies:
            self.sim.after(
                50, lambda: self.on_stream_lost(action.stream_id, True)
            )
        for copy in range(copies):
            stream = AnswerStream(
                cluster=cluster,
                entry_stream_id=action.stream_id,
                entry=self,
                agent=agent,
                is_duplicate=copy > 0,
            )
            cluster.streams.append(stream)
            self.sim.after(
                cluster.network.draw_delay_ms(),
                lambda stream=stream: agent.dispatch(
                    lambda: agent.execute(stream, action.request)
                ),
            )

    def _append(
        self, stream: str, claim: records.Claim, started_ms: int
    ) -> None:
        """Append a claim; retry until it is answered or times out."""

        def callback() -> None:
            if self.sim.ms > started_ms + APPEND_TIMEOUT_MS:
                return
            if not self.is_platform_reachable:
                self._retry_append(stream, claim, started_ms)
                return
            batch = records.ClaimBatch(
                id=f'{claim.attempt_id}-{self.sim.ms}',
                author=self.name,
                at=self.sim.now,
                claims=[claim],
            )
            self.cluster.log.append(stream, batch)
            if (
                self.sim.rng.random()
                < self.cluster.append_response_loss_probability
            ):
                self._retry_append(stream, claim, started_ms)

        self.sim.after(
            self.cluster.append_duration_ms * (0.5 + self.sim.rng.random()),
            lambda: self.dispatch(callback),
        )

    def _retry_append(
        self, stream: str, claim: records.Claim, started_ms: int
    ) -> None:
        self.sim.after(
            APPEND_RETRY_DELAY_MS,
            lambda: self._append(stream, claim, started_ms),
        )

    def _poll(self) -> None:
        if not self.is_platform_reachable:
            self.kernel.on_log_lost()
            return
        log = self.cluster.log
        self.kernel.on_host_list(self.cluster.host_list())
        position = self.kernel.fleet_reader.position
        self.kernel.on_fleet_page(log.read(records.FLEET_STREAM, position))
        for index in range(self._claim_streams):
            stream = records.claim_stream(index)
            page = log.read(stream, self.kernel.claims_position(stream))
            self.apply(self.kernel.on_claims_page(stream, page, self.sim.now))

    def _tick(self) -> None:
        self.apply(self.kernel.tick(self.sim.now))

    def _request_reports(self) -> None:
        for endpoint in self.kernel.view.endpoints():
            agent = self.cluster.agents.get(endpoint.name)
            if agent is None or not agent.alive:
                continue
            if not self.cluster.network.is_connected(self.zone, agent.zone):
                continue
            newest = self.kernel.fleet_reader.state.next_offset - 1
            order = self.kernel.view.drain_order(endpoint.name, newest)
            self.sim.after(
                self.cluster.network.draw_delay_ms(),
                lambda agent=agent, order=order: self._fetch_report(
                    agent, order
                ),
            )

    def _fetch_report(
        self, agent: SimulatedAgent, order: frames.DrainOrder
    ) -> None:
        def on_agent() -> None:
            agent.kernel.on_drain_order(order)
            load = agent.kernel.load
            self.sim.after(
                self.cluster.network.draw_delay_ms(),
                lambda: self.dispatch(
                    lambda: self.kernel.view.update_report(
                        agent.name,
                        agent.kernel.incarnation,
                        load,
                        self.sim.now,
                    )
                ),
            )

        agent.dispatch(on_agent)


class SimulatedCluster:
    """Entries, agents, endpoints and the platform, with their history."""

    def __init__(
        self, *, seed: int, entries: int = 2, endpoints: int = 2
    ) -> None:
        self.sim = sim_module.Simulation(seed=seed)
        self.network = sim_module.Network(sim=self.sim)
        self.log = fake_log.FakeLog()
        self.append_duration_ms = 4.0
        self.append_response_loss_probability = 0.0
        self.executions: list[Execution] = []
        self.submissions: list[Submission] = []
        self.streams: list[AnswerStream] = []
        self.agents: dict[str, SimulatedAgent] = {}
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.entries: dict[str, SimulatedEntry] = {}
        self.leaving_hosts: set[str] = set()
        self.drain_started_at: dict[str, datetime.datetime] = {}
        self._services: dict[str, str] = {}
        self._last_id = 0
        self._put_fleet()
        for number in range(endpoints):
            zone = fleets.ZONES[number % len(fleets.ZONES)]
            self.add_endpoint(f'till-{number}', 'till', zone)
            self.add_endpoint(f'llm-{number}', 'llm', zone)
        for number in range(entries):
            zone = fleets.ZONES[number % len(fleets.ZONES)]
            name = f'entry-{number}'
            self.entries[name] = SimulatedEntry(
                cluster=self, name=name, zone=zone
            )
        self.sim.run(800)

    def next_id(self) -> int:
        """Return a number that was not returned before."""
        self._last_id += 1
        return self._last_id

    def _put_fleet(self) -> None:
        document = fleets.document()
        self.log.append(
            records.FLEET_STREAM,
            records.ConfigChange(
                id='first',
                author='test',
                at=self.sim.now,
                base_version=0,
                digest=patch.digest(document),
                patch=patch.diff({}, document),
            ),
        )

    def add_endpoint(self, name: str, service: str, zone: str) -> None:
        """Add an endpoint and start its agent."""
        self._services[name] = service
        self.endpoints[name] = SimulatedEndpoint(
            cluster=self, name=name, zone=zone
        )
        self.start_agent(name)

    def start_agent(self, name: str) -> None:
        """Start a new incarnation of an agent; kill the one before."""
        previous = self.agents.get(name)
        if previous is not None:
            self.kill_agent(name)
        self.agents[name] = SimulatedAgent(
            cluster=self,
            name=name,
            zone=self.endpoints[name].zone,
            number=self.next_id(),
        )

    def kill_agent(self, name: str) -> None:
        """Kill an agent; entries lose their streams from it."""
        agent = self.agents[name]
        agent.kill()
        self._break_matching_streams(lambda entry, other: other is agent, 5)

    def kill_entry(self, name: str) -> None:
        """Kill an entry; its callers get no answer."""
        entry = self.entries[name]
        entry.kill()
        for stream in self.streams:
            if stream.entry is entry:
                stream.notify_agent()

    def terminate_agent(self, name: str) -> None:
        """Have an agent drain, as on SIGTERM, and exit when it is done."""
        agent = self.agents[name]

        def drain() -> None:
            agent.kernel.drain_permanently()
            self.drain_started_at.setdefault(
                agent.kernel.incarnation, self.sim.now
            )
            exit_if_done()

        def exit_if_done() -> None:
            if agent.kernel.may_exit:
                self.sim.after(EXIT_DELAY_MS, lambda: self._exit_agent(agent))
            else:
                self.sim.after(20, lambda: agent.dispatch(exit_if_done))

        agent.dispatch(drain)

    def _exit_agent(self, agent: SimulatedAgent) -> None:
        if self.agents[agent.name] is agent and agent.alive:
            self.kill_agent(agent.name)

    def terminate_entry(self, name: str) -> None:
        """Have an entry drain, as on SIGTERM, and exit when it is done."""
        entry = self.entries[name]

        def exit_if_done() -> None:
            if entry.kernel.may_exit:
                self.sim.after(EXIT_DELAY_MS, lambda: self.kill_entry(name))
            else:
                self.sim.after(20, lambda: entry.dispatch(exit_if_done))

        def drain() -> None:
            entry.kernel.draining = True
            exit_if_done()

        entry.dispatch(drain)

    def partition(self, one: str, two: str) -> None:
        """Disconnect two zones; streams between them break after a while."""
        self.network.partition(one, two)
        self._break_matching_streams(
            lambda entry, agent: {entry.zone, agent.zone} == {one, two},
            PARTITION_DETECTION_MS,
        )

    def break_streams(self) -> None:
        """Break every open answer stream."""
        self._break_matching_streams(lambda entry, agent: True, 0)
        self.streams.clear()

    def _break_matching_streams(
        self,
        matches: abc.Callable[[SimulatedEntry, SimulatedAgent], bool],
        after_ms: float,
    ) -> None:
        for stream in self.streams:
            if matches(stream.entry, stream.agent):
                stream.notify_agent()
                self.sim.after(after_ms, stream.notify_entry)

    def host_list(self) -> hosts.HostList:
        """Return the platform's host list."""
        endpoint_hosts = [
            hosts.Host(
                name=name,
                availability_zone=endpoint.zone,
                role=hosts.Role.ENDPOINT,
                address='127.0.0.1',
                port=1,
                state='leaving' if name in self.leaving_hosts else 'live',
                service=self._services[name],
            )
            for name, endpoint in self.endpoints.items()
        ]
        return hosts.HostList(
            version=len(self.leaving_hosts) + 1, hosts=endpoint_hosts
        )

    def change_membership(self, endpoint: str, state: typing.Any) -> None:
        """Append an operator's change of an endpoint's state to the log."""
        self.log.append(
            records.FLEET_STREAM,
            records.MembershipChange(
                id=f'member-{self.next_id()}',
                author='operator',
                at=self.sim.now,
                endpoint=endpoint,
                state=state,
            ),
        )

    def mint_ticket(self, service: str) -> str:
        """Return a ticket of a random live endpoint of ``service``."""
        agents = [
            agent
            for name, agent in sorted(self.agents.items())
            if self._services[name] == service and agent.alive
        ]
        agent = self.sim.rng.choice(agents)
        return ticket_module.mint(
            ticket_module.Ticket(
                organisation=fleets.ORGANISATION,
                endpoint=agent.name,
                incarnation=agent.kernel.incarnation,
                nonce=f'{self.sim.rng.getrandbits(64):x}',
                expires=self.sim.now + datetime.timedelta(minutes=10),
            ),
            SYSTEM_KEY,
        )

    def submit(
        self,
        operation: str,
        entry: str,
        *,
        body: bytes = b'{}',
        key: str = '',
        deadline_ms: int = 5000,
        delay_ms: float = 0,
    ) -> Submission:
        """Send a request, which arrives at the entry after ``delay_ms``."""
        streamed = operation == 'completions'
        call = call_module.Call(
            call_id=f'call-{self.next_id()}',
            organisation=fleets.ORGANISATION,
            service='llm' if streamed else 'till',
            operation=operation,
            priority=fleet.Priority.INTERACTIVE,
            repeatable=operation != 'job',
            streamed=streamed,
            body=body,
            deadline=self.sim.now + deadline_ms * sim_module.MILLISECOND,
            received_at=self.sim.now,
            key=key,
        )
        submission = Submission(call=call, entry=entry)
        self.submissions.append(submission)
        self.sim.after(
            delay_ms, lambda: self.entries[entry].submit(submission)
        )
        self.sim.run(0)
        return submission
