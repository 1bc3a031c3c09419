"""Gateways of one zone, over real sockets, with faults of their links."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from aspenfold._internal.processes import gateway
from tests.lib import free_ports
from tests.lib import gateway_rig as rigs
from tests.soak import links

NETWORK = '127.0.7'


@dataclasses.dataclass
class GatewaySet:
    """Gateways of one zone, each with its own link to the store."""

    rig: rigs.Rig
    peer_port: int
    processes: list[gateway.GatewayProcess]
    links: list[links.LinkProxy]

    async def request(
        self, number: int, path: str, **fields: str
    ) -> rigs.Response:
        """Send a request to a gateway on a new connection.

        ``fields`` are as those of :meth:`gateway_rig.Rig.request_head`.
        """
        body = fields.get('body', '').encode()
        head = self.rig.request_head(path, **fields)[1]
        return await self.send(number, head + body)

    async def send(self, number: int, data: bytes) -> rigs.Response:
        """Send raw bytes to a gateway on a new connection.

        The response is empty if the gateway does not listen.
        """
        try:
            reader, writer = await asyncio.open_connection(
                address(number), self.processes[number - 1].port
            )
        except OSError:
            return rigs.Response()
        writer.write(data)
        try:
            return await rigs.read_response(reader)
        finally:
            writer.close()

    async def restart(self, number: int) -> None:
        """End a gateway, then start a new one in its place."""
        await self.processes[number - 1].abort()
        process = await _start_gateway(self, number)
        self.processes.remove(process)
        self.processes[number - 1] = process
        await rigs.wait_until(lambda: process.ready)

    async def restart_all(self) -> None:
        """End all gateways at once, then start as many new ones."""
        count = len(self.processes)
        for process in self.processes:
            await process.abort()
        self.processes.clear()
        for number in range(1, count + 1):
            await _start_gateway(self, number)
        await rigs.wait_until(lambda: all(p.ready for p in self.processes))


def address(number: int) -> str:
    """Return the IP address of a gateway; numbers start at 1."""
    return f'{NETWORK}.{number}'


@contextlib.asynccontextmanager
async def running_gateways(
    count: int, *, has_peers_path: bool = True
) -> abc.AsyncIterator[GatewaySet]:
    """Yield gateways, of which all but the first follow the first.

    Without a path between them each reads the store itself.
    """
    rig = rigs.Rig()
    await rig.store.start()
    await rig.write_plan(rigs.make_plan())
    await rig.add_worker('w-1')
    hosts = [address(number) for number in range(1, count + 1)]
    port = free_ports.find_port_pair(hosts)
    gateways = GatewaySet(rig=rig, peer_port=port, processes=[], links=[])
    try:
        for number in range(1, count + 1):
            await _start_gateway(gateways, number)
        processes = gateways.processes
        await rigs.wait_until(lambda: all(p.ready for p in processes))
        if has_peers_path:
            await rigs.wait_until(lambda: processes[0].followers == count - 1)
        yield gateways
    finally:
        for process in gateways.processes:
            await process.abort()
        for link in gateways.links:
            await link.stop()
        for worker in rig.workers:
            await worker.stop()
        await rig.store.stop()


async def _start_gateway(
    gateways: GatewaySet, number: int
) -> gateway.GatewayProcess:
    link = links.LinkProxy(
        target_host=rigs.LOOPBACK, target_port=gateways.rig.store.port
    )
    await link.start()
    gateways.links.append(link)
    process = rigs.make_gateway(
        name=f'gateway-{number}',
        address=address(number),
        peer_port=gateways.peer_port,
        store_port=link.port,
    )
    gateways.processes.append(process)
    await process.start()
    return process
