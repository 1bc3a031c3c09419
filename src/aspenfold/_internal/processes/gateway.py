"""The gateway process: serves callers and sends requests to endpoints."""

import asyncio
import random
import secrets
import signal

from aspenfold._internal.gateway import core as core_module
from aspenfold._internal.gateway import exchange as exchange_module
from aspenfold._internal.gateway import group_monitor
from aspenfold._internal.gateway import header_names as header_names_module
from aspenfold._internal.gateway import leadership as leadership_module
from aspenfold._internal.gateway import memory_gate
from aspenfold._internal.gateway import outage
from aspenfold._internal.gateway import peer_discovery as peer_discovery_module
from aspenfold._internal.gateway import peers as peers_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import quarantine_records
from aspenfold._internal.gateway import rank_client
from aspenfold._internal.gateway import reader_selection as selection_module
from aspenfold._internal.gateway import relay
from aspenfold._internal.gateway import settings
from aspenfold._internal.gateway import store_feeds as feeds_module
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.network import datagrams
from aspenfold._internal.network import http1_server
from aspenfold._internal.network import port_errors
from aspenfold._internal.observability import events
from aspenfold._internal.processes import gateway_metrics
from aspenfold._internal.processes import tasks

BALANCER_DELAY_S = 3.0
"""How long the balancer may still open connections after SIGTERM.

It polls the health port once a second and stops after two failed polls;
the third second allows for lost responses.
"""

EXIT_MARGIN_S = 0.5
"""Time between the end of a drain and the end of the grace period."""

DRAIN_POLL_INTERVAL_S = 0.05

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

CALLERS_RATIO = 0.5
"""Part of a process's sockets for callers.  A request takes one of its
caller and one to an endpoint."""

INTERNAL_RATIO = 0.0625
"""Part of the sockets for each other server: health, metrics, peers."""

PEER_UPDATE_CHECK_INTERVAL_S = 0.025
"""How often to check whether an update to peers is due."""


class GatewayProcess:
    """Runs a gateway: connects its parts with sockets and signals.

    The ports that it listens on are set by ``start()``.
    """

    def __init__(
        self,
        *,
        cfg: settings.GatewaySettings,
        platform: ports.Platform,
        header_names: header_names_module.HeaderNames,
        clock: clock_module.Clock,
    ) -> None:
        self._cfg = cfg
        self._core = core_module.Core(
            cfg=cfg,
            header_names=header_names,
            decode_statement=platform.decode_statement,
            clock=clock,
            rng=random.Random(secrets.randbits(128)),
        )
        self._clock = clock
        self._selection = selection_module.ReaderSelection(
            host=cfg.name, zone=cfg.availability_zone, now=clock.now()
        )
        self._publisher = relay.Publisher(
            snapshot=self._snapshot,
            is_reader=lambda: self._selection.is_reader(clock.now()),
            is_peer_address=lambda ip: self._peers.is_peer_address(ip),
        )
        self._feeds = feeds_module.StoreFeeds(
            platform=platform,
            consumer=self._core,
            clock=clock,
            selection=self._selection,
            publish=self._publisher.publish,
        )
        self._peers = peers_module.Peers(
            host=cfg.name,
            zone=cfg.availability_zone,
            incarnation=secrets.token_hex(4),
            port=cfg.peer_port,
            endpoint_directory=self._core.directory,
            now=clock.now(),
        )
        self._follower = relay.Follower(
            selection=self._selection,
            peers=self._peers,
            clock=clock,
            apply=self._apply_relayed,
            local_host=cfg.address,
        )
        ranks_client = rank_client.RankClient(
            engine=platform.engine, clock=clock, agent_port=cfg.agent_port
        )
        self._groups = group_monitor.GroupMonitor(
            core=self._core,
            ranks_client=ranks_client,
            rng=random.Random(secrets.randbits(128)),
        )
        self._leadership = leadership_module.GroupLeadership(
            host=cfg.name,
            core=self._core,
            platform=platform,
            ranks_client=ranks_client,
            peers=self._peers,
            rng=random.Random(secrets.randbits(128)),
            is_passive=self._is_passive,
        )
        self._quarantine_records = quarantine_records.QuarantineRecords(
            host=cfg.name,
            quarantine=self._core.quarantine,
            clock=clock,
            wall_clock=clock_module.SystemClock(),
            hears_all_peers=self._peers.hears_all,
        )
        self._peer_discovery = peer_discovery_module.PeerDiscovery(
            host=cfg.name,
            address=settings.TcpAddress(host=cfg.address, port=cfg.peer_port),
            store=platform.store,
            peers=self._peers,
            consumer=self._quarantine_records,
            is_passive=self._is_passive,
            publish=self._publisher.publish,
        )
        self._tasks = tasks.BackgroundTasks()
        self._stop = asyncio.Event()
        self._leadership_task: asyncio.Task[None] | None = None
        self.port = 0
        self.health_port = 0
        self.metrics_port = 0
        self.relay_port = 0
        self._metrics_text = gateway_metrics.MetricsText(
            metrics=self._core.metrics
        )
        self._memory_gate = memory_gate.MemoryGate(core=self._core)
        self._caller_server = self._create_server(
            self._handle_request, CALLERS_RATIO
        )
        self._health_server = self._create_server(self._send_health)
        self._metrics_server = self._create_server(self._send_metrics)
        self._relay_server = self._create_server(self._publisher.handle)
        gateway_metrics.register(
            core=self._core,
            feeds=self._feeds,
            selection=self._selection,
            publisher=self._publisher,
            leadership=self._leadership,
            in_flight=self._caller_server.count_busy,
        )

    def _create_server(
        self,
        handler: http1_server.RequestHandler,
        sockets_ratio: float = INTERNAL_RATIO,
    ) -> http1_server.Server:
        return http1_server.Server(
            handler=handler,
            memory=self._memory_gate,
            max_connections=int(self._cfg.max_sockets * sockets_ratio),
            clock=self._clock,
            limits=lambda: self._core.limits,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)
        await self.start()
        await self._stop.wait()
        await self.drain()
        # Signal handlers end with the loop; a further SIGTERM must not kill
        # the process before it exits.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)

    def stop(self) -> None:
        """Ask ``run()`` to drain and return; further calls have no effect."""
        self._stop.set()

    async def start(self) -> None:
        """Start the background tasks and listen on all ports.

        Raises a ``SettingsError`` if a port is unavailable.
        """
        self._tasks.spawn(self._feeds.plan.run())
        self._tasks.spawn(self._feeds.endpoints.run())
        self._tasks.spawn(self._peer_discovery.run())
        self._tasks.spawn(
            self._quarantine_records.run(self._peer_discovery.put)
        )
        self._tasks.spawn(self._exchange_peer_updates())
        self._tasks.spawn(self._follower.run())
        self._tasks.spawn(self._groups.run())
        self._leadership_task = asyncio.create_task(self._leadership.run())
        callers, health = self._cfg.callers, self._cfg.health
        assert callers is not None
        assert health is not None
        peers = settings.TcpAddress(
            host=self._cfg.address, port=self._cfg.peer_port
        )
        metrics = self._cfg.metrics
        self.relay_port = await _listen(self._relay_server, peers, 'peer_port')
        self.port = await _listen(self._caller_server, callers, 'callers')
        self.health_port = await _listen(self._health_server, health, 'health')
        self.metrics_port = await _listen(
            self._metrics_server, metrics, 'metrics'
        )
        events.emit(
            events.Event.STARTED,
            process='gateway',
            name=self._cfg.name,
            zone=self._cfg.availability_zone,
        )

    async def _exchange_peer_updates(self) -> None:
        """Exchange updates with the other gateways."""

        def receive(data: bytes, sender: str) -> None:
            update = self._peers.receive(data, sender, self._clock.now())
            if update is None:
                return
            now = self._clock.now()
            self._selection.on_peer_update(
                update.host, update.zone, update.is_reader, now
            )
            self._feeds.plan.notify_offset(update.plan_offset)
            for group, age in update.recovery_ages.items():
                self._core.outages.record_peer_recovery(
                    group, age, update.host
                )
            self._core.rate_limits.receive(
                update.host, update.incarnation, update.rate_reports, now
            )
            self._core.quarantine.receive(
                update.host,
                update.quarantine,
                now,
                sent_at=self._peers.sent_at(update, now),
            )

        peer_socket = await datagrams.listen(
            self._cfg.address, self._cfg.peer_port, receive
        )
        while True:
            await asyncio.sleep(PEER_UPDATE_CHECK_INTERVAL_S)
            now = self._clock.now()
            self._peers.expire_silent(now)
            self._core.set_peers(self._peers.zones)
            self._core.rate_limits.forget_removed()
            self._peers.plan_offset = self._feeds.plan.offset
            self._peers.is_reader = self._selection.is_reader(now)
            self._peers.recovery_ages = self._core.outages.recent_recoveries()
            self._peers.rate_reports = self._core.rate_limits.reports(now)
            self._core.quarantine.update(now)
            self._peers.quarantine = self._core.quarantine.report(now)
            outgoing = self._peers.next_update(now)
            if outgoing is None:
                continue
            for address in outgoing.addresses:
                peer_socket.send(outgoing.data, address.host, address.port)

    def _is_passive(self) -> bool:
        return self._selection.is_passive(self._clock.now())

    def _snapshot(self) -> list[relay.RelayedRecords]:
        return [self._peer_discovery.snapshot(), *self._feeds.snapshot()]

    def _apply_relayed(self, relayed: relay.RelayedRecords) -> None:
        self._feeds.apply_relayed(relayed)
        self._peer_discovery.apply_relayed(relayed)

    def _on_reload_signal(self) -> None:
        """Log SIGHUP; what can change is read from the store anyway."""
        events.emit(events.Event.RELOADED, name=self._cfg.name)

    async def _handle_request(
        self,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        exchange = exchange_module.Exchange(
            core=self._core, request=request, response=response
        )
        await exchange.run()

    @property
    def ready(self) -> bool:
        """Whether this gateway can serve requests.

        It needs a plan and an endpoint, and must not be draining.
        """
        return (
            self._core.plan_index is not None
            and len(self._core.directory) > 0
            and not self._core.draining
        )

    @property
    def followers(self) -> int:
        """Number of gateways to which this one relays store records."""
        return self._publisher.followers

    @property
    def endpoints(self) -> int:
        """Number of known endpoints."""
        return len(self._core.directory)

    @property
    def limited_endpoints(self) -> int:
        """Number of endpoints that state a rate limit."""
        return self._core.rate_limits.count()

    def routable(self, service: str) -> int:
        """Return the number of a service's endpoints that get requests."""
        now = self._clock.now()
        return len(self._core.directory.routable(service, now))

    def outage(self, service: str, group: str = '') -> outage.Outage:
        """Return the outage state of a group."""
        return self._core.outages.get(service, group)

    @property
    def plan_version(self) -> int:
        """Version of the current plan, 0 for none."""
        return self._core.plan_version

    async def _send_health(
        self,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        response.start(200 if self.ready else 503, [(b'content-length', b'0')])
        response.end()

    async def _send_metrics(
        self,
        request: http1_server.Request,
        response: http1_server.ResponseWriter,
    ) -> None:
        body = self._metrics_text.get()
        headers = [
            (b'content-type', b'text/plain; version=0.0.4'),
            (b'content-length', str(len(body)).encode()),
        ]
        response.start(200, headers)
        response.write(body)
        response.end()

    async def abort(self) -> None:
        """Stop at once, without draining."""
        if self._leadership_task is not None:
            self._leadership_task.cancel()
        self._tasks.cancel()
        self._core.crash_watch.close()
        servers = (
            self._caller_server,
            self._health_server,
            self._metrics_server,
            self._relay_server,
        )
        for server in servers:
            server.close()
        await asyncio.sleep(0)

    async def _resign(self) -> None:
        """Release all groups, then the lease."""
        await self._leadership.drain()
        if self._leadership_task is not None:
            self._leadership_task.cancel()
        await self._leadership.release()

    async def drain(self) -> None:
        """Stop leading, finish the requests in flight, and stop serving.

        Returns at the latest ``EXIT_MARGIN_S`` before the grace period
        ends.
        """
        loop = asyncio.get_running_loop()
        drain_deadline = loop.time() + self._cfg.grace_s - EXIT_MARGIN_S
        self._core.draining = True
        self._caller_server.closing = True
        events.emit(
            events.Event.DRAINING,
            name=self._cfg.name,
            in_flight=self._caller_server.count_busy(),
        )
        resign_task = self._tasks.spawn(self._resign())
        await asyncio.sleep(min(BALANCER_DELAY_S, self._cfg.grace_s / 2))
        self._core.refusing = True
        self._caller_server.close()
        while loop.time() < drain_deadline:
            if not self._caller_server.count_busy() and resign_task.done():
                break
            self._caller_server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        in_flight = self._caller_server.count_busy()
        if in_flight:
            events.emit(
                events.Event.DRAIN_LIMIT,
                name=self._cfg.name,
                in_flight=in_flight,
            )
        self._tasks.cancel()
        self._core.crash_watch.close()
        for server in (
            self._health_server,
            self._metrics_server,
            self._relay_server,
        ):
            server.close()
        events.emit(events.Event.STOPPED, name=self._cfg.name)


async def _listen(
    server: http1_server.Server, address: settings.TcpAddress, field: str
) -> int:
    """Start a server at the address that the setting ``field`` gives.

    Raises a ``SettingsError`` if the address is unavailable.
    """
    try:
        return await server.start(address.host, address.port)
    except OSError as exc:
        raise port_errors.port_unavailable(
            where=str(address), field=field, exc=exc
        ) from exc
