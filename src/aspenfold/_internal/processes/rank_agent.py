"""The agent on a rank's host: passes a leader's calls on to the engine.

It decides nothing and keeps nothing.  An engine's silence is passed on as
silence: the connection ends without an answer.
"""

import asyncio
from collections import abc
import contextlib
import datetime
import signal

from aspenfold._internal.gateway import plan
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import http1_server
from aspenfold._internal.network import port_errors
from aspenfold._internal.observability import events

FINISH_LIMIT = datetime.timedelta(milliseconds=500)
"""Longest wait of an ending agent for what is under way: an engine's client
gives a call up after 0.4 s."""

FINISH_POLL = datetime.timedelta(milliseconds=10)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RankAgent:
    """Serves leaders at one address, for one engine."""

    def __init__(
        self,
        *,
        cfg: settings.RankAgentSettings,
        engine: ports.Forwarder,
        read_targets: abc.Collection[bytes],
        order_target: bytes,
        clock: clock_module.Clock,
    ) -> None:
        """Pass on what asks for ``read_targets`` or posts an ``order``.

        All else is refused.
        """
        self._cfg = cfg
        self._engine = engine
        self._read_targets = read_targets
        self._order_target = order_target
        self._stop = asyncio.Event()
        self._server = http1_server.Server(
            handler=self._handle,
            clock=clock,
            limits=lambda: plan.DEFAULT_LIMITS,
        )
        self._in_flight = 0
        self.forwarded = 0
        self.engine_failures = 0

    async def run(self) -> None:
        """Serve until told to end."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stop.wait()
        await self.drain()
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)

    async def start(self) -> None:
        """Listen; raise a coded error if the port is taken."""
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
        """Stop serving, once what is under way has been answered.

        Connections that wait for a next call are closed: one that came
        while the process ends would be lost in it.
        """
        self._server.closing = True
        self._server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_LIMIT.total_seconds()):
                while self._in_flight:
                    self._server.close_idle()
                    await asyncio.sleep(FINISH_POLL.total_seconds())
        self._server.close_idle()
        if self._in_flight:
            events.emit(
                events.Event.DRAIN_LIMIT,
                name=self._cfg.name,
                in_flight=self._in_flight,
            )
        events.emit(
            events.Event.STOPPED,
            name=self._cfg.name,
            passed_on=self.forwarded,
            silent=self.engine_failures,
        )

    def _reload(self) -> None:
        """SIGHUP: nothing here can change while the engine lives."""
        events.emit(events.Event.RELOADED, name=self._cfg.name)

    async def _handle(
        self,
        request: http1_server.Request,
        answer: http1_server.ResponseWriter,
    ) -> None:
        if not self._passes_on(request):
            _answer(answer, 404, b'')
            return
        self._in_flight += 1
        try:
            await self._pass_on(request, answer)
        finally:
            self._in_flight -= 1

    async def _pass_on(
        self,
        request: http1_server.Request,
        answer: http1_server.ResponseWriter,
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
            answer.abort()
            return
        self.forwarded += 1
        _answer(answer, status, body)

    def _passes_on(self, request: http1_server.Request) -> bool:
        if request.method == b'GET':
            return request.target in self._read_targets and not request.body
        is_order = request.method == b'POST' and bool(request.body)
        return is_order and request.target == self._order_target


def _answer(
    answer: http1_server.ResponseWriter, status: int, body: bytes
) -> None:
    length = str(len(body)).encode()
    answer.start(status, [(b'content-length', length)])
    if body:
        answer.write(body)
    answer.end()
