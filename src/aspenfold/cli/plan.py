"""``aspenfold-plan``: the operators' plans on the users' platform."""

import asyncio
from collections import abc
import typing

import fire

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import plans
from aspenfold._internal import exceptions
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold.platform import config
from aspenfold.platform import factory
from aspenfold.platform import settings as platform_settings

Result = typing.TypeVar('Result')


class PlanCommands:
    """Check plans, and see what the platform's store has.

    The store is the one that the settings file of any gateway names, or
    --store IP:PORT.

    Exit statuses: 0 done, 1 no route, 2 bad input, 5 the store does not
    answer.
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
        """Show which route a request takes, by a file or the store."""

        def work() -> exit_status.Exit:
            if plan_file:
                plan = plans.load_plan(plan_file, config.decode)
            else:
                plan = self._ask(plans.read_history)[-1].plan
            return plans.ExplainCommand().run(plan, host, path, as_json=json)

        exit_status.run_and_exit(work)

    def status(self, json: bool = False) -> None:
        """Show the newest plan, endpoints, gateways and leases."""
        exit_status.run_and_exit(
            lambda: plans.StatusCommand().run(
                self._ask(plans.read_status), as_json=json
            )
        )

    def audit(self, json: bool = False) -> None:
        """Show what each plan that the store still has changed."""
        exit_status.run_and_exit(
            lambda: plans.AuditCommand().run(
                self._ask(plans.read_history), as_json=json
            )
        )

    def _ask(
        self,
        question: abc.Callable[[ports.Platform], abc.Awaitable[Result]],
    ) -> Result:
        async def ask() -> Result:
            return await question(factory.create_platform(self._address()))

        try:
            return asyncio.run(ask())
        except ports.StoreUnavailable as exc:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.LOG_DOWN,
                    detail=f'the store does not answer: {exc}',
                    field='store',
                    remedy='check its address, or try again later',
                )
            ) from exc

    def _address(self) -> settings.TcpAddress:
        if self._store:
            return platform_settings.parse_address(self._store, 'store')
        found = platform_settings.load_gateway(
            platform_settings.path_from_environment()
        )
        return found.store


def main() -> None:
    """Run the command line."""
    fire.Fire(PlanCommands, name='aspenfold-plan')
