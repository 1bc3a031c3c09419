"""The agent process: runs attempts at the endpoint on its host."""

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
from aspenfold._internal.processes import event_loop
from aspenfold._internal.processes import group_member
from aspenfold._internal.processes import tasks
from aspenfold._internal.rpc import aspenfold_pb2 as pb

TICK_INTERVAL_S = 0.05
"""Interval at which the kernel's timers are checked."""

EXTRA_ENDPOINT_THREADS = 4
"""Endpoint threads for requests other than attempts."""

INCARNATION_BYTES = 8

FLUSH_DELAY_S = 0.3
"""Time to send the last frames and reports, which say "drained"."""


class AgentProcess:
    """Runs an agent: feeds events to its kernel and performs its actions.

    It handles the calls of ``AgentService`` and receives the responses of
    ``EndpointClient``.
    """

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
        self._config_version = 0
        self._queues: dict[int, frame_queue.FrameQueue] = {}
        self._tasks = tasks.BackgroundTasks()
        self._clients = agent_client.AgentClients(system_key=cfg.system_key)
        self._stop = asyncio.Event()
        self._member: group_member.GroupMember | None = None
        self._endpoint_client = self._create_endpoint_client()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        service = agent_service.AgentService(handler=self)
        server = grpclib.server.Server([service])
        auth.require_system_key(server, self._cfg.system_key)
        port = await listen.start(server, self._cfg.listen, 'listen')
        self._join_group()
        self._tasks.spawn(self._run_timers())
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
        self._endpoint_client.close()
        self._clients.close()
        events.emit(events.Event.STOPPED, name=self.name)

    def execute(
        self,
        stream_id: int,
        queue: frame_queue.FrameQueue,
        request: frames.AttemptRequest,
    ) -> None:
        """Start or join an attempt; its frames are put into ``queue``."""
        self._queues[stream_id] = queue
        self._apply(self.kernel.execute(stream_id, request, self._clock.now()))

    def on_stream_closed(self, stream_id: int) -> None:
        """Handle the end of an answer stream, complete or not."""
        self._queues.pop(stream_id, None)
        self._apply(self.kernel.on_stream_closed(stream_id))

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt whose answer is not needed."""
        self._apply(self.kernel.cancel(attempt_id))

    def on_group_message(self, message: messages.Message) -> None:
        """Handle a message of the expert map protocol."""
        if self._member is not None:
            self._member.receive(message)

    def on_report_request(self, request: pb.ReportRequest) -> pb.ReportReply:
        """Apply an entry's report request and return this agent's report."""
        self._config_version = max(self._config_version, request.version)
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
            version=self._config_version,
        )
        if self._member is not None:
            self._member.on_report_request(request)
            reply.map_version = self._member.map_version
            reply.map_in_use = self._member.map_in_use
            reply.expert_load.extend(self._member.expert_load)
        return reply

    def on_head(self, attempt_id: str, head: frames.Head) -> None:
        """Handle the start of an endpoint's response."""
        self._apply(self.kernel.on_endpoint_head(attempt_id, head))

    def on_items(self, attempt_id: str, items: tuple[bytes, ...]) -> None:
        """Handle the next items of an endpoint's response."""
        self._apply(self.kernel.on_endpoint_items(attempt_id, items))

    def on_end(self, attempt_id: str) -> None:
        """Handle the end of a complete response."""
        events.emit(events.Event.ATTEMPT_ENDED, attempt=attempt_id)
        self._apply(
            self.kernel.on_endpoint_ended(attempt_id, self._clock.now())
        )

    def on_failure(self, attempt_id: str, failure: exceptions.Failure) -> None:
        """Handle an attempt without a complete response."""
        events.emit(
            events.Event.ATTEMPT_REFUSED,
            attempt=attempt_id,
            code=int(failure.code),
        )
        self._apply(self.kernel.on_endpoint_failed(attempt_id, failure))

    def _create_endpoint_client(self) -> endpoint_client.EndpointClient:
        cfg = self._cfg
        config = endpoint_client.EndpointConfig(
            base_url=cfg.endpoint.url,
            path=cfg.endpoint_path,
            kind=cfg.kind,
            operations=cfg.operations,
        )
        threads = (
            cfg.capacity * agent_kernel.MAX_ACCEPTED_RATIO
            + EXTRA_ENDPOINT_THREADS
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
            endpoint=self._endpoint_client,
            spawn=self._tasks.spawn,
        )
        self._tasks.spawn(self._member.run())

    async def _drain(self) -> None:
        events.emit(events.Event.DRAINING, name=self.name)
        self.kernel.drain_permanently()
        timeout_s = self._cfg.drain_limit_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                while self._queues or not self.kernel.may_exit:
                    await asyncio.sleep(TICK_INTERVAL_S)
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
        await asyncio.sleep(FLUSH_DELAY_S)

    async def _run_timers(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._apply(self.kernel.tick(self._clock.now()))

    def _apply(self, new_actions: list[actions.Action]) -> None:
        for action in new_actions:
            match action:
                case actions.Send(stream_id=stream_id, frame=frame):
                    queue = self._queues.get(stream_id)
                    if queue is not None:
                        queue.put(frame)
                case actions.CloseAnswerStream(stream_id=stream_id):
                    queue = self._queues.get(stream_id)
                    if queue is not None:
                        queue.close()
                case actions.CallEndpoint(request=request):
                    events.emit(
                        events.Event.ATTEMPT_STARTED,
                        attempt=request.attempt_id,
                        call=request.call_id,
                        operation=request.operation,
                    )
                    self._endpoint_client.start(request)
                case actions.CancelEndpoint(attempt_id=attempt_id):
                    self._endpoint_client.cancel(attempt_id)


def run(cfg: settings.AgentSettings) -> None:
    """Run an agent until it is stopped by a signal."""
    events.configure(cfg.log_file)

    async def main() -> None:
        process = AgentProcess(cfg=cfg, clock=clock_module.SystemClock())
        await process.run()

    event_loop.run(main())
