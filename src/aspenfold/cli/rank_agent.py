"""``aspenfold-rank-agent``: forwards calls to the engine on its host."""

import sys

from aspenfold._internal.commands import exit_status
from aspenfold._internal.kernel import clock
from aspenfold._internal.observability import events
from aspenfold._internal.processes import event_loop
from aspenfold._internal.processes import rank_agent
from aspenfold.platform import engine
from aspenfold.platform import settings


def main() -> None:
    """Serve with the settings file that the environment names."""
    sys.exit(exit_status.run_command(_serve))


def _serve() -> exit_status.ExitStatus:
    cfg = settings.load_rank_agent(settings.path_from_environment())
    events.configure_output()

    async def run() -> None:
        agent = rank_agent.RankAgent(
            cfg=cfg,
            engine=engine.EngineClient(),
            read_targets=engine.READ_TARGETS,
            order_target=engine.ORDER_TARGET,
            clock=clock.MonotonicClock(),
        )
        await agent.run()

    event_loop.run(run())
    return exit_status.ExitStatus.OK
