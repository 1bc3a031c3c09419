"""The platform's host list, with a delay before changes show."""

import threading
import time
import typing

from aspenfold_standins import json_server


class HostListService:
    """Serves the host list and its changes.

    ``PUT /hosts`` adds or changes hosts, ``DELETE /hosts/NAME`` removes
    one, ``GET /hosts`` lists them.  Faults: ``down`` (requests to list
    fail), ``lag_ms`` (changes show after this delay).
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._hosts: dict[str, typing.Any] = {}
        self._history: list[tuple[float, int, list[typing.Any]]] = [
            (0.0, 0, [])
        ]
        self._faults = json_server.Faults()

    def application(self) -> json_server.Application:
        """Return the HTTP routes."""
        app = json_server.Application()
        app.route('PUT', 'hosts', self._put)
        app.route('DELETE', 'hosts', self._delete)
        app.route('GET', 'hosts', self._list)
        app.route('POST', 'faults', self._faults.handle_post)
        return app

    def _put(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._lock:
            for host in body if isinstance(body, list) else [body]:
                self._hosts[host['name']] = host
            return self._record_version()

    def _delete(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._lock:
            self._hosts.pop(path[0], None)
            return self._record_version()

    def _record_version(self) -> typing.Any:
        version = self._history[-1][1] + 1
        self._history.append(
            (time.monotonic(), version, list(self._hosts.values()))
        )
        return {'version': version}

    def _list(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        if self._faults.get('down'):
            raise json_server.HttpError(503, 'the host list is down')
        visible_until = time.monotonic() - self._faults.get('lag_ms') / 1000
        with self._lock:
            visible = [row for row in self._history if row[0] <= visible_until]
            _, version, hosts = visible[-1]
        return {'version': version, 'hosts': hosts}
