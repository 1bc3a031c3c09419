"""Faults from outside, drawn from a seed; they overlap and repeat."""

import asyncio
from collections import abc
import random
import signal
import time

from aspenfold_standins import metadata_store
from aspenfold_standins import platform_worker

from tests.soak import links
from tests.soak import rank_group
from tests.soak import soak_history
from tests.soak import system_under_test

Fault = abc.Callable[['FaultInjector'], abc.Awaitable[None]]

LAST_S = (0.3, 3.5)
"""How long a fault lasts: from a blink to over every time limit."""

MISBEHAVIOURS = (
    platform_worker.run_and_reset,
    platform_worker.truncated_body,
    platform_worker.wrong_attempt_id,
    platform_worker.invalid_http,
    platform_worker.no_content_length_reset,
    platform_worker.at_capacity,
    platform_worker.server_error,
    platform_worker.unmarked_503,
    platform_worker.never_respond,
)

LINK_TROUBLES = tuple(
    t for t in links.LinkFault if t is not links.LinkFault.NONE
)

AGENT_GAP_S = 2.0
"""Mean time between two signals to agents of ranks."""

AGENT_SIGNALS = (
    signal.SIGTERM,
    signal.SIGKILL,
    signal.SIGSTOP,
    signal.SIGHUP,
)

STORE_TROUBLES = tuple(
    t
    for t in metadata_store.StoreFault
    if t is not metadata_store.StoreFault.NONE
)


class FaultInjector:
    """Draws faults and carries them out, several at a time."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        ledger: soak_history.SoakHistory,
        rng: random.Random,
        agent_rng: random.Random,
        gap_s: float,
    ) -> None:
        """Agents are struck by draws of their own.

        So a seed that failed before there were agents strikes the rest
        as it did.
        """
        self._agent_rng = agent_rng
        self._system = system
        self._ledger = ledger
        self._rng = rng
        self._gap_s = gap_s
        self._running: set[asyncio.Task[None]] = set()
        self._begun_at = time.monotonic()
        self.told: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Strike for a while; return once all faults have ended."""
        end = time.monotonic() + duration_s
        agents = asyncio.ensure_future(self._strike_agents(end))
        self._running.add(agents)
        while time.monotonic() < end:
            fault = self._rng.choice(FAULTS)
            task = asyncio.ensure_future(fault(self))
            self._running.add(task)
            await asyncio.sleep(self._rng.uniform(0.1, 2 * self._gap_s))
        await asyncio.gather(*self._running)

    async def _strike_agents(self, end: float) -> None:
        while time.monotonic() < end:
            await self.strike_agent()
            wait = self._agent_rng.uniform(0.1, 2 * AGENT_GAP_S)
            await asyncio.sleep(wait)

    def _tell(self, text: str) -> None:
        at = time.monotonic() - self._begun_at
        self.told.append(f'{at:7.3f} {text}')

    async def _last(self) -> None:
        await asyncio.sleep(self._rng.uniform(*LAST_S))

    def _gateway(self) -> system_under_test.GatewayProgram:
        return self._rng.choice(self._system.gateways)

    def _endpoint(self, service: str = '') -> system_under_test.Endpoint:
        found = [
            e
            for e in self._system.endpoints
            if service in ('', e.service) and e.leaving_at is None
        ]
        return self._rng.choice(found)

    # -- gateways --------------------------------------------------------

    async def stop_gateway(self) -> None:
        """SIGTERM, perhaps twice: what is in flight comes whole."""
        gateway = self._gateway()
        self._tell(f'SIGTERM {gateway.name}')
        gateway.signal(signal.SIGTERM)
        if self._rng.random() < 0.3:
            await asyncio.sleep(0.1)
            gateway.signal(signal.SIGTERM)

    async def kill_gateways(self) -> None:
        """SIGKILL one, at times all at once."""
        chosen = [self._gateway()]
        if self._rng.random() < 0.2:
            chosen = self._system.gateways
        for gateway in chosen:
            self._tell(f'SIGKILL {gateway.name}')
            span = self._ledger.begin(gateway.name)
            gateway.signal(signal.SIGKILL)
            self._ledger.end(span)

    async def pause_gateway(self) -> None:
        """SIGSTOP, and SIGCONT later; the host may be slow meanwhile."""
        gateway = self._gateway()
        found = gateway.current
        if found is None or found.paused:
            return
        self._tell(f'SIGSTOP {gateway.name}')
        span = self._ledger.begin(gateway.name)
        gateway.signal(signal.SIGSTOP)
        await self._last()
        if gateway.current is found:
            gateway.signal(signal.SIGCONT)
        self._ledger.end(span)
        self._tell(f'SIGCONT {gateway.name}')

    async def reload_gateway(self) -> None:
        """SIGHUP, with the settings file written anew."""
        gateway = self._gateway()
        self._tell(f'SIGHUP {gateway.name}')
        gateway.write_settings()
        gateway.signal(signal.SIGHUP)

    # -- agents of ranks -------------------------------------------------

    async def strike_agent(self) -> None:
        """Stop, kill, pause or reload a rank's agent."""
        rng = self._agent_rng
        agent = rng.choice(self._system.rank_hosts)
        number = rng.choice(AGENT_SIGNALS)
        found = agent.current
        if found is None or found.paused:
            return
        self._tell(f'{number.name} {agent.name}')
        agent.signal(number)
        if number is not signal.SIGSTOP:
            return
        await asyncio.sleep(rng.uniform(*LAST_S))
        if agent.current is found:
            agent.signal(signal.SIGCONT)

    # -- links -----------------------------------------------------------

    async def harm_front(self) -> None:
        """Harm the link between callers and a gateway."""
        gateway = self._gateway()
        await self._harm(gateway.front, gateway.name, 'callers')

    async def harm_store_link(self) -> None:
        """Cut one gateway from the store."""
        gateway = self._gateway()
        await self._harm(gateway.store, gateway.name, 'store')

    async def harm_endpoint_link(self) -> None:
        """Harm the link to an endpoint."""
        endpoint = self._endpoint()
        await self._harm(endpoint.link, endpoint.worker.name, 'gateways')

    async def _harm(self, link: links.LinkProxy, name: str, what: str) -> None:
        if link.fault is not links.LinkFault.NONE:
            return
        trouble = self._rng.choice(LINK_TROUBLES)
        self._tell(f'{trouble.value} between {name} and {what}')
        span = self._ledger.begin(name)
        link.start_fault(trouble)
        await self._last()
        if link.fault is trouble:
            link.end_fault()
        self._ledger.end(span)

    # -- the store -------------------------------------------------------

    async def harm_store(self) -> None:
        """Let the store misbehave towards all; entries may lapse."""
        store = self._system.store
        if store.fault is not metadata_store.StoreFault.NONE:
            return
        trouble = self._rng.choice(STORE_TROUBLES)
        self._tell(f'store {trouble.value}')
        span = self._ledger.begin('store')
        if trouble is metadata_store.StoreFault.STALE_READS:
            store.start_stale_reads()
        store.fault = trouble
        lapsed = self._endpoint('plain')
        topic = system_under_test.endpoint_records.TOPIC
        down = trouble is not metadata_store.StoreFault.STALE_READS
        if down and self._rng.random() < 0.5:
            store.lose_key(topic, lapsed.worker.name)
        await self._last()
        store.fault = metadata_store.StoreFault.NONE
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        if lapsed in self._system.endpoints:
            await self._system.tell(lapsed)
        self._ledger.end(span)

    async def trim(self) -> None:
        """Let the store forget its history."""
        self._tell('store trimmed')
        span = self._ledger.begin('store')
        for topic in (
            system_under_test.endpoint_records.TOPIC,
            system_under_test.config.TOPIC,
        ):
            self._system.store.compact(topic)
        self._ledger.end(span)

    # -- endpoints -------------------------------------------------------

    async def misbehave(self) -> None:
        """Let an endpoint answer wrongly for a while."""
        endpoint = self._endpoint()
        script = self._rng.choice(MISBEHAVIOURS)
        self._tell(f'{endpoint.worker.name} {script.__name__}')
        span = self._ledger.begin(endpoint.worker.name)
        endpoint.worker.script = script
        await self._last()
        endpoint.worker.script = system_under_test.sound
        self._ledger.end(span)

    async def crash_endpoint(self) -> None:
        """End an endpoint without warning; another takes its place."""
        plain = [e for e in self._system.endpoints if e.service == 'plain']
        if len(plain) < 2:
            return
        endpoint = self._endpoint('plain')
        self._tell(f'{endpoint.worker.name} crashes')
        self._ledger.begin(endpoint.worker.name)
        await self._system.remove(endpoint)
        await self._last()
        await self._system.add_endpoint()

    async def drain_endpoint(self) -> None:
        """Replace an endpoint as planned work does."""
        plain = [
            e
            for e in self._system.endpoints
            if e.service == 'plain' and e.leaving_at is None
        ]
        if len(plain) < 2:
            return
        endpoint = self._endpoint('plain')
        self._tell(f'{endpoint.worker.name} drains')
        await self._system.add_endpoint()
        endpoint.leaving_at = float('inf')
        await self._system.tell(endpoint)
        endpoint.leaving_at = time.monotonic()
        # Over the time in which it may get work, and a request's.
        await asyncio.sleep(5.0)
        if endpoint in self._system.endpoints:
            self._ledger.begin(endpoint.worker.name)
            await self._system.remove(endpoint)

    async def crash_rank(self) -> None:
        """Break the group: it forms anew in a later epoch."""
        self._tell('group breaks')
        span = self._ledger.begin('group')
        self._system.group.crash()
        self._ledger.end(span)

    async def delay_orders(self) -> None:
        """Let ranks carry orders out late, or lose their answers."""
        self._tell('orders late')
        self._system.group.lost = rank_group.TROUBLED
        await self._last()
        self._system.group.lost = rank_group.CALM

    # -- the plan --------------------------------------------------------

    async def change_plan(self) -> None:
        """Write newer plans, at times several at once."""
        for _ in range(self._rng.choice((1, 1, 3))):
            await self._system.change_plan()
            self._tell(f'plan {self._system.version}')
            await asyncio.sleep(0.05)


FAULTS: tuple[Fault, ...] = (
    FaultInjector.stop_gateway,
    FaultInjector.kill_gateways,
    FaultInjector.pause_gateway,
    FaultInjector.reload_gateway,
    FaultInjector.harm_front,
    FaultInjector.harm_store_link,
    FaultInjector.harm_endpoint_link,
    FaultInjector.harm_store,
    FaultInjector.trim,
    FaultInjector.misbehave,
    FaultInjector.crash_endpoint,
    FaultInjector.drain_endpoint,
    FaultInjector.crash_rank,
    FaultInjector.delay_orders,
    FaultInjector.change_plan,
)
