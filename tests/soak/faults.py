"""Injects faults that are drawn from a seed and overlap.

The order of the random draws must not change: recorded seeds depend on it.
"""

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

FaultMethod = abc.Callable[['FaultInjector'], abc.Awaitable[None]]

FAULT_DURATION_RANGE_S = (0.3, 3.5)
"""From less than any timeout to more than every timeout."""

ENDPOINT_FAULTS = (
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

LINK_FAULTS = tuple(
    t for t in links.LinkFault if t is not links.LinkFault.NONE
)

AGENT_SIGNAL_INTERVAL_S = 2.0
"""Mean time between two signals to rank agents."""

AGENT_SIGNALS = (
    signal.SIGTERM,
    signal.SIGKILL,
    signal.SIGSTOP,
    signal.SIGHUP,
)

STORE_FAULTS = tuple(
    t
    for t in metadata_store.StoreFault
    if t is not metadata_store.StoreFault.NONE
)


class FaultInjector:
    """Draws faults and injects them, several at a time.

    ``log`` describes each fault after its time in seconds.
    """

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        history: soak_history.SoakHistory,
        rng: random.Random,
        agent_rng: random.Random,
        interval_s: float,
    ) -> None:
        """``interval_s`` is the mean time between two faults.

        ``agent_rng`` draws the signals to agents, so that ``rng`` draws
        the same other faults as for seeds recorded before agents existed.
        """
        self._agent_rng = agent_rng
        self._system = system
        self._history = history
        self._rng = rng
        self._interval_s = interval_s
        self._running: set[asyncio.Task[None]] = set()
        self._started_at = time.monotonic()
        self.log: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Start faults for this time; return when all of them have ended."""
        end = time.monotonic() + duration_s
        agent_signals = asyncio.ensure_future(self._signal_agents(end))
        self._running.add(agent_signals)
        while time.monotonic() < end:
            fault = self._rng.choice(FAULTS)
            task = asyncio.ensure_future(fault(self))
            self._running.add(task)
            await asyncio.sleep(self._rng.uniform(0.1, 2 * self._interval_s))
        await asyncio.gather(*self._running)

    async def _signal_agents(self, end: float) -> None:
        while time.monotonic() < end:
            await self.signal_agent()
            wait = self._agent_rng.uniform(0.1, 2 * AGENT_SIGNAL_INTERVAL_S)
            await asyncio.sleep(wait)

    def _log(self, text: str) -> None:
        at = time.monotonic() - self._started_at
        self.log.append(f'{at:7.3f} {text}')

    async def _sleep_fault_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_DURATION_RANGE_S))

    def _choose_gateway(self) -> system_under_test.GatewayProgram:
        return self._rng.choice(self._system.gateways)

    def _choose_endpoint(
        self, service: str = ''
    ) -> system_under_test.Endpoint:
        candidates = [
            e
            for e in self._system.endpoints
            if service in ('', e.service) and e.draining_since is None
        ]
        return self._rng.choice(candidates)

    async def terminate_gateway(self) -> None:
        """Send SIGTERM, sometimes twice.

        Requests in progress must still complete.
        """
        gateway = self._choose_gateway()
        self._log(f'SIGTERM {gateway.name}')
        gateway.send_signal(signal.SIGTERM)
        if self._rng.random() < 0.3:
            await asyncio.sleep(0.1)
            gateway.send_signal(signal.SIGTERM)

    async def kill_gateways(self) -> None:
        """Kill one gateway, sometimes all of them."""
        gateways = [self._choose_gateway()]
        if self._rng.random() < 0.2:
            gateways = self._system.gateways
        for gateway in gateways:
            self._log(f'SIGKILL {gateway.name}')
            period = self._history.start_fault(gateway.name)
            gateway.send_signal(signal.SIGKILL)
            self._history.end_fault(period)

    async def pause_gateway(self) -> None:
        """Send SIGSTOP, and SIGCONT after the fault duration."""
        gateway = self._choose_gateway()
        process = gateway.current_process
        if process is None or process.paused:
            return
        self._log(f'SIGSTOP {gateway.name}')
        period = self._history.start_fault(gateway.name)
        gateway.send_signal(signal.SIGSTOP)
        await self._sleep_fault_duration()
        if gateway.current_process is process:
            gateway.send_signal(signal.SIGCONT)
        self._history.end_fault(period)
        self._log(f'SIGCONT {gateway.name}')

    async def reload_gateway(self) -> None:
        """Rewrite the settings file and send SIGHUP."""
        gateway = self._choose_gateway()
        self._log(f'SIGHUP {gateway.name}')
        gateway.write_settings()
        gateway.send_signal(signal.SIGHUP)

    async def signal_agent(self) -> None:
        """Terminate, kill, pause or reload a rank agent."""
        rng = self._agent_rng
        agent = rng.choice(self._system.rank_agents)
        number = rng.choice(AGENT_SIGNALS)
        process = agent.current_process
        if process is None or process.paused:
            return
        self._log(f'{number.name} {agent.name}')
        agent.send_signal(number)
        if number is not signal.SIGSTOP:
            return
        await asyncio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))
        if agent.current_process is process:
            agent.send_signal(signal.SIGCONT)

    async def inject_caller_link_fault(self) -> None:
        """Inject a fault between callers and a gateway."""
        gateway = self._choose_gateway()
        await self._inject_link_fault(
            gateway.caller_link, gateway.name, 'callers'
        )

    async def inject_store_link_fault(self) -> None:
        """Inject a fault between one gateway and the store."""
        gateway = self._choose_gateway()
        await self._inject_link_fault(
            gateway.store_link, gateway.name, 'store'
        )

    async def inject_endpoint_link_fault(self) -> None:
        """Inject a fault between the gateways and an endpoint."""
        endpoint = self._choose_endpoint()
        await self._inject_link_fault(
            endpoint.link, endpoint.worker.name, 'gateways'
        )

    async def _inject_link_fault(
        self, link: links.LinkProxy, name: str, peer: str
    ) -> None:
        if link.fault is not links.LinkFault.NONE:
            return
        fault = self._rng.choice(LINK_FAULTS)
        self._log(f'{fault.value} between {name} and {peer}')
        period = self._history.start_fault(name)
        link.start_fault(fault)
        await self._sleep_fault_duration()
        if link.fault is fault:
            link.end_fault()
        self._history.end_fault(period)

    async def inject_store_fault(self) -> None:
        """Inject a fault of the store for all gateways.

        Unless it is stale reads, an endpoint's record may be lost as well.
        """
        store = self._system.store
        if store.fault is not metadata_store.StoreFault.NONE:
            return
        fault = self._rng.choice(STORE_FAULTS)
        self._log(f'store {fault.value}')
        period = self._history.start_fault('store')
        if fault is metadata_store.StoreFault.STALE_READS:
            store.start_stale_reads()
        store.fault = fault
        lost_endpoint = self._choose_endpoint('plain')
        topic = system_under_test.endpoint_records.TOPIC
        is_unavailable = fault is not metadata_store.StoreFault.STALE_READS
        if is_unavailable and self._rng.random() < 0.5:
            store.lose_key(topic, lost_endpoint.worker.name)
        await self._sleep_fault_duration()
        store.fault = metadata_store.StoreFault.NONE
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        if lost_endpoint in self._system.endpoints:
            await self._system.write_endpoint_record(lost_endpoint)
        self._history.end_fault(period)

    async def compact_store(self) -> None:
        """Compact the store's topics to the newest record of each key."""
        self._log('store compacted')
        period = self._history.start_fault('store')
        for topic in (
            system_under_test.endpoint_records.TOPIC,
            system_under_test.config.TOPIC,
        ):
            self._system.store.compact(topic)
        self._history.end_fault(period)

    async def inject_endpoint_fault(self) -> None:
        """Let an endpoint respond wrongly for the fault duration."""
        endpoint = self._choose_endpoint()
        script = self._rng.choice(ENDPOINT_FAULTS)
        self._log(f'{endpoint.worker.name} {script.__name__}')
        period = self._history.start_fault(endpoint.worker.name)
        endpoint.worker.script = script
        await self._sleep_fault_duration()
        endpoint.worker.script = system_under_test.respond_normally
        self._history.end_fault(period)

    async def crash_endpoint(self) -> None:
        """Stop an endpoint without a notice, and replace it later."""
        plain = [e for e in self._system.endpoints if e.service == 'plain']
        if len(plain) < 2:
            return
        endpoint = self._choose_endpoint('plain')
        self._log(f'{endpoint.worker.name} crashes')
        self._history.start_fault(endpoint.worker.name)
        await self._system.remove_endpoint(endpoint)
        await self._sleep_fault_duration()
        await self._system.add_endpoint()

    async def drain_endpoint(self) -> None:
        """Replace an endpoint, draining it before it stops."""
        plain = [
            e
            for e in self._system.endpoints
            if e.service == 'plain' and e.draining_since is None
        ]
        if len(plain) < 2:
            return
        endpoint = self._choose_endpoint('plain')
        self._log(f'{endpoint.worker.name} drains')
        await self._system.add_endpoint()
        endpoint.draining_since = float('inf')
        await self._system.write_endpoint_record(endpoint)
        endpoint.draining_since = time.monotonic()
        # Time for the drain notice and for the requests in progress.
        await asyncio.sleep(5.0)
        if endpoint in self._system.endpoints:
            self._history.start_fault(endpoint.worker.name)
            await self._system.remove_endpoint(endpoint)

    async def crash_rank(self) -> None:
        """Crash a rank; the group forms again in a later epoch."""
        self._log('rank crashes')
        period = self._history.start_fault('group')
        self._system.group.crash_rank()
        self._history.end_fault(period)

    async def inject_order_faults(self) -> None:
        """Let ranks execute orders late, or lose their answers."""
        self._log('orders late or answers lost')
        self._system.group.order_faults = rank_group.ORDER_FAULTS
        await self._sleep_fault_duration()
        self._system.group.order_faults = rank_group.NO_ORDER_FAULTS

    async def change_plan(self) -> None:
        """Write a newer plan, sometimes three in a row."""
        for _ in range(self._rng.choice((1, 1, 3))):
            await self._system.change_plan()
            self._log(f'plan {self._system.plan_version}')
            await asyncio.sleep(0.05)


FAULTS: tuple[FaultMethod, ...] = (
    FaultInjector.terminate_gateway,
    FaultInjector.kill_gateways,
    FaultInjector.pause_gateway,
    FaultInjector.reload_gateway,
    FaultInjector.inject_caller_link_fault,
    FaultInjector.inject_store_link_fault,
    FaultInjector.inject_endpoint_link_fault,
    FaultInjector.inject_store_fault,
    FaultInjector.compact_store,
    FaultInjector.inject_endpoint_fault,
    FaultInjector.crash_endpoint,
    FaultInjector.drain_endpoint,
    FaultInjector.crash_rank,
    FaultInjector.inject_order_faults,
    FaultInjector.change_plan,
)
