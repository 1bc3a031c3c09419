"""``aspenfold-gateway``: routes requests on a host of the platform."""

from aspenfold._internal.commands import exit_status
from aspenfold._internal.kernel import clock
from aspenfold._internal.observability import events
from aspenfold._internal.processes import event_loop
from aspenfold._internal.processes import gateway
from aspenfold.platform import factory
from aspenfold.platform import headers
from aspenfold.platform import settings


def main() -> None:
    """Serve with the settings file that the environment names."""
    exit_status.run_and_exit(_serve)


def _serve() -> exit_status.ExitStatus:
    cfg = settings.load_gateway(settings.path_from_environment())
    events.configure_output()
    platform = factory.create_platform(cfg.store)

    async def run() -> None:
        process = gateway.GatewayProcess(
            cfg=cfg,
            platform=platform,
            header_names=headers.HEADER_NAMES,
            clock=clock.MonotonicClock(),
        )
        await process.run()

    event_loop.run(run())
    return exit_status.ExitStatus.OK
