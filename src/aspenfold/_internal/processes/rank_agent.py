"""The rank agent: forwards a leader's requests to the engine on its host.

If the engine does not respond, the leader's connection is closed without a
response.
"""

import asyncio
from collections import abc
import contextlib
import datetime
import signal

from aspenfold._internal.gateway import body_budget
from aspenfold._internal.gateway import plan
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import caller_memory
from aspenfold._internal.network import http1_server
from aspenfold._internal.network import port_errors
from aspenfold._internal.observability import events

DRAIN_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time for the requests in flight to end.

Longer than the timeout of a request to the engine.
"""

DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=10)

LEADERS_RATIO = 0.5
"""Part of a process's sockets for leaders.  A request takes one to the engine,
too."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class _RequestMemory:
    """The memory of leaders' requests."""

    def __init__(self, *, memory_bytes: int) -> None:
        self.bodies: caller_memory.Budget = body_budget.for_memory(
            memory_bytes
        )
        self.input: caller_memory.Budget = body_budget.for_input(memory_bytes)

    def refuse(self, headers: caller_memory.Headers) -> caller_memory.Refusal:
        """Return the response to a request without room."""
        return caller_memory.Refusal(status=503, headers=[], body=b'')


class RankAgent:
    """Forwards requests for one engine.

    ``forwarded`` counts requests with a response of the engine, and
    ``engine_failures`` those without.
    """

    def __init__(
        self,
        *,
        cfg: settings.RankAgentSettings,
        engine: ports.Forwarder,
        read_targets: abc.Collection[bytes],
        order_target: bytes,
        clock: clock_module.Clock,
    ) -> None:
        """Forward GETs of ``read_targets`` and POSTs to ``order_target``.

        All other requests get the status 404.
        """
        self._cfg = cfg
        self._engine = engine
        self._read_targets = read_targets
        self._order_target = order_target
        self._stop = asyncio.Event()
        self._server = http1_server.Server(
            handler=self._handle_request,
            clock=clock,
            limits=lambda: plan.DEFAULT_LIMITS,
            memory=_RequestMemory(memory_bytes=cfg.memory_bytes),
            max_connections=int(cfg.max_sockets * LEADERS_RATIO),
        )
        self.forwarded = 0
        self.engine_failures = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)
        await self.start()
        await self._stop.wait()
        await self.drain()
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)

    async def start(self) -> None:
        """Listen.  Raises a ``SettingsError`` if the port is unavailable."""
        address = self._cfg.listen
        try:
            await self._server.start(address.host, address.port)
        except OSError as exc:
            raise port_errors.port_unavailable(
                where=str(address), field='listen', exc=exc
            ) from exc
        events.emit(
            events.Event.STARTED,
            process='rank-agent',
            name=self._cfg.name,
            zone=self._cfg.availability_zone,
            engine=str(self._cfg.engine),
        )

    async def drain(self) -> None:
        """Finish the requests in flight, and stop serving.

        Idle connections are closed, so that no further request arrives
        and is lost when the process exits.
        """
        self._server.closing = True
        self._server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT.total_seconds()):
                while self._server.count_busy():
                    self._server.close_idle()
                    await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())
        self._server.close_idle()
        in_flight = self._server.count_busy()
        if in_flight:
            events.emit(
                events.Event.DRAIN_LIMIT,
                name=self._cfg.name,
                in_flight=in_flight,
            )
        events.emit(
            events.Event.STOPPED,
            name=self._cfg.name,
            passed_on=self.forwarded,
            silent=self.engine_failures,
        )

    def _on_reload_signal(self) -> None:
        """Log SIGHUP; the settings cannot change while the program runs."""
        events.emit(events.Event.RELOADED, name=self._cfg.name)

    async def _handle_request(
        self,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        if not self._is_allowed(request):
            _send_response(response, 404, b'')
            return
        await self._forward(request, response)

    async def _forward(
        self,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        engine = self._cfg.engine
        try:
            status, body = await self._engine.forward(
                engine.host, engine.port, request.target, request.body
            )
        except ports.EngineUnavailable as exc:
            self.engine_failures += 1
            events.emit(
                events.Event.ENGINE_SILENT,
                target=request.target.decode('latin-1'),
                error=str(exc)[:200],
            )
            response.abort()
            return
        self.forwarded += 1
        _send_response(response, status, body)

    def _is_allowed(self, request: http1_server.Request) -> bool:
        if request.method == b'GET':
            return request.target in self._read_targets and not request.body
        is_order = request.method == b'POST' and bool(request.body)
        return is_order and request.target == self._order_target


def _send_response(
    response: http1_server.ResponseWriter, status: int, body: bytes
) -> None:
    length = str(len(body)).encode()
    response.start(status, [(b'content-length', length)])
    if body:
        response.write(body)
    response.end()
