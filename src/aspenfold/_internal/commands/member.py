"""``aspenfold drain`` and ``undrain``."""

import typing

from aspenfold._internal.commands import exits
from aspenfold._internal.commands import output
from aspenfold._internal.commands import platform as platform_module
from aspenfold._internal import exceptions
from aspenfold._internal.models import records


class MemberCommand:
    """Records that an endpoint drains, or takes work again."""

    def __init__(self, *, platform: platform_module.Platform) -> None:
        self._platform = platform

    def run(
        self,
        endpoint: str,
        state: typing.Literal['live', 'draining'],
        *,
        reason: str,
        as_json: bool,
    ) -> exits.Exit:
        """Record the endpoint's new state."""
        if state == 'draining':
            self._check(endpoint)
        record = records.MembershipChange(
            **self._platform.header(),
            endpoint=endpoint,
            state=state,
            reason=reason,
        )
        self._platform.catch_up()
        judged = self._platform.append(record)
        output.show(
            [
                {
                    'endpoint': endpoint,
                    'state': state,
                    'offset': judged.record.offset,
                    'verdict': judged.verdict.value,
                }
            ],
            as_json=as_json,
        )
        return exits.Exit.OK

    def _check(self, endpoint: str) -> None:
        """Refuse a name that the host list does not have.

        While the host list is down a drain is not held up by it.
        """
        known = self._platform.endpoint_names()
        if not known or endpoint in known:
            return
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.NOT_FOUND,
                detail=f'the host list has no endpoint {endpoint!r}',
                field='endpoint',
                remedy=f'use one of {known}',
            )
        )
