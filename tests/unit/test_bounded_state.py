"""The state of a long-lived process does not grow with its work."""

import datetime

from aspenfold_standins import sim as sim_module
from tests.lib import simulated_group

from aspenfold._internal.attempts import actions
from aspenfold._internal.attempts import kernel as agent_kernel
from aspenfold._internal.kernel import frames

MAX_UNFINISHED_RUNS = 8


def test_group_machines_forget_finished_runs() -> None:
    """Leader and ranks keep only unfinished runs."""
    group = simulated_group.SimulatedGroup(seed=1)
    group.set_plan(5)
    group.sim.run(20_000)
    assert group.completed_steps > 3000
    leader = group.agents[0].leader
    assert leader is not None
    for member in leader._members.values():
        assert len(member.runs) < MAX_UNFINISHED_RUNS
    for agent in group.agents:
        assert len(agent.machine._ordered_runs) < MAX_UNFINISHED_RUNS


def test_agent_forgets_attempts_after_their_retention() -> None:
    """The agent forgets attempts, and the order in which they finished."""
    kernel = agent_kernel.AgentKernel(
        incarnation='me', capacity=2, answer_memory=1 << 20
    )
    now = sim_module.START
    for number in range(50):
        request = frames.AttemptRequest(
            attempt_id=str(number),
            incarnation='me',
            mode=frames.Mode.RUN,
            call_id='c',
            organisation='o',
            operation='job',
            priority='interactive',
            body=b'{}',
            digest=b'',
            repeatable=False,
            streamed=False,
            deadline=now + datetime.timedelta(seconds=1),
        )
        result = kernel.execute(number, request, now)
        assert isinstance(result[0], actions.CallEndpoint)
        kernel.on_endpoint_ended(request.attempt_id, now)
    kernel.tick(
        now + agent_kernel.ATTEMPT_RETENTION + datetime.timedelta(seconds=2)
    )
    assert len(kernel._attempts) == 0
    assert len(kernel._finished) == 0
