"""The platform's host list by its HTTP protocol."""

from aspenfold._internal import exceptions
from aspenfold._internal.models import hosts
from aspenfold._internal.network import http


class HostListClient:
    """Reads the host list; blocks, so run it in a thread."""

    def __init__(self, *, base_url: str) -> None:
        self._pool = http.connection_pool(base_url)

    def read(self) -> hosts.HostList:
        """Return the list as the platform shows it now."""
        try:
            data = http.call_json(self._pool, 'GET', '/hosts')
        except http.ServiceError as exc:
            raise exceptions.AspenfoldError(
                exceptions.Failure(
                    code=exceptions.Code.HOST_LIST_DOWN,
                    detail=f'the host list did not answer: {exc}',
                    remedy='check the host list and try again',
                )
            ) from exc
        return hosts.HostList.model_validate(data)
