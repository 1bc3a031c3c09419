"""``aspenfold drain`` and ``undrain``."""

import typing

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import fleet_client
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions
from aspenfold._internal.models import records


class MembershipCommand:
    """Changes the state of an endpoint to draining or live."""

    def __init__(self, *, client: fleet_client.FleetClient) -> None:
        self._client = client

    def run(
        self,
        endpoint: str,
        state: typing.Literal['live', 'draining'],
        *,
        reason: str,
        as_json: bool,
    ) -> exit_status.ExitStatus:
        """Append the endpoint's new state to the log.

        Raises ConfigError if there is no such endpoint to drain.
        """
        if state == 'draining':
            self._check_endpoint(endpoint)
        record = records.MembershipChange(
            **self._client.record_header(),
            endpoint=endpoint,
            state=state,
            reason=reason,
        )
        self._client.catch_up()
        applied = self._client.append(record)
        output.print_rows(
            [
                {
                    'endpoint': endpoint,
                    'state': state,
                    'offset': applied.record.offset,
                    'verdict': applied.verdict.value,
                }
            ],
            as_json=as_json,
        )
        return exit_status.ExitStatus.OK

    def _check_endpoint(self, endpoint: str) -> None:
        """Raise ConfigError if the host list lacks the endpoint.

        Skipped while the host list is down, so that draining still works.
        """
        names = self._client.list_endpoint_names()
        if not names or endpoint in names:
            return
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.NOT_FOUND,
                detail=f'the host list has no endpoint {endpoint!r}',
                field='endpoint',
                remedy=f'use one of {names}',
            )
        )
