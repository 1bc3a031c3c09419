"""``aspenfold-plan`` against a stand-in of the store."""

import asyncio
import json

from aspenfold._internal.commands import exit_status
from aspenfold.platform import config
from aspenfold.platform import endpoint_records
from tests.lib import gateway_rig as rigs
from tests.lib import plan_program


def test_commands_read_plans_from_the_store() -> None:
    """Covers a trimmed history and an unavailable store."""

    async def scenario() -> None:
        rig = rigs.Rig()
        await rig.store.start()
        port = rig.store.port
        await rig.write_plan(rigs.make_plan(3))
        updated = rigs.make_plan(5)
        routes = updated['routes']
        assert isinstance(routes, list)
        updated['routes'] = [*routes, rigs.make_route('/new/', 'safe')]
        await rig.write_plan(updated)
        worker = await rig.add_worker('w-1')
        await rig.store.put(
            endpoint_records.TOPIC,
            'w-1',
            worker.store_record('plain', 'draining'),
        )
        status, out, _ = await plan_program.run(port, 'status', '--json')
        assert status == exit_status.ExitStatus.OK
        parts = json.loads(out)
        assert parts['plan'][0]['version'] == 5
        assert parts['endpoints'][0]['state'] == 'leaving'
        status, out, _ = await plan_program.run(port, 'audit', '--json')
        rows = [(r['version'], r['change']) for r in json.loads(out)]
        assert rows == [
            (3, 'the oldest plan that the store has'),
            (5, f'route {rigs.HOST}/new/ added'),
        ]
        status, out, _ = await plan_program.run(
            port, 'explain', rigs.HOST, '/new/x'
        )
        assert status == exit_status.ExitStatus.OK
        assert '/new/' in out
        rig.store.compact(config.TOPIC)
        status, out, _ = await plan_program.run(port, 'audit', '--json')
        assert [r['version'] for r in json.loads(out)] == [5]
        await worker.stop()
        await rig.store.stop()
        status, _, err = await plan_program.run(port, 'status')
        assert status == exit_status.ExitStatus.UNREACHABLE
        assert 'store is unavailable' in err

    asyncio.run(scenario())
