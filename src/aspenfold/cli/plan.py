"""``aspenfold-plan``: operators' tool for the gateway's plans."""

import asyncio
from collections import abc
import typing

import fire

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import plans
from aspenfold._internal.commands import quarantines
from aspenfold._internal import exceptions
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock
from aspenfold.platform import config
from aspenfold.platform import factory
from aspenfold.platform import settings as platform_settings

Result = typing.TypeVar('Result')


class PlanCommands:
    """Check plans, show what the platform's store has, end quarantines.

    The address of the store is --store IP:PORT, or comes from a gateway's
    settings file, named by the environment variable ASPENFOLD_SETTINGS.

    Exit statuses: 0 success, 1 no such route or quarantine, 2 invalid input,
    5 the store is unavailable.
    """

    def __init__(self, store: str = '') -> None:
        self._store = store

    def validate(self, plan_file: str, json: bool = False) -> None:
        """Check a plan file.  Example: aspenfold-plan validate plan.json"""
        exit_status.run_and_exit(
            lambda: plans.ValidateCommand().run(
                plans.load_plan(plan_file, config.decode), as_json=json
            )
        )

    def explain(
        self, host: str, path: str, plan_file: str = '', json: bool = False
    ) -> None:
        """Show which route a request takes.

        Uses the plan in --plan_file, or else the newest one in the store.
        """

        def run() -> exit_status.ExitStatus:
            if plan_file:
                plan = plans.load_plan(plan_file, config.decode)
            else:
                plan = self._query(plans.read_history)[-1].plan
            return plans.ExplainCommand().run(plan, host, path, as_json=json)

        exit_status.run_and_exit(run)

    def status(self, json: bool = False) -> None:
        """Show the newest plan, endpoints, gateways and leases."""
        exit_status.run_and_exit(
            lambda: plans.StatusCommand().run(
                self._query(plans.read_status), as_json=json
            )
        )

    def audit(self, json: bool = False) -> None:
        """Show what each plan that the store still has changed."""
        exit_status.run_and_exit(
            lambda: plans.AuditCommand().run(
                self._query(plans.read_history), as_json=json
            )
        )

    def quarantine(self, json: bool = False) -> None:
        """Show which requests are kept from all endpoints, and why."""
        exit_status.run_and_exit(
            lambda: quarantines.QuarantineCommand().run(
                self._query(quarantines.read_holds), as_json=json
            )
        )

    def release(self, fingerprint: str, json: bool = False) -> None:
        """End a quarantine: such requests are sent to endpoints again.

        All gateways learn it through the store.  If endpoints end again the
        quarantine returns.
        """
        name = fingerprints.Fingerprint(str(fingerprint))
        now = clock.SystemClock().now()

        def run() -> exit_status.ExitStatus:
            before = self._query(
                lambda platform: quarantines.write_release(platform, name, now)
            )
            return quarantines.ReleaseCommand().run(name, before, as_json=json)

        exit_status.run_and_exit(run)

    def _query(
        self,
        query: abc.Callable[[ports.Platform], abc.Awaitable[Result]],
    ) -> Result:
        """Return what ``query`` reads from the store.

        Raises ConfigError if the store is unavailable.
        """

        async def run_query() -> Result:
            return await query(factory.create_platform(self._address()))

        try:
            return asyncio.run(run_query())
        except ports.StoreUnavailable as exc:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.LOG_DOWN,
                    detail=f'the store is unavailable: {exc}',
                    field='store',
                    remedy='check its address, or try again later',
                )
            ) from exc

    def _address(self) -> settings.TcpAddress:
        if self._store:
            return platform_settings.parse_address(self._store, 'store')
        cfg = platform_settings.load_gateway(
            platform_settings.path_from_environment()
        )
        return cfg.store


def main() -> None:
    """Run the program."""
    fire.Fire(PlanCommands, name='aspenfold-plan')
