"""Gateways that relay the store's records, over real sockets."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from aspenfold._internal.processes import gateway
from aspenfold.platform import endpoint_records
from tests.lib import free_ports
from tests.lib import gateway_rig as rigs
from tests.soak import links

NETWORK = '127.0.7'


@dataclasses.dataclass
class GatewayPair:
    """Two gateways of one zone, each with its own link to the store."""

    rig: rigs.Rig
    processes: list[gateway.GatewayProcess]
    links: list[links.LinkProxy]


@contextlib.asynccontextmanager
async def gateway_pair() -> abc.AsyncIterator[GatewayPair]:
    """Yield two gateways, of which the second follows the first."""
    rig = rigs.Rig()
    await rig.store.start()
    await rig.write_plan(rigs.make_plan())
    await rig.add_worker('w-1')
    pair = GatewayPair(rig=rig, processes=[], links=[])
    (port,) = free_ports.find_ports(f'{NETWORK}.1', 1)
    try:
        for number in (1, 2):
            link = links.LinkProxy(
                target_host=rigs.LOOPBACK, target_port=rig.store.port
            )
            await link.start()
            pair.links.append(link)
            process = rigs.make_gateway(
                name=f'gateway-{number}',
                address=f'{NETWORK}.{number}',
                peer_port=port,
                store_port=link.port,
            )
            pair.processes.append(process)
            await process.start()
        await rigs.wait_until(lambda: all(p.ready for p in pair.processes))
        await rigs.wait_until(lambda: pair.processes[0].followers == 1)
        yield pair
    finally:
        for process in pair.processes:
            await process.abort()
        for link in pair.links:
            await link.stop()
        for worker in rig.workers:
            await worker.stop()
        await rig.store.stop()


def test_follower_without_store_gets_plan_and_endpoints() -> None:
    """A gateway that lost the store must not keep old plans."""

    async def run() -> None:
        async with gateway_pair() as pair:
            second = pair.processes[1]
            pair.links[1].start_fault(links.LinkFault.NO_DATA)
            await pair.rig.write_plan(rigs.make_plan(9))
            await rigs.wait_until(lambda: second.plan_version == 9)
            worker = await pair.rig.add_worker('w-2')
            await rigs.wait_until(lambda: second.routable('plain') == 2)
            await pair.rig.store.put(
                endpoint_records.TOPIC,
                'w-2',
                worker.store_record('plain', 'draining'),
            )
            await rigs.wait_until(lambda: second.routable('plain') == 1)

    asyncio.run(run())


def test_gateways_read_when_their_reader_is_lost() -> None:
    """First the reader loses the store, then its process ends."""

    async def run() -> None:
        async with gateway_pair() as pair:
            first, second = pair.processes
            pair.links[0].start_fault(links.LinkFault.NO_DATA)
            await pair.rig.write_plan(rigs.make_plan(4))
            await rigs.wait_until(lambda: second.plan_version == 4)
            await rigs.wait_until(lambda: first.plan_version == 4)
            await first.abort()
            await pair.rig.write_plan(rigs.make_plan(6))
            await rigs.wait_until(lambda: second.plan_version == 6)

    asyncio.run(run())


def test_followers_do_not_call_the_store() -> None:
    """Each call of the store costs money."""

    async def run() -> None:
        async with gateway_pair() as pair:
            calls_before = pair.rig.store.request_count
            await asyncio.sleep(2.0)
            calls = pair.rig.store.request_count - calls_before
            # A poll every 0.9 s, and waiting reads of plan and lease.
            assert calls <= 10

    asyncio.run(run())


def test_relay_serves_only_gateway_addresses() -> None:
    """The plan contains API keys."""

    async def run() -> None:
        async with gateway_pair() as pair:
            port = pair.processes[0].relay_port
            reader, writer = await asyncio.open_connection(
                f'{NETWORK}.1', port, local_addr=(f'{NETWORK}.77', 0)
            )
            writer.write(b'GET /news HTTP/1.1\r\nHost: x\r\n\r\n')
            response = await rigs.read_response(reader)
            writer.close()
            assert response.status == 404

    asyncio.run(run())
