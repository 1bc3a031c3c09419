"""An agent's part in a rank group: the machines, wired to I/O."""

import asyncio
from collections import abc
import random
import typing

from aspenfold._internal.expertmaps import leader_machine
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.expertmaps import rank_machine
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import agent_client
from aspenfold._internal.network import codec
from aspenfold._internal.network import endpoint_client
from aspenfold._internal.observability import events
from aspenfold._internal.rpc import aspenfold_pb2 as pb

POLL = 0.1
"""Seconds between two looks at the engine's step."""

EngineOrder = messages.OrderReset | messages.OrderPrepare | messages.OrderGrant
Spawn = abc.Callable[[abc.Coroutine[typing.Any, typing.Any, None]], object]


class GroupMember:
    """Runs the rank's machine, and the leader's on the first rank."""

    def __init__(
        self,
        *,
        group: str,
        rank: int,
        incarnation: str,
        clock: clock_module.Clock,
        rng: random.Random,
        clients: agent_client.AgentClients,
        endpoint: endpoint_client.EndpointClient,
        spawn: Spawn,
    ) -> None:
        self._group = group
        self._number = rank
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._clients = clients
        self._endpoint = endpoint
        self._spawn = spawn
        self._addresses: dict[int, tuple[str, int]] = {}
        self._rank: rank_machine.RankMachine | None = None
        self._leader: leader_machine.LeaderMachine | None = None
        self._plan: tuple[int, leader_machine.Placement] = (0, ())
        self.expert_load: list[float] = []

    @property
    def map_version(self) -> int:
        """The newest plan that this agent was told."""
        return self._plan[0]

    @property
    def map_in_use(self) -> int:
        """The map version of the step under way, 0 for none."""
        return self._rank.map_in_use if self._rank else 0

    async def run(self) -> None:
        """Follow the engine and keep the protocol going, for ever."""
        while self._rank is None:
            await self._begin()
            await asyncio.sleep(POLL)
        while True:
            await self._follow_engine(self._rank)
            if self._leader is not None:
                self._apply(self._leader.tick(self._clock.now()))
            await asyncio.sleep(POLL)

    def receive(self, message: messages.Message) -> None:
        """Take a message from another agent of the group."""
        if message.kind in messages.TO_RANKS:
            if self._rank is not None:
                self._apply(self._rank.receive(message))
        elif self._leader is not None:
            self._apply(self._leader.receive(message))

    def on_report_request(self, request: pb.ReportRequest) -> None:
        """Take the ranks' addresses and the newest plan from an entry."""
        for rank in request.ranks:
            self._addresses[rank.rank] = (rank.address, rank.port)
        if request.map_version <= self.map_version:
            return
        if not request.placement:
            return
        placement = codec.placement_from_bytes(request.placement)
        self._plan = (request.map_version, placement)
        if self._leader is not None:
            self._apply(self._leader.set_plan(*self._plan))

    async def _begin(self) -> None:
        state = await self._endpoint.fetch_state()
        if state is None:
            return
        self._rank = rank_machine.RankMachine(
            group=self._group,
            rank=self._number,
            incarnation=self._incarnation,
            prepared=state['prepared'],
            step=state['step'],
        )

    def _ensure_leader(self) -> None:
        if self._number != 0 or self._leader is not None:
            return
        version, placement = self._plan
        if not version:
            return
        self._leader = leader_machine.LeaderMachine(
            group=self._group, ranks=len(placement), rng=self._rng
        )
        self._leader.set_plan(version, placement)

    async def _follow_engine(self, rank: rank_machine.RankMachine) -> None:
        self._ensure_leader()
        state = await self._endpoint.fetch_state()
        if state is None:
            return
        self.expert_load = state.get('expert_load', [])
        runs = [
            messages.StepRun(first=first, last=last, version=version)
            for first, last, version in state['runs']
        ]
        self._apply(rank.on_engine_state(state['step'], runs))

    def _apply(self, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.SendMessage():
                    self._send(action.message)
                case _:
                    self._spawn(self._order(action))

    def _send(self, message: messages.Message) -> None:
        if message.target == self._number:
            asyncio.get_running_loop().call_soon(self.receive, message)
            return
        address = self._addresses.get(message.target)
        if address is not None:
            self._spawn(self._clients.send_group_message(*address, message))

    async def _order(self, action: EngineOrder) -> None:
        """Give the engine an order, and the machine its answer."""
        rank = self._rank
        assert rank is not None
        answer = await self._endpoint.send_order(_order_body(action))
        if answer is None:
            events.emit(
                events.Event.ORDER_REFUSED,
                group=self._group,
                rank=self._number,
                order=type(action).__name__,
                fencing=action.fencing,
            )
            self._apply(rank.on_order_failed(action))
            return
        match action:
            case messages.OrderReset(fencing=token):
                result = rank.on_engine_reset(
                    token, answer['granted_to'], answer['step']
                )
            case messages.OrderPrepare(version=version):
                result = rank.on_engine_prepared(version)
            case messages.OrderGrant(run=run, fencing=token):
                result = rank.on_engine_granted(run, token)
        self._apply(result)


def _order_body(action: EngineOrder) -> dict[str, typing.Any]:
    body: dict[str, typing.Any] = {'fencing': action.fencing}
    match action:
        case messages.OrderReset():
            body['order'] = 'reset'
        case messages.OrderPrepare(version=version, experts=experts):
            body['order'] = 'prepare'
            body['version'] = version
            body['experts'] = list(experts)
        case messages.OrderGrant(run=run):
            body['order'] = 'grant'
            body['first'] = run.first
            body['last'] = run.last
            body['version'] = run.version
    return body
