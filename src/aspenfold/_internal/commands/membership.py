"""``aspenfold drain`` and ``undrain``."""

import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions
from aspenfold._internal.models import records


class MembershipCommand:
    """Records that an endpoint drains, or takes work again."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(
        self,
        endpoint: str,
        state: typing.Literal['live', 'draining'],
        *,
        reason: str,
        as_json: bool,
    ) -> exit_status.Exit:
        """Record the endpoint's new state."""
        if state == 'draining':
            self._check(endpoint)
        record = records.MembershipChange(
            **self._client.record_header(),
            endpoint=endpoint,
            state=state,
            reason=reason,
        )
        self._client.catch_up()
        judged = self._client.append(record)
        output.print_rows(
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
        return exit_status.Exit.OK

    def _check(self, endpoint: str) -> None:
        """Refuse a name that the host list does not have.

        While the host list is down a drain is not held up by it.
        """
        known = self._client.list_endpoint_names()
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
