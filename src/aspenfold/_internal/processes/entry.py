"""The entry process: serves callers and sends attempts to agents."""

import asyncio
from collections import abc
import datetime
import json
import random
import secrets
import signal
import typing

import grpclib.server
import orjson

from aspenfold._internal import admission
from aspenfold._internal.calls import actions
from aspenfold._internal.calls import kernel as entry_kernel
from aspenfold._internal.claims import ticket as ticket_module
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.models import hosts
from aspenfold._internal.models import settings
from aspenfold._internal.network import agent_client
from aspenfold._internal.network import auth
from aspenfold._internal.network import http_api
from aspenfold._internal.network import listen
from aspenfold._internal.network import request_validator
from aspenfold._internal.network import response_queue
from aspenfold._internal.observability import events
from aspenfold._internal.observability import metrics
from aspenfold._internal.processes import event_loop
from aspenfold._internal.processes import peer_service
from aspenfold._internal.processes import platform_feed
from aspenfold._internal.processes import report_poller
from aspenfold._internal.processes import status
from aspenfold._internal.processes import tasks
from aspenfold._internal import retries
from aspenfold._internal import routing
from aspenfold._internal.rpc import aspenfold_pb2 as pb

PLUGINS = (admission, retries, routing)
"""These packages register their policies on import."""

TICK_INTERVAL_S = 0.02
"""Interval at which the kernel's timers are checked."""

ADMIN_TIMEOUT_S = 5.0
"""Longest wait of an HTTP thread for the event loop."""

TICKET_LIFETIME = datetime.timedelta(minutes=10)
TICKET_NONCE_BYTES = 12

FLUSH_DELAY_S = 0.2
"""Time for the HTTP threads to send the last parts of answers."""

_Result = typing.TypeVar('_Result')


class EntryProcess:
    """Runs an entry: feeds events to its kernel and performs its actions."""

    def __init__(
        self, *, cfg: settings.EntrySettings, clock: clock_module.Clock
    ) -> None:
        self.name = cfg.name
        self.cfg = cfg
        self.clock = clock
        self.metrics = metrics.Metrics()
        self._rng = random.Random(secrets.randbits(128))
        self.kernel = entry_kernel.EntryKernel(
            name=cfg.name,
            zone=cfg.availability_zone,
            system_key=cfg.system_key,
            claim_streams=cfg.claim_streams,
            rng=self._rng,
        )
        self.clients = agent_client.AgentClients(system_key=cfg.system_key)
        self.tasks = tasks.BackgroundTasks()
        self._validator = request_validator.RequestValidator()
        self._loop = asyncio.get_running_loop()
        self._feed = platform_feed.PlatformFeed(entry=self, rng=self._rng)
        self._report_poller = report_poller.ReportPoller(entry=self)
        self._responses: dict[str, response_queue.ResponseQueue] = {}
        self._call_starts: dict[str, tuple[str, str, datetime.datetime]] = {}
        self._answer_streams: dict[int, asyncio.Task[None]] = {}
        self._stop = asyncio.Event()
        self._add_gauges()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stop.set)
        peer_server = grpclib.server.Server(
            [peer_service.PeerService(entry=self)]
        )
        auth.require_system_key(peer_server, self.cfg.system_key)
        peer_port = await listen.start(
            peer_server, self.cfg.peer_listen, 'peer_listen'
        )
        api = http_api.HttpApi(loop=self, cfg=self.cfg, clock=self.clock)
        server = http_api.HttpServer(api=api, cfg=self.cfg)
        port = server.start()
        self._feed.start()
        self.tasks.spawn(self._run_timers())
        self.tasks.spawn(self._report_poller.run())
        print(
            json.dumps(
                {'ready': self.name, 'port': port, 'peer_port': peer_port}
            ),
            flush=True,
        )
        events.emit(events.Event.STARTED, process='entry', name=self.name)
        await self._stop.wait()
        await self._drain()
        await self._loop.run_in_executor(None, server.stop)
        peer_server.close()
        self.tasks.cancel()
        self._feed.close()
        self.clients.close()
        events.emit(events.Event.STOPPED, name=self.name)

    def submit(
        self, raw: request_validator.RawRequest
    ) -> response_queue.ResponseQueue:
        """Submit a request; its response arrives in the returned queue."""
        response = response_queue.ResponseQueue(loop=self._loop)
        self._loop.call_soon_threadsafe(self._submit_or_fail, raw, response)
        return response

    def on_caller_left(self, request_id: str) -> None:
        """Handle a caller that closed its connection."""
        self._loop.call_soon_threadsafe(self._handle_caller_left, request_id)

    def admin(
        self, name: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Run the administrative request ``name`` and return its result."""
        handlers = {
            'status': lambda: status.report(self),
            'ready': self._readiness,
            'ticket': lambda: self._create_ticket(body),
            'explain': lambda: status.explain(self, body),
        }
        return self._run_on_loop(handlers[name])

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._run_on_loop(self.metrics.text)

    def _run_on_loop(self, work: abc.Callable[[], _Result]) -> _Result:
        async def run() -> _Result:
            return work()

        future = asyncio.run_coroutine_threadsafe(run(), self._loop)
        return future.result(ADMIN_TIMEOUT_S)

    def _submit_or_fail(
        self,
        raw: request_validator.RawRequest,
        response: response_queue.ResponseQueue,
    ) -> None:
        try:
            self._submit(raw, response)
        except Exception as exc:
            # Without a response the HTTP thread would wait forever.
            events.emit(events.Event.UNEXPECTED, error=repr(exc))
            failure = exceptions.Failure(
                code=exceptions.Code.INTERNAL,
                detail='the entry failed on this request',
                remedy='please report it with the request id',
            )
            response.put(response_queue.Failed(failure=failure))

    def _submit(
        self,
        raw: request_validator.RawRequest,
        response: response_queue.ResponseQueue,
    ) -> None:
        fleet = self.kernel.fleet
        if fleet is None:
            failure = exceptions.Failure(
                code=exceptions.Code.NO_FLEET,
                detail='this entry has no configuration yet',
                remedy='apply a fleet, or use another entry',
                retry_after=datetime.timedelta(seconds=1),
            )
            response.put(response_queue.Failed(failure=failure))
            return
        self._validator.set_fleet(fleet)
        try:
            call = self._validator.validate(raw)
        except exceptions.RequestError as exc:
            self.metrics.increment('refusals', str(int(exc.failure.code)))
            response.put(response_queue.Failed(failure=exc.failure))
            return
        self._responses[call.call_id] = response
        self._call_starts[call.call_id] = (
            call.priority.value,
            call.organisation,
            call.received_at,
        )
        self.apply(self.kernel.submit(call, self.clock.now()))

    def _handle_caller_left(self, request_id: str) -> None:
        if self._responses.pop(request_id, None) is None:
            return
        self._call_starts.pop(request_id, None)
        events.emit(events.Event.CALLER_LEFT, call=request_id)
        self.apply(self.kernel.on_caller_left(request_id))

    def _create_ticket(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        fleet = self.kernel.fleet
        if fleet is not None:
            self._validator.set_fleet(fleet)
        organisation = self._validator.authenticate(body['headers'])
        service = body.get('service')
        now = self.clock.now()
        candidates = self.kernel.view.routable(str(service), now)
        if not candidates:
            raise exceptions.RequestError(
                exceptions.Failure(
                    code=exceptions.Code.NO_ENDPOINT,
                    detail=f'no endpoint of {service!r} accepts requests',
                    field='service',
                    remedy='check the service name, or retry later',
                    retry_after=datetime.timedelta(seconds=1),
                )
            )
        least_loaded = min(candidates, key=lambda c: c.pressure)
        ticket = ticket_module.Ticket(
            organisation=organisation.name,
            endpoint=least_loaded.name,
            incarnation=least_loaded.incarnation,
            nonce=secrets.token_hex(TICKET_NONCE_BYTES),
            expires=now + TICKET_LIFETIME,
        )
        return {
            'idempotency_key': ticket_module.mint(ticket, self.cfg.system_key),
            'expires': ticket.expires.isoformat(),
        }

    @property
    def host_list(self) -> hosts.HostList:
        """The most recently read host list."""
        return self._feed.host_list

    def apply(self, new_actions: list[actions.Action]) -> None:
        """Perform the kernel's actions."""
        for action in new_actions:
            match action:
                case actions.OpenAnswerStream():
                    task = self._loop.create_task(
                        self._run_answer_stream(action)
                    )
                    self._answer_streams[action.stream_id] = task
                case actions.CloseAnswerStream(stream_id=stream_id):
                    self._close_answer_stream(stream_id)
                case actions.CancelAttempt(host=host, attempt_id=attempt_id):
                    self.tasks.spawn(
                        self.clients.cancel(
                            str(host.address), host.port, attempt_id
                        )
                    )
                case actions.AppendClaim(stream=stream, claim=claim):
                    self._feed.append_claim(stream, claim)
                case actions.DeliverHead(call_id=call_id, head=head):
                    self._put_part(call_id, head)
                case actions.DeliverItems():
                    part = response_queue.Chunk(
                        first=action.first, items=action.items
                    )
                    self._put_part(action.call_id, part)
                case actions.Finish(call_id=call_id, total=total):
                    self._end_response(
                        call_id, response_queue.Complete(total=total)
                    )
                case actions.Fail(call_id=call_id, failure=failure):
                    self._end_response(
                        call_id, response_queue.Failed(failure=failure)
                    )

    def _put_part(self, call_id: str, part: response_queue.Part) -> None:
        response = self._responses.get(call_id)
        if response is not None:
            response.put(part)

    def _end_response(
        self,
        call_id: str,
        part: response_queue.Complete | response_queue.Failed,
    ) -> None:
        self._put_part(call_id, part)
        self._responses.pop(call_id, None)
        started = self._call_starts.pop(call_id, None)
        if started is not None:
            priority, organisation, received_at = started
            latency = self.clock.now() - received_at
            self.metrics.record_latency(priority, organisation, latency)
        if isinstance(part, response_queue.Failed):
            code = int(part.failure.code)
            self.metrics.increment('refusals', str(code))
            events.emit(events.Event.CALL_FAILED, call=call_id, code=code)
            return
        self.metrics.increment('answers', 'whole')
        events.emit(events.Event.CALL_FINISHED, call=call_id)

    async def _run_answer_stream(
        self, action: actions.OpenAnswerStream
    ) -> None:
        host = action.host
        events.emit(
            events.Event.ATTEMPT_OPENED,
            call=action.request.call_id,
            attempt=action.request.attempt_id,
            endpoint=host.name,
        )
        response = self._responses.get(action.request.call_id)
        sent = True
        try:
            async for frame in self.clients.execute(
                str(host.address), host.port, action.request
            ):
                now = self.clock.now()
                self.apply(self.kernel.on_frame(action.stream_id, frame, now))
                if response is not None:
                    await response.drain()
        except agent_client.AnswerStreamLost as exc:
            sent = exc.sent
        if self._answer_streams.pop(action.stream_id, None) is None:
            return
        events.emit(
            events.Event.ATTEMPT_LOST,
            call=action.request.call_id,
            attempt=action.request.attempt_id,
            endpoint=host.name,
            sent=sent,
        )
        self.apply(
            self.kernel.on_stream_lost(
                action.stream_id, sent, self.clock.now()
            )
        )

    def _close_answer_stream(self, stream_id: int) -> None:
        task = self._answer_streams.pop(stream_id, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def fleet_since(self, have_offset: int) -> pb.FleetReply:
        """Return the fleet state if it is later than ``have_offset``."""
        state = self.kernel.fleet_reader.state
        if state.next_offset <= have_offset:
            return pb.FleetReply(offset=state.next_offset)
        return pb.FleetReply(
            offset=state.next_offset, state=orjson.dumps(state.to_json())
        )

    async def _run_timers(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.apply(self.kernel.tick(self.clock.now()))

    def _readiness(self) -> dict[str, typing.Any]:
        state = self.kernel.fleet_reader.state
        ready = state.version > 0 and not self.kernel.draining
        return {
            'ready': ready,
            'version': state.version,
            'draining': self.kernel.draining,
        }

    async def _drain(self) -> None:
        events.emit(events.Event.DRAINING, name=self.name)
        self.kernel.draining = True
        try:
            async with asyncio.timeout(self.cfg.drain_limit_ms / 1000):
                while self._responses or not self.kernel.may_exit:
                    await asyncio.sleep(TICK_INTERVAL_S)
        except TimeoutError:
            events.emit(events.Event.DRAIN_LIMIT, name=self.name)
            self._abort_calls()
        await asyncio.sleep(FLUSH_DELAY_S)

    def _abort_calls(self) -> None:
        failure = exceptions.Failure(
            code=exceptions.Code.FATE_UNKNOWN,
            detail='the entry reached its drain limit',
            remedy='submit again at another entry with the same key',
        )
        for call_id in list(self._responses):
            self.apply(self.kernel.on_caller_left(call_id))
            self._end_response(call_id, response_queue.Failed(failure=failure))

    def _add_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge('in_flight', lambda: self.kernel.in_flight)
        add_gauge(
            'config_version',
            lambda: self.kernel.fleet_reader.state.version,
        )
        add_gauge('log_up', lambda: float(self.kernel.log_up))


def run(cfg: settings.EntrySettings) -> None:
    """Run an entry until it is stopped by a signal."""
    events.configure(cfg.log_file)

    async def main() -> None:
        process = EntryProcess(cfg=cfg, clock=clock_module.SystemClock())
        await process.run()

    event_loop.run(main())
