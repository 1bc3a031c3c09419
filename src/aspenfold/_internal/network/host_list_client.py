"""HTTP client of the platform's host list."""

import pydantic

from aspenfold._internal import exceptions
from aspenfold._internal.models import hosts
from aspenfold._internal.network import http


class HostListClient:
    """Reads the host list; its methods block."""

    def __init__(self, *, base_url: str) -> None:
        self._pool = http.connection_pool(base_url)

    def read(self) -> hosts.HostList:
        """Return the current host list.

        Raises AspenfoldError if the request fails or the list is invalid.
        """
        try:
            data = http.call_json(self._pool, 'GET', '/hosts')
        except http.ServiceError as exc:
            raise _unavailable(str(exc)) from exc
        try:
            return hosts.HostList.model_validate(data)
        except pydantic.ValidationError as exc:
            raise _unavailable(f'it is invalid: {exc}') from exc


def _unavailable(detail: str) -> exceptions.AspenfoldError:
    return exceptions.AspenfoldError(
        exceptions.Failure(
            code=exceptions.Code.HOST_LIST_DOWN,
            detail=f'the host list is unavailable: {detail}',
            remedy='check the host list and try again',
        )
    )
