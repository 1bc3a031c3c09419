"""Gateways that relay the store's records, over real sockets."""

import asyncio

from aspenfold.platform import endpoint_records
from tests.lib import gateway_rig as rigs
from tests.lib import gateway_set
from tests.soak import links


def test_follower_without_store_gets_plan_and_endpoints() -> None:
    """A gateway that lost the store must not keep old plans."""

    async def run() -> None:
        async with gateway_set.running_gateways(2) as pair:
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
        async with gateway_set.running_gateways(2) as pair:
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
        async with gateway_set.running_gateways(2) as pair:
            calls_before = pair.rig.store.request_count
            await asyncio.sleep(2.0)
            calls = pair.rig.store.request_count - calls_before
            # A poll every 0.9 s, and waiting reads of plan and lease.
            assert calls <= 10

    asyncio.run(run())


def test_relay_serves_only_gateway_addresses() -> None:
    """The plan contains API keys."""

    async def run() -> None:
        async with gateway_set.running_gateways(2) as pair:
            port = pair.processes[0].relay_port
            reader, writer = await asyncio.open_connection(
                gateway_set.address(1),
                port,
                local_addr=(gateway_set.address(77), 0),
            )
            writer.write(b'GET /news HTTP/1.1\r\nHost: x\r\n\r\n')
            response = await rigs.read_response(reader)
            writer.close()
            assert response.status == 404

    asyncio.run(run())
