"""A plain service, some of whose calls must not be repeated."""

import threading
import time
import typing

import cherrypy

from aspenfold_standins import server


class PlainService:
    """Executes every call that reaches it and records it.

    Faults: ``delay_ms``; ``lose_answers``: so many next calls run but
    their answers are lost; ``refuse``: connections are cut unread.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: list[dict[str, typing.Any]] = []
        self._faults: dict[str, int] = {}

    def application(self) -> server.Application:
        """Return the HTTP routes."""
        app = server.Application()
        app.route('POST', 'faults', self._set_faults)
        app.route('GET', 'record', self._record)
        app.route('POST', '*', self._run)
        return app

    def _set_faults(
        self, path: typing.Any, query: typing.Any, body: dict[str, int]
    ) -> typing.Any:
        self._faults.update(body)
        return {}

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._lock:
            return {'runs': list(self._runs)}

    def _run(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        headers = cherrypy.request.headers
        operation = cherrypy.request.path_info
        with self._lock:
            number = len(self._runs) + 1
            self._runs.append(
                {
                    'number': number,
                    'operation': operation,
                    'attempt': headers.get('Aspenfold-Attempt', ''),
                    'call': headers.get('X-Request-Id', ''),
                    'body': body,
                    'started': time.time(),
                }
            )
            lose = self._faults.get('lose_answers', 0) > 0
            if lose:
                self._faults['lose_answers'] -= 1
        time.sleep(self._faults.get('delay_ms', 0) / 1000)
        if lose:
            raise server.Lost
        return {'operation': operation, 'run': number, 'echo': body}
