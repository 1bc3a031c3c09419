"""The agent's process: the one small process beside each endpoint."""

import asyncio
import json
import random
import secrets
import signal

import grpclib.server

from aspenfold._internal.attempts import actions
from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal import exceptions
from aspenfold._internal.expertmaps import messages
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.kernel import frames
from aspenfold._internal.models import settings
from aspenfold._internal.network import agent_client
from aspenfold._internal.network import agent_service
from aspenfold._internal.network import auth
from aspenfold._internal.network import codec
from aspenfold._internal.network import endpoint_client
from aspenfold._internal.network import frame_queue
from aspenfold._internal.network import listen
from aspenfold._internal.observability import events
from aspenfold._internal.processes import group_member
from aspenfold._internal.processes import tasks
from aspenfold._internal.rpc import aspenfold_pb2 as pb

TICK = 0.05
"""Seconds between two looks at the kernel's timers."""

SPARE_THREADS = 4
"""Endpoint threads for orders and state beside those for attempts."""

INCARNATION_BYTES = 8

LINGER = 0.3
"""Seconds that finished answers get to leave before the exit."""


class AgentProcess:
    """Carries out the agent kernel's actions; the sink of answers."""

    def __init__(
        self, *, cfg: settings.AgentSettings, clock: clock_module.Clock
    ) -> None:
        self.name = cfg.name
        self.kernel = agent_kernel.AgentKernel(
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            capacity=cfg.capacity,
            answer_memory=cfg.answer_memory_bytes,
        )
        self._cfg = cfg
        self._clock = clock
        self._version = 0
        self._queues: dict[int, frame_queue.FrameQueue] = {}
        self._tasks = tasks.BackgroundTasks()
        self._clients = agent_client.AgentClients(system_key=cfg.system_key)
        self._stop = asyncio.Event()
        self._member: group_member.GroupMember | None = None
        self._endpoint = self._make_endpoint()

    async def run(self) -> None:
        """Serve until a signal, then drain and return."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        service = agent_service.AgentService(handler=self)
        server = grpclib.server.Server([service])
        auth.require_system_key(server, self._cfg.system_key)
        port = await listen.start(server, self._cfg.listen, 'listen')
        self._join_group()
        self._tasks.spawn(self._tick())
        print(json.dumps({'ready': self.name, 'port': port}), flush=True)
        events.emit(
            events.Event.STARTED,
            process='agent',
            name=self.name,
            incarnation=self.kernel.incarnation,
        )
        await self._stop.wait()
        await self._drain()
        server.close()
        await server.wait_closed()
        self._tasks.cancel()
        self._endpoint.close()
        self._clients.close()
        events.emit(events.Event.STOPPED, name=self.name)

    # -- from the RPC service --------------------------------------------

    def execute(
        self,
        number: int,
        queue: frame_queue.FrameQueue,
        req: frames.AttemptRequest,
    ) -> None:
        """Take an attempt whose frames go to ``queue``."""
        self._queues[number] = queue
        self._apply(self.kernel.execute(number, req, self._clock.now()))

    def on_stream_closed(self, number: int) -> None:
        """The reader of a leg is gone or has all."""
        self._queues.pop(number, None)
        self._apply(self.kernel.on_stream_closed(number))

    def cancel(self, attempt_id: str) -> None:
        """Nobody waits for the attempt."""
        self._apply(self.kernel.cancel(attempt_id))

    def on_group_message(self, message: messages.Message) -> None:
        """A message of the expert map protocol arrived."""
        if self._member is not None:
            self._member.receive(message)

    def on_report(self, request: pb.ReportRequest) -> pb.ReportReply:
        """Take an entry's news and give the report."""
        self._version = max(self._version, request.version)
        self.kernel.on_drain_order(
            frames.DrainOrder(
                drain=request.drain,
                token=request.drain_token,
                leaving=request.leaving,
            )
        )
        reply = pb.ReportReply(
            endpoint=self.name,
            incarnation=self.kernel.incarnation,
            load=codec.load_to_pb(self.kernel.load),
            version=self._version,
        )
        if self._member is not None:
            self._member.on_report_request(request)
            reply.map_version = self._member.map_version
            reply.map_in_use = self._member.map_in_use
            reply.expert_load.extend(self._member.expert_load)
        return reply

    # -- from the endpoint, on the loop ----------------------------------

    def on_head(self, attempt_id: str, head: frames.Head) -> None:
        """The endpoint began to answer."""
        self._apply(self.kernel.on_endpoint_head(attempt_id, head))

    def on_items(self, attempt_id: str, items: tuple[bytes, ...]) -> None:
        """The endpoint gave the next items."""
        self._apply(self.kernel.on_endpoint_items(attempt_id, items))

    def on_end(self, attempt_id: str) -> None:
        """The answer is whole."""
        events.emit(events.Event.ATTEMPT_ENDED, attempt=attempt_id)
        self._apply(
            self.kernel.on_endpoint_ended(attempt_id, self._clock.now())
        )

    def on_failure(self, attempt_id: str, failure: exceptions.Failure) -> None:
        """There is no whole answer."""
        events.emit(
            events.Event.ATTEMPT_REFUSED,
            attempt=attempt_id,
            code=int(failure.code),
        )
        self._apply(self.kernel.on_endpoint_failed(attempt_id, failure))

    # -- parts -----------------------------------------------------------

    def _make_endpoint(self) -> endpoint_client.EndpointClient:
        cfg = self._cfg
        config = endpoint_client.EndpointConfig(
            base_url=cfg.endpoint.url,
            path=cfg.endpoint_path,
            kind=cfg.kind,
            operations=cfg.operations,
        )
        threads = (
            cfg.capacity * agent_kernel.MAX_ACCEPTED_RATIO + SPARE_THREADS
        )
        return endpoint_client.EndpointClient(
            config=config,
            threads=threads,
            loop=asyncio.get_running_loop(),
            sink=self,
        )

    def _join_group(self) -> None:
        if not self._cfg.group:
            return
        self._member = group_member.GroupMember(
            group=self._cfg.group,
            rank=self._cfg.rank,
            incarnation=self.kernel.incarnation,
            clock=self._clock,
            rng=random.Random(secrets.randbits(64)),
            clients=self._clients,
            endpoint=self._endpoint,
            spawn=self._tasks.spawn,
        )
        self._tasks.spawn(self._member.run())

    async def _drain(self) -> None:
        events.emit(events.Event.DRAINING, name=self.name)
        self.kernel.drain_permanently()
        limit = self._cfg.drain_limit_ms / 1000
        try:
            async with asyncio.timeout(limit):
                while self._queues or not self.kernel.may_exit:
                    await asyncio.sleep(TICK)
        except TimeoutError:
            events.emit(
                events.Event.DRAIN_LIMIT,
                name=self.name,
                running=self.kernel.running,
            )
            failure = exceptions.Failure(
                code=exceptions.Code.ANSWER_CUT,
                detail='the agent reached its drain limit',
            )
            self._apply(self.kernel.abort_running(failure))
        # Entries learn from these last reports that it has drained.
        await asyncio.sleep(LINGER)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self._apply(self.kernel.tick(self._clock.now()))

    def _apply(self, result: list[actions.Action]) -> None:
        for action in result:
            match action:
                case actions.Send(stream_id=number, frame=frame):
                    queue = self._queues.get(number)
                    if queue is not None:
                        queue.put(frame)
                case actions.CloseAnswerStream(stream_id=number):
                    queue = self._queues.get(number)
                    if queue is not None:
                        queue.close()
                case actions.CallEndpoint(request=request):
                    events.emit(
                        events.Event.ATTEMPT_STARTED,
                        attempt=request.attempt_id,
                        call=request.call_id,
                        operation=request.operation,
                    )
                    self._endpoint.start(request)
                case actions.CancelEndpoint(attempt_id=attempt_id):
                    self._endpoint.cancel(attempt_id)


def run(cfg: settings.AgentSettings) -> None:
    """Run an agent until it is told to stop."""
    events.configure(cfg.log_file)

    async def main() -> None:
        process = AgentProcess(cfg=cfg, clock=clock_module.SystemClock())
        await process.run()

    asyncio.run(main())
