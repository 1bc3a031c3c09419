"""True entry and agent kernels over a scripted network.

Only what is outside the kernels is a fake: the network, the log, the
host list, endpoints and callers.  Every endpoint records what it ran;
every caller what it was told: the history that ``history`` checks.
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
KEY = 'test-system-key-0123'
CUT_NOTICED_MS = 400
APPEND_RETRY_MS = 200
APPEND_LIFE_MS = 3000
ITEM_MS = 10
POLL_MS = 30
EXIT_MS = 300


@dataclasses.dataclass(kw_only=True)
class Execution:
    """One run at an endpoint."""

    at: datetime.datetime
    endpoint: str
    incarnation: str
    attempt_id: str
    call_id: str
    body: bytes


@dataclasses.dataclass(kw_only=True)
class Submission:
    """One request of a caller and all that it was told."""

    call: call_module.Call
    entry: str
    items: list[bytes] = dataclasses.field(default_factory=list)
    firsts: list[int] = dataclasses.field(default_factory=list)
    whole: bool = False
    failure: exceptions.Failure | None = None
    answers: int = 0

    @property
    def outcome(self) -> str:
        """``whole``, a code's name, or ``none`` without an answer."""
        if self.whole:
            return 'whole'
        return self.failure.code.name if self.failure else 'none'


def expected(body: bytes, streamed: bool) -> list[bytes]:
    """Return the items of the right answer to ``body``."""
    if not streamed:
        return [b'ran ' + body]
    return [b'%s:%d' % (body, i) for i in range(len(body) % 7 + 4)]


class EndpointNode(sim_module.SimulatedProcess):
    """A fake endpoint: runs what it is handed and records it.

    ``lose_answers``: so many next runs happen but are not answered.
    ``service_ms``: time to the first item.
    """

    def __init__(
        self, *, world: 'SimulatedCluster', name: str, zone: str
    ) -> None:
        super().__init__(sim=world.sim, name=name, zone=zone)
        self.world = world
        self.lose_answers = 0
        self.service_ms = 20.0
        self.cancelled: set[str] = set()

    def run(self, agent: 'AgentNode', req: frames.AttemptRequest) -> None:
        """Execute the request, then answer the agent."""
        self.world.executions.append(
            Execution(
                at=self.sim.now,
                endpoint=self.name,
                incarnation=agent.kernel.incarnation,
                attempt_id=req.attempt_id,
                call_id=req.call_id,
                body=req.body,
            )
        )
        attempt = req.attempt_id
        if self.lose_answers > 0:
            self.lose_answers -= 1
            failure = exceptions.Failure(
                code=exceptions.Code.FATE_UNKNOWN, detail='answer lost'
            )
            self._later(
                0,
                agent,
                lambda: agent.kernel.on_endpoint_failed(attempt, failure),
            )
            return
        items = expected(req.body, req.streamed)[req.resume_from :]
        head = frames.Head(status=200, content_type='text/plain')
        self._later(
            0, agent, lambda: agent.kernel.on_endpoint_head(attempt, head)
        )
        for number, item in enumerate(items):
            self._later(
                number * ITEM_MS,
                agent,
                lambda item=item: agent.kernel.on_endpoint_items(
                    attempt, (item,)
                ),
            )
        self._later(
            len(items) * ITEM_MS,
            agent,
            lambda: agent.kernel.on_endpoint_ended(attempt, self.sim.now),
        )

    def _later(
        self,
        ms: float,
        agent: 'AgentNode',
        work: abc.Callable[[], list[agent_actions.Action]],
    ) -> None:
        def on_agent() -> None:
            agent.dispatch(lambda: agent.apply(work()))

        self.sim.after(self.service_ms + ms, lambda: self.dispatch(on_agent))


class AgentNode(sim_module.SimulatedProcess):
    """One incarnation of an agent."""

    def __init__(
        self, *, world: 'SimulatedCluster', name: str, zone: str, number: int
    ) -> None:
        super().__init__(sim=world.sim, name=name, zone=zone)
        self.world = world
        self.kernel = agent_kernel.AgentKernel(
            incarnation=f'{name}-{number}',
            capacity=8,
            answer_memory=1 << 20,
        )
        self.legs: dict[int, Leg] = {}
        self.sim.every(20, lambda: self.dispatch(self._tick))

    @property
    def endpoint(self) -> EndpointNode:
        """The endpoint beside this agent."""
        return self.world.endpoints[self.name]

    def _tick(self) -> None:
        self.apply(self.kernel.tick(self.sim.now))

    def execute(self, leg: 'Leg', req: frames.AttemptRequest) -> None:
        """Take a request that arrived on ``leg``."""
        self.legs[leg.number] = leg
        self.apply(self.kernel.execute(leg.number, req, self.sim.now))

    def apply(self, result: list[agent_actions.Action]) -> None:
        """Carry out the kernel's actions."""
        for action in result:
            match action:
                case agent_actions.Send(stream_id=number, frame=frame):
                    self.legs[number].send(frame)
                case agent_actions.CloseAnswerStream(stream_id=number):
                    self.legs.pop(number).close()
                case agent_actions.CallEndpoint(request=req):
                    self.sim.after(
                        self.world.network.draw_delay_ms(),
                        lambda req=req: self.endpoint.run(self, req),
                    )
                case agent_actions.CancelEndpoint(attempt_id=attempt):
                    self.endpoint.cancelled.add(attempt)


class Leg:
    """A stream from an agent to an entry, with the network's faults."""

    def __init__(
        self,
        *,
        world: 'SimulatedCluster',
        entry_leg: int,
        entry: 'EntryNode',
        agent: AgentNode,
        silent: bool,
    ) -> None:
        self.number = world.next_number()
        self.entry_leg = entry_leg
        self.entry = entry
        self.agent = agent
        self._world = world
        self._silent = silent
        self._last_ms = 0.0

    @property
    def up(self) -> bool:
        """Whether both ends live and reach each other."""
        is_connected = self._world.network.is_connected
        return self.agent.alive and is_connected(
            self.entry.zone, self.agent.zone
        )

    def send(self, frame: frames.Frame) -> None:
        """Carry a frame: late, out of order, twice."""
        if self._silent or not self.up:
            return
        network = self._world.network
        for _ in range(max(1, network.draw_copies())):
            delay = network.draw_delay_ms()
            self._last_ms = max(self._last_ms, self._world.sim.ms + delay)
            self._world.sim.after(
                delay, lambda: self.entry.frame(self.entry_leg, frame)
            )

    def close(self) -> None:
        """Nothing follows; a flow that is not at its end loses the leg."""
        wait = max(0.0, self._last_ms - self._world.sim.ms) + 2
        self._world.sim.after(wait, self.lose)

    def lose(self) -> None:
        """The entry notices that the leg is gone."""
        if not self._silent:
            self.entry.leg_lost(self.entry_leg, True)

    def drop(self) -> None:
        """The agent notices that the reader is gone."""
        self.agent.dispatch(
            lambda: self.agent.apply(
                self.agent.kernel.on_stream_closed(self.number)
            )
        )


class EntryNode(sim_module.SimulatedProcess):
    """An entry's kernel and its I/O by the scripted network."""

    def __init__(
        self,
        *,
        world: 'SimulatedCluster',
        name: str,
        zone: str,
        claim_streams: int = 1,
    ) -> None:
        super().__init__(sim=world.sim, name=name, zone=zone)
        self.world = world
        self.kernel = entry_kernel.EntryKernel(
            name=name,
            zone=zone,
            system_key=KEY,
            claim_streams=claim_streams,
            rng=world.sim.rng,
        )
        self._streams = claim_streams
        self.submissions: dict[str, Submission] = {}
        # Entries read the log at different moments.
        self.sim.after(
            world.sim.rng.random() * POLL_MS,
            lambda: self.sim.every(POLL_MS, lambda: self.dispatch(self._poll)),
        )
        self.sim.every(10, lambda: self.dispatch(self._tick))
        self.sim.every(200, lambda: self.dispatch(self._ask_reports))

    @property
    def platform_up(self) -> bool:
        """Whether this entry can use the platform."""
        connected = self.world.network.is_connected(self.zone, 'platform')
        return connected and not self.world.log.down

    def submit(self, submission: Submission) -> None:
        """Take a caller's request."""

        def work() -> None:
            call = submission.call
            self.submissions[call.call_id] = submission
            self.apply(self.kernel.submit(call, self.sim.now))

        self.dispatch(work)

    def frame(self, leg: int, frame: frames.Frame) -> None:
        """A frame arrived."""
        self.dispatch(
            lambda: self.apply(self.kernel.on_frame(leg, frame, self.sim.now))
        )

    def leg_lost(self, leg: int, sent: bool) -> None:
        """A leg broke."""
        self.dispatch(
            lambda: self.apply(
                self.kernel.on_stream_lost(leg, sent, self.sim.now)
            )
        )

    def apply(self, result: list[actions.Action]) -> None:
        """Carry out the kernel's actions."""
        for action in result:
            match action:
                case actions.OpenAnswerStream():
                    self._open(action)
                case actions.AppendClaim(stream=stream, claim=claim):
                    self._append(stream, claim, self.sim.ms)
                case actions.DeliverItems():
                    submission = self.submissions[action.call_id]
                    submission.firsts.append(action.first)
                    submission.items.extend(action.items)
                case actions.Finish(call_id=call_id):
                    self.submissions[call_id].whole = True
                    self._answered(call_id)
                case actions.Fail(call_id=call_id, failure=failure):
                    self.submissions[call_id].failure = failure
                    self._answered(call_id)

    def _answered(self, call_id: str) -> None:
        submission = self.submissions[call_id]
        submission.answers += 1

    def _open(self, action: actions.OpenAnswerStream) -> None:
        world = self.world
        agent = world.agents[action.host.name]
        if not agent.alive:
            self.sim.after(2, lambda: self.leg_lost(action.stream_id, False))
            return
        if not world.network.is_connected(self.zone, agent.zone):
            self.sim.after(
                CUT_NOTICED_MS, lambda: self.leg_lost(action.stream_id, False)
            )
            return
        copies = world.network.draw_copies()
        if not copies:
            self.sim.after(50, lambda: self.leg_lost(action.stream_id, True))
        for copy in range(copies):
            leg = Leg(
                world=world,
                entry_leg=action.stream_id,
                entry=self,
                agent=agent,
                silent=copy > 0,
            )
            world.legs.append(leg)
            self.sim.after(
                world.network.draw_delay_ms(),
                lambda leg=leg: agent.dispatch(
                    lambda: agent.execute(leg, action.request)
                ),
            )

    def _append(
        self, stream: str, claim: records.Claim, began_ms: int
    ) -> None:
        """Append as the claim writer does: again until it is answered."""

        def work() -> None:
            if self.sim.ms > began_ms + APPEND_LIFE_MS:
                return
            if not self.platform_up:
                self._retry_append(stream, claim, began_ms)
                return
            batch = records.ClaimBatch(
                id=f'{claim.attempt_id}-{self.sim.ms}',
                author=self.name,
                at=self.sim.now,
                claims=[claim],
            )
            self.world.log.append(stream, batch)
            if self.sim.rng.random() < self.world.lost_append_answers:
                self._retry_append(stream, claim, began_ms)

        self.sim.after(
            self.world.append_ms * (0.5 + self.sim.rng.random()),
            lambda: self.dispatch(work),
        )

    def _retry_append(
        self, stream: str, claim: records.Claim, began_ms: int
    ) -> None:
        self.sim.after(
            APPEND_RETRY_MS, lambda: self._append(stream, claim, began_ms)
        )

    def _poll(self) -> None:
        if not self.platform_up:
            self.kernel.on_log_lost()
            return
        log = self.world.log
        self.kernel.on_host_list(self.world.listing())
        position = self.kernel.fleet_reader.position
        self.kernel.on_fleet_page(log.read(records.FLEET_STREAM, position))
        for index in range(self._streams):
            stream = records.claim_stream(index)
            page = log.read(stream, self.kernel.claims_position(stream))
            self.apply(self.kernel.on_claims_page(stream, page, self.sim.now))

    def _tick(self) -> None:
        self.apply(self.kernel.tick(self.sim.now))

    def _ask_reports(self) -> None:
        for known in self.kernel.view.endpoints():
            agent = self.world.agents.get(known.name)
            if agent is None or not agent.alive:
                continue
            if not self.world.network.is_connected(self.zone, agent.zone):
                continue
            newest = self.kernel.fleet_reader.state.next_offset - 1
            order = self.kernel.view.drain_order(known.name, newest)
            self.sim.after(
                self.world.network.draw_delay_ms(),
                lambda agent=agent, order=order: self._report(agent, order),
            )

    def _report(self, agent: AgentNode, order: frames.DrainOrder) -> None:
        def on_agent() -> None:
            agent.kernel.on_drain_order(order)
            load = agent.kernel.load
            self.sim.after(
                self.world.network.draw_delay_ms(),
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
    """Entries, agents, endpoints, the platform, and the history."""

    def __init__(
        self, *, seed: int, entries: int = 2, endpoints: int = 2
    ) -> None:
        self.sim = sim_module.Simulation(seed=seed)
        self.network = sim_module.Network(sim=self.sim)
        self.log = fake_log.FakeLog()
        self.append_ms = 4.0
        self.lost_append_answers = 0.0
        self.executions: list[Execution] = []
        self.submissions: list[Submission] = []
        self.legs: list[Leg] = []
        self.agents: dict[str, AgentNode] = {}
        self.endpoints: dict[str, EndpointNode] = {}
        self.entries: dict[str, EntryNode] = {}
        self.leaving: set[str] = set()
        self.left_at: dict[str, datetime.datetime] = {}
        self._services: dict[str, str] = {}
        self._numbers = 0
        self._put_fleet()
        for number in range(endpoints):
            zone = fleets.ZONES[number % len(fleets.ZONES)]
            self.add_endpoint(f'till-{number}', 'till', zone)
            self.add_endpoint(f'llm-{number}', 'llm', zone)
        for number in range(entries):
            zone = fleets.ZONES[number % len(fleets.ZONES)]
            name = f'entry-{number}'
            self.entries[name] = EntryNode(world=self, name=name, zone=zone)
        self.sim.run(800)

    def next_number(self) -> int:
        """Return a number that was not used before."""
        self._numbers += 1
        return self._numbers

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
        """Add an endpoint with its agent."""
        self._services[name] = service
        self.endpoints[name] = EndpointNode(world=self, name=name, zone=zone)
        self.start_agent(name)

    def start_agent(self, name: str) -> None:
        """Start a new incarnation of an agent, without memory."""
        before = self.agents.get(name)
        if before is not None:
            self.kill_agent(name)
        self.agents[name] = AgentNode(
            world=self,
            name=name,
            zone=self.endpoints[name].zone,
            number=self.next_number(),
        )

    def kill_agent(self, name: str) -> None:
        """Kill an agent; entries lose their legs to it."""
        agent = self.agents[name]
        agent.kill()
        self._break_legs(lambda entry, other: other is agent, 5)

    def kill_entry(self, name: str) -> None:
        """Kill an entry; its callers get no answer."""
        entry = self.entries[name]
        entry.kill()
        for leg in self.legs:
            if leg.entry is entry:
                leg.drop()

    def terminate_agent(self, name: str) -> None:
        """Send SIGTERM to an agent; it exits once it may."""
        agent = self.agents[name]

        def leave() -> None:
            agent.kernel.drain_permanently()
            self.left_at.setdefault(agent.kernel.incarnation, self.sim.now)
            exit_if_done()

        def exit_if_done() -> None:
            if agent.kernel.may_exit:
                self.sim.after(EXIT_MS, lambda: self._exit(agent))
            else:
                self.sim.after(20, lambda: agent.dispatch(exit_if_done))

        agent.dispatch(leave)

    def _exit(self, agent: AgentNode) -> None:
        if self.agents[agent.name] is agent and agent.alive:
            self.kill_agent(agent.name)

    def terminate_entry(self, name: str) -> None:
        """Send SIGTERM to an entry; it exits once it may."""
        entry = self.entries[name]

        def exit_if_done() -> None:
            if entry.kernel.may_exit:
                self.sim.after(EXIT_MS, lambda: self.kill_entry(name))
            else:
                self.sim.after(20, lambda: entry.dispatch(exit_if_done))

        def leave() -> None:
            entry.kernel.draining = True
            exit_if_done()

        entry.dispatch(leave)

    def cut(self, one: str, two: str) -> None:
        """Separate two zones; legs between them break after a while."""
        self.network.partition(one, two)
        self._break_legs(
            lambda entry, agent: {entry.zone, agent.zone} == {one, two},
            CUT_NOTICED_MS,
        )

    def break_legs(self) -> None:
        """Break every leg that is open now."""
        self._break_legs(lambda entry, agent: True, 0)
        self.legs.clear()

    def _break_legs(
        self,
        which: abc.Callable[[EntryNode, AgentNode], bool],
        after_ms: float,
    ) -> None:
        for leg in self.legs:
            if which(leg.entry, leg.agent):
                leg.drop()
                self.sim.after(after_ms, leg.lose)

    def listing(self) -> hosts.HostList:
        """Return the host list as the platform shows it."""
        listed = [
            hosts.Host(
                name=name,
                availability_zone=node.zone,
                role=hosts.Role.ENDPOINT,
                address='127.0.0.1',
                port=1,
                state='leaving' if name in self.leaving else 'live',
                service=self._services[name],
            )
            for name, node in self.endpoints.items()
        ]
        return hosts.HostList(version=len(self.leaving) + 1, hosts=listed)

    def member(self, endpoint: str, state: typing.Any) -> None:
        """Append an operator's change of an endpoint's state."""
        self.log.append(
            records.FLEET_STREAM,
            records.MembershipChange(
                id=f'member-{self.next_number()}',
                author='operator',
                at=self.sim.now,
                endpoint=endpoint,
                state=state,
            ),
        )

    def ticket(self, service: str) -> str:
        """Return a ticket of some endpoint of ``service``."""
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
            KEY,
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
        """Send a request to an entry; it arrives ``delay_ms`` later."""
        streamed = operation == 'completions'
        call = call_module.Call(
            call_id=f'call-{self.next_number()}',
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
