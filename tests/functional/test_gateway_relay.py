"""Gateways that pass the store's news on, over real sockets."""

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
class Two:
    """Two gateways of one zone, each with its own link to the store."""

    rig: rigs.Rig
    processes: list[gateway.GatewayProcess]
    links: list[links.Link]


@contextlib.asynccontextmanager
async def two() -> abc.AsyncIterator[Two]:
    """Give two gateways, of which the second follows the first."""
    rig = rigs.Rig()
    await rig.store.start()
    await rig.configure(rigs.plan())
    await rig.add_worker('w-1')
    found = Two(rig=rig, processes=[], links=[])
    (port,) = free_ports.distinct(f'{NETWORK}.1', 1)
    try:
        for number in (1, 2):
            link = links.Link(host=rigs.LOOPBACK, port=rig.store.port)
            await link.start()
            found.links.append(link)
            process = rigs.process(
                name=f'gateway-{number}',
                address=f'{NETWORK}.{number}',
                peer_port=port,
                store_port=link.port,
            )
            found.processes.append(process)
            await process.start()
        await rigs.until(lambda: all(p.ready for p in found.processes))
        await rigs.until(lambda: found.processes[0].followers == 1)
        yield found
    finally:
        for process in found.processes:
            await process.abort()
        for link in found.links:
            await link.stop()
        for worker in rig.workers:
            await worker.stop()
        await rig.store.stop()


def test_one_that_the_store_turns_away_gets_plan_and_list() -> None:
    """In touch with a peer it keeps up with both."""

    async def run() -> None:
        async with two() as found:
            second = found.processes[1]
            found.links[1].begin(links.Trouble.SILENT)
            await found.rig.configure(rigs.plan(9))
            await rigs.until(lambda: second.plan_version == 9)
            worker = await found.rig.add_worker('w-2')
            await rigs.until(lambda: second.routable('plain') == 2)
            await found.rig.store.put(
                endpoint_records.TOPIC,
                'w-2',
                worker.entry('plain', 'draining'),
            )
            await rigs.until(lambda: second.routable('plain') == 1)

    asyncio.run(run())


def test_one_whose_peer_falls_silent_reads_by_itself() -> None:
    """The peer is cut from the store, then ends."""

    async def run() -> None:
        async with two() as found:
            first, second = found.processes
            found.links[0].begin(links.Trouble.SILENT)
            await found.rig.configure(rigs.plan(4))
            await rigs.until(lambda: second.plan_version == 4)
            await rigs.until(lambda: first.plan_version == 4)
            await first.abort()
            await found.rig.configure(rigs.plan(6))
            await rigs.until(lambda: second.plan_version == 6)

    asyncio.run(run())


def test_followers_do_not_call_the_store() -> None:
    """The calls of two gateways are those of one."""

    async def run() -> None:
        async with two() as found:
            before = found.rig.store.calls
            await asyncio.sleep(2.0)
            alone = found.rig.store.calls - before
            # The list each 0.9 s, waiting reads of plan and lease.
            assert alone <= 10

    asyncio.run(run())


def test_a_stranger_gets_no_news() -> None:
    """The plan holds keys; only gateways' addresses are answered."""

    async def run() -> None:
        async with two() as found:
            port = found.processes[0].news_port
            reader, writer = await asyncio.open_connection(
                f'{NETWORK}.1', port, local_addr=(f'{NETWORK}.77', 0)
            )
            writer.write(b'GET /news HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await rigs.read_answer(reader)
            writer.close()
            assert answer.status == 404

    asyncio.run(run())
