"""Runs an agent's state machines of the expert map protocol."""

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

POLL_INTERVAL_S = 0.1
"""Interval at which the engine's state is polled."""

EngineOrder = messages.OrderReset | messages.OrderPrepare | messages.OrderGrant
Spawn = abc.Callable[[abc.Coroutine[typing.Any, typing.Any, None]], object]


class GroupMember:
    """Runs the state machine of a rank, and on rank 0 also the leader's.

    The rank's machine is created once the engine has given its state, the
    leader's once an entry has sent the first map.  ``expert_load`` is the
    load of each expert as last reported by the engine.
    """

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
        self._rank_number = rank
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._clients = clients
        self._endpoint = endpoint
        self._spawn = spawn
        self._addresses: dict[int, tuple[str, int]] = {}
        self._rank_machine: rank_machine.RankMachine | None = None
        self._leader_machine: leader_machine.LeaderMachine | None = None
        self._newest_map: tuple[int, leader_machine.Placement] = (0, ())
        self.expert_load: list[float] = []

    @property
    def map_version(self) -> int:
        """The newest map version that an entry sent, 0 for none."""
        return self._newest_map[0]

    @property
    def map_in_use(self) -> int:
        """The map version of the current step, 0 for none."""
        return self._rank_machine.map_in_use if self._rank_machine else 0

    async def run(self) -> None:
        """Poll the engine and run the protocol until cancelled."""
        while self._rank_machine is None:
            await self._create_rank_machine()
            await asyncio.sleep(POLL_INTERVAL_S)
        while True:
            await self._poll_engine(self._rank_machine)
            if self._leader_machine is not None:
                self._apply(self._leader_machine.tick(self._clock.now()))
            await asyncio.sleep(POLL_INTERVAL_S)

    def receive(self, message: messages.Message) -> None:
        """Handle a message from an agent of the group."""
        if message.kind in messages.TO_RANKS:
            if self._rank_machine is not None:
                self._apply(self._rank_machine.receive(message))
        elif self._leader_machine is not None:
            self._apply(self._leader_machine.receive(message))

    def on_report_request(self, request: pb.ReportRequest) -> None:
        """Store the ranks' addresses and the newest map from an entry."""
        for rank in request.ranks:
            self._addresses[rank.rank] = (rank.address, rank.port)
        if request.map_version <= self.map_version:
            return
        if not request.placement:
            return
        placement = codec.placement_from_bytes(request.placement)
        self._newest_map = (request.map_version, placement)
        if self._leader_machine is not None:
            self._apply(self._leader_machine.set_plan(*self._newest_map))

    async def _create_rank_machine(self) -> None:
        """Create the machine if the engine gives its state."""
        state = await self._endpoint.fetch_state()
        if state is None:
            return
        self._rank_machine = rank_machine.RankMachine(
            group=self._group,
            rank=self._rank_number,
            incarnation=self._incarnation,
            prepared=state['prepared'],
            step=state['step'],
        )

    def _ensure_leader_machine(self) -> None:
        """Create the machine on rank 0 once there is a map."""
        if self._rank_number != 0 or self._leader_machine is not None:
            return
        version, placement = self._newest_map
        if not version:
            return
        self._leader_machine = leader_machine.LeaderMachine(
            group=self._group, ranks=len(placement), rng=self._rng
        )
        self._leader_machine.set_plan(version, placement)

    async def _poll_engine(self, machine: rank_machine.RankMachine) -> None:
        self._ensure_leader_machine()
        state = await self._endpoint.fetch_state()
        if state is None:
            return
        self.expert_load = state.get('expert_load', [])
        runs = [
            messages.StepRun(first=first, last=last, version=version)
            for first, last, version in state['runs']
        ]
        self._apply(machine.on_engine_state(state['step'], runs))

    def _apply(self, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.SendMessage():
                    self._send_message(action.message)
                case _:
                    self._spawn(self._send_order(action))

    def _send_message(self, message: messages.Message) -> None:
        if message.target == self._rank_number:
            asyncio.get_running_loop().call_soon(self.receive, message)
            return
        address = self._addresses.get(message.target)
        if address is not None:
            self._spawn(self._clients.send_group_message(*address, message))

    async def _send_order(self, action: EngineOrder) -> None:
        """Send an order to the engine and pass its response on."""
        machine = self._rank_machine
        assert machine is not None
        response = await self._endpoint.send_order(_order_body(action))
        if response is None:
            events.emit(
                events.Event.ORDER_REFUSED,
                group=self._group,
                rank=self._rank_number,
                order=type(action).__name__,
                fencing=action.token,
            )
            self._apply(machine.on_order_failed(action))
            return
        match action:
            case messages.OrderReset(token=token):
                result = machine.on_engine_reset(
                    token, response['granted_to'], response['step']
                )
            case messages.OrderPrepare(version=version):
                result = machine.on_engine_prepared(version)
            case messages.OrderGrant(run=run, token=token):
                result = machine.on_engine_granted(run, token)
        self._apply(result)


def _order_body(action: EngineOrder) -> dict[str, typing.Any]:
    body: dict[str, typing.Any] = {'fencing': action.token}
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
