"""Steps of the scenarios in ``tests/unit/features``.

A step names a process as ``entry-N``, ``agent of NAME`` or
``endpoint NAME``, where NAME is an endpoint.
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
class ScenarioContext:
    """State of a scenario.

    ``submissions`` is by the names in the scenario, ``drain_started_ms``
    by endpoint.
    """

    cluster: simulated_cluster.SimulatedCluster
    submissions: dict[str, simulated_cluster.Submission] = dataclasses.field(
        default_factory=dict
    )
    drain_started_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def find_process(
    context: ScenarioContext, name: str
) -> sim_module.SimulatedProcess:
    """Return the process that a step names."""
    if name.startswith('agent of '):
        return context.cluster.agents[name.removeprefix('agent of ')]
    if name.startswith('endpoint '):
        return context.cluster.endpoints[name.removeprefix('endpoint ')]
    return context.cluster.entries[name]


@given(
    parse('{entries:d} entries and {endpoints:d} endpoints per service'),
    target_fixture='context',
)
def _cluster(entries: int, endpoints: int) -> ScenarioContext:
    cluster = simulated_cluster.SimulatedCluster(
        seed=1, entries=entries, endpoints=endpoints
    )
    return ScenarioContext(cluster=cluster)


@when(parse('"{name}" requests {operation} at {entry}'))
def _submit(
    context: ScenarioContext, name: str, operation: str, entry: str
) -> None:
    context.submissions[name] = context.cluster.submit(operation, entry)


@when(parse('"{name}" requests {operation} with key {key} at {entry}'))
def _submit_with_key(
    context: ScenarioContext, name: str, operation: str, key: str, entry: str
) -> None:
    if key == 'ticket':
        key = context.cluster.mint_ticket('till')
    if key.startswith('of '):
        key = context.submissions[key.removeprefix('of ')].call.key
    context.submissions[name] = context.cluster.submit(
        operation, entry, key=key
    )


@when(parse('{ms:d} ms pass'))
def _advance(context: ScenarioContext, ms: int) -> None:
    context.cluster.sim.run(ms)


@when(parse('{name} is frozen'))
def _freeze(context: ScenarioContext, name: str) -> None:
    find_process(context, name).freeze()


@when(parse('{name} is thawed'))
def _thaw(context: ScenarioContext, name: str) -> None:
    find_process(context, name).thaw()


@when(parse('the agent of {name} is killed'))
def _kill_agent(context: ScenarioContext, name: str) -> None:
    context.cluster.kill_agent(name)


@when(parse('the agent of {name} is restarted'))
def _restart_agent(context: ScenarioContext, name: str) -> None:
    context.cluster.start_agent(name)


@when(parse('the agent of {name} receives SIGTERM'))
def _terminate_agent(context: ScenarioContext, name: str) -> None:
    context.cluster.terminate_agent(name)
    context.drain_started_ms[name] = context.cluster.sim.ms


@when(parse('{name} is shutting down'))
def _drain_entry(context: ScenarioContext, name: str) -> None:
    context.cluster.terminate_entry(name)


@when(parse('entry-{number:d} is killed'))
def _kill_entry(context: ScenarioContext, number: int) -> None:
    context.cluster.kill_entry(f'entry-{number}')


@when(parse('{zone_a} is partitioned from {zone_b}'))
def _partition(context: ScenarioContext, zone_a: str, zone_b: str) -> None:
    context.cluster.partition(zone_a, zone_b)


@when('the network heals')
def _heal(context: ScenarioContext) -> None:
    context.cluster.network.heal()
    context.cluster.network.jitter_ms = 2.0
    context.cluster.network.duplicate_probability = 0.0


@when('the platform goes down')
def _stop_platform(context: ScenarioContext) -> None:
    context.cluster.log.down = True


@when('the platform comes back')
def _restart_platform(context: ScenarioContext) -> None:
    context.cluster.log.down = False


@when(parse('appends take {ms:d} ms'))
def _slow_appends(context: ScenarioContext, ms: int) -> None:
    context.cluster.append_duration_ms = float(ms)


@when('the response to every append is lost')
def _lose_append_responses(context: ScenarioContext) -> None:
    context.cluster.append_response_loss_probability = 1.0


@when(parse('the next {count:d} answers of endpoint {name} are lost'))
def _lose_answers(context: ScenarioContext, count: int, name: str) -> None:
    context.cluster.endpoints[name].answers_to_lose = count


@when(parse('endpoints answer after {ms:d} ms'))
def _service_time(context: ScenarioContext, ms: int) -> None:
    for endpoint in context.cluster.endpoints.values():
        endpoint.service_time_ms = float(ms)


@when(parse('messages are delayed by up to {ms:d} ms'))
def _delay_messages(context: ScenarioContext, ms: int) -> None:
    context.cluster.network.jitter_ms = float(ms)


@when('every message arrives twice')
def _duplicate_messages(context: ScenarioContext) -> None:
    context.cluster.network.duplicate_probability = 1.0


@when('every open answer stream breaks')
def _break_streams(context: ScenarioContext) -> None:
    context.cluster.break_streams()


@when(parse('an operator drains {name}'))
def _drain_endpoint(context: ScenarioContext, name: str) -> None:
    context.cluster.change_membership(name, 'draining')
    context.drain_started_ms[name] = context.cluster.sim.ms


@when(parse('the host of {name} is listed as leaving'))
def _list_as_leaving(context: ScenarioContext, name: str) -> None:
    context.cluster.leaving_hosts.add(name)
    context.drain_started_ms[name] = context.cluster.sim.ms


@when(parse('all but the newest {keep:d} claim batches are trimmed'))
def _trim_claims(context: ScenarioContext, keep: int) -> None:
    context.cluster.log.trim('claims-0', keep)


@when(parse('entry-{number:d} is started in {zone}'))
def _start_entry(context: ScenarioContext, number: int, zone: str) -> None:
    name = f'entry-{number}'
    context.cluster.entries[name] = simulated_cluster.SimulatedEntry(
        cluster=context.cluster, name=name, zone=zone
    )


@when(parse('{count:d} pings are sent to {entry} over {ms:d} ms'))
def _submit_pings(
    context: ScenarioContext, count: int, entry: str, ms: int
) -> None:
    for _ in range(count):
        context.cluster.submit('ping', entry)
        context.cluster.sim.run(ms / count)


@then(parse('the result of "{name}" is {result}'))
def _result(context: ScenarioContext, name: str, result: str) -> None:
    submission = context.submissions[name]
    assert submission.result == result, submission.failure


@then(parse('"{name}" has no answer yet'))
def _has_no_answer(context: ScenarioContext, name: str) -> None:
    assert context.submissions[name].answer_count == 0


@then(parse('the outcome of "{name}" is {outcome}'))
def _outcome(context: ScenarioContext, name: str, outcome: str) -> None:
    failure = context.submissions[name].failure
    assert failure is not None
    assert failure.outcome.value == outcome, failure


@then(parse('"{name}" may be retried later'))
def _may_retry(context: ScenarioContext, name: str) -> None:
    failure = context.submissions[name].failure
    assert failure is not None
    assert failure.retry_after is not None


@then(parse('"{name}" ran {count:d} times'))
def _execution_count(context: ScenarioContext, name: str, count: int) -> None:
    key = context.submissions[name].call.key
    calls = {
        s.call.call_id
        for s in context.cluster.submissions
        if s is context.submissions[name] or (key and s.call.key == key)
    }
    executions = [e for e in context.cluster.executions if e.call_id in calls]
    assert len(executions) == count, executions


@then(parse('"{one}" and "{two}" have the same answer'))
def _same_answer(context: ScenarioContext, one: str, two: str) -> None:
    first, second = context.submissions[one], context.submissions[two]
    assert first.complete
    assert second.complete
    assert first.items == second.items


@then(
    parse(
        'nothing started at {name} more than {ms:d} ms after its drain began'
    )
)
def _no_start_after(context: ScenarioContext, name: str, ms: int) -> None:
    limit = (
        sim_module.START
        + (context.drain_started_ms[name] + ms) * sim_module.MILLISECOND
    )
    late = [
        execution
        for execution in context.cluster.executions
        if execution.endpoint == name and execution.started_at > limit
    ]
    assert late == []


@then(parse('something started at {name}'))
def _has_started(context: ScenarioContext, name: str) -> None:
    assert any(
        execution.endpoint == name for execution in context.cluster.executions
    )


@then('all guarantees hold')
def _guarantees_hold(context: ScenarioContext) -> None:
    context.cluster.sim.run(10_000)
    assert history_checks.check_all(context.cluster) == []
