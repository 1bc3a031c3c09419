"""Steps of the scenario language; few and general.

Nodes: ``entry-N``, ``agent of NAME``, ``endpoint NAME``.
"""

import dataclasses

from aspenfold_standins import sim as sim_module
import pytest_bdd
from pytest_bdd import parsers
from tests.lib import history_checks
from tests.lib import simulated_cluster

given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then
parse = parsers.parse


@dataclasses.dataclass(kw_only=True)
class Scene:
    """A scenario's world, its requests by name, and its tickets."""

    world: simulated_cluster.SimulatedCluster
    requests: dict[str, simulated_cluster.Submission] = dataclasses.field(
        default_factory=dict
    )
    marks: dict[str, int] = dataclasses.field(default_factory=dict)


def node(scene: Scene, name: str) -> sim_module.SimulatedProcess:
    """Return an entry, an endpoint, or the agent of an endpoint."""
    if name.startswith('agent of '):
        return scene.world.agents[name.removeprefix('agent of ')]
    if name.startswith('endpoint '):
        return scene.world.endpoints[name.removeprefix('endpoint ')]
    return scene.world.entries[name]


@given(
    parse('{entries:d} entries and {endpoints:d} endpoints a service'),
    target_fixture='scene',
)
def _world(entries: int, endpoints: int) -> Scene:
    world = simulated_cluster.SimulatedCluster(
        seed=1, entries=entries, endpoints=endpoints
    )
    return Scene(world=world)


@when(parse('"{name}" asks for {operation} at {entry}'))
def _ask(scene: Scene, name: str, operation: str, entry: str) -> None:
    scene.requests[name] = scene.world.submit(operation, entry)


@when(parse('"{name}" asks for {operation} with key {key} at {entry}'))
def _ask_key(
    scene: Scene, name: str, operation: str, key: str, entry: str
) -> None:
    if key == 'ticket':
        key = scene.world.ticket('till')
    if key.startswith('of '):
        key = scene.requests[key.removeprefix('of ')].call.key
    scene.requests[name] = scene.world.submit(operation, entry, key=key)


@when(parse('{ms:d} ms pass'))
def _pass(scene: Scene, ms: int) -> None:
    scene.world.sim.run(ms)


@when(parse('{name} is frozen'))
def _freeze(scene: Scene, name: str) -> None:
    node(scene, name).freeze()


@when(parse('{name} is thawed'))
def _thaw(scene: Scene, name: str) -> None:
    node(scene, name).thaw()


@when(parse('the agent of {name} is killed'))
def _kill_agent(scene: Scene, name: str) -> None:
    scene.world.kill_agent(name)


@when(parse('the agent of {name} is restarted'))
def _restart_agent(scene: Scene, name: str) -> None:
    scene.world.start_agent(name)


@when(parse('the agent of {name} gets SIGTERM'))
def _terminate_agent(scene: Scene, name: str) -> None:
    scene.world.terminate_agent(name)
    scene.marks[name] = scene.world.sim.ms


@when(parse('{name} is shutting down'))
def _drain_entry(scene: Scene, name: str) -> None:
    scene.world.terminate_entry(name)


@when(parse('entry-{number:d} is killed'))
def _kill_entry(scene: Scene, number: int) -> None:
    scene.world.kill_entry(f'entry-{number}')


@when(parse('{one} is cut from {two}'))
def _cut(scene: Scene, one: str, two: str) -> None:
    scene.world.cut(one, two)


@when('the network heals')
def _heal(scene: Scene) -> None:
    scene.world.network.heal()
    scene.world.network.jitter_ms = 2.0
    scene.world.network.duplicate_probability = 0.0


@when('the platform goes down')
def _down(scene: Scene) -> None:
    scene.world.log.down = True


@when('the platform comes back')
def _up(scene: Scene) -> None:
    scene.world.log.down = False


@when(parse('appends take {ms:d} ms'))
def _slow(scene: Scene, ms: int) -> None:
    scene.world.append_ms = float(ms)


@when('every append loses its answer')
def _lose_appends(scene: Scene) -> None:
    scene.world.lost_append_answers = 1.0


@when(parse('the next {count:d} answers of endpoint {name} are lost'))
def _lose_answers(scene: Scene, count: int, name: str) -> None:
    scene.world.endpoints[name].lose_answers = count


@when(parse('all endpoints take {ms:d} ms'))
def _service_time(scene: Scene, ms: int) -> None:
    for endpoint in scene.world.endpoints.values():
        endpoint.service_ms = float(ms)


@when(parse('messages take up to {ms:d} ms'))
def _late(scene: Scene, ms: int) -> None:
    scene.world.network.jitter_ms = float(ms)


@when('every message arrives twice')
def _twice(scene: Scene) -> None:
    scene.world.network.duplicate_probability = 1.0


@when('every open leg breaks')
def _break(scene: Scene) -> None:
    scene.world.break_legs()


@when(parse('{name} is drained by an operator'))
def _drain(scene: Scene, name: str) -> None:
    scene.world.member(name, 'draining')
    scene.marks[name] = scene.world.sim.ms


@when(parse('the host of {name} is listed as leaving'))
def _leaving(scene: Scene, name: str) -> None:
    scene.world.leaving.add(name)
    scene.marks[name] = scene.world.sim.ms


@when(parse('the claims are trimmed to {keep:d}'))
def _trim(scene: Scene, keep: int) -> None:
    scene.world.log.trim('claims-0', keep)


@when(parse('entry-{number:d} is started in {zone}'))
def _start_entry(scene: Scene, number: int, zone: str) -> None:
    name = f'entry-{number}'
    scene.world.entries[name] = simulated_cluster.EntryNode(
        world=scene.world, name=name, zone=zone
    )


@when(parse('{count:d} pings are sent to {entry} over {ms:d} ms'))
def _pings(scene: Scene, count: int, entry: str, ms: int) -> None:
    for _ in range(count):
        scene.world.submit('ping', entry)
        scene.world.sim.run(ms / count)


@then(parse('"{name}" is answered {outcome}'))
def _answered(scene: Scene, name: str, outcome: str) -> None:
    request = scene.requests[name]
    assert request.outcome == outcome, request.failure


@then(parse('"{name}" has no answer yet'))
def _unanswered(scene: Scene, name: str) -> None:
    assert scene.requests[name].answers == 0


@then(parse('"{name}" is told {outcome}'))
def _told(scene: Scene, name: str, outcome: str) -> None:
    failure = scene.requests[name].failure
    assert failure is not None
    assert failure.outcome.value == outcome, failure


@then(parse('"{name}" may come back later'))
def _retry_after(scene: Scene, name: str) -> None:
    failure = scene.requests[name].failure
    assert failure is not None
    assert failure.retry_after is not None


@then(parse('"{name}" ran {count:d} times'))
def _ran(scene: Scene, name: str, count: int) -> None:
    key = scene.requests[name].call.key
    calls = {
        s.call.call_id
        for s in scene.world.submissions
        if s is scene.requests[name] or (key and s.call.key == key)
    }
    runs = [e for e in scene.world.executions if e.call_id in calls]
    assert len(runs) == count, runs


@then(parse('"{one}" and "{two}" have the same answer'))
def _same(scene: Scene, one: str, two: str) -> None:
    first, second = scene.requests[one], scene.requests[two]
    assert first.whole
    assert second.whole
    assert first.items == second.items


@then(parse('nothing started at {name} later than {ms:d} ms after it left'))
def _no_start(scene: Scene, name: str, ms: int) -> None:
    limit = (
        sim_module.START + (scene.marks[name] + ms) * sim_module.MILLISECOND
    )
    late = [
        run
        for run in scene.world.executions
        if run.endpoint == name and run.at > limit
    ]
    assert late == []


@then(parse('something started at {name}'))
def _some_start(scene: Scene, name: str) -> None:
    assert any(run.endpoint == name for run in scene.world.executions)


@then('the history is sound')
def _sound(scene: Scene) -> None:
    scene.world.sim.run(10_000)
    assert history_checks.check(scene.world) == []
