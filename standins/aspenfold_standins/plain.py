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
        self._faults = server.Faults()

    def application(self) -> server.Application:
        """Return the HTTP routes."""
        app = server.Application()
        app.route('POST', 'faults', self._faults.serve)
        app.route('GET', 'record', self._record)
        app.route('POST', '*', self._run)
        return app

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
            lose = self._faults.take('lose_answers')
        time.sleep(self._faults.get('delay_ms') / 1000)
        if lose:
            raise server.Lost
        return {'operation': operation, 'run': number, 'echo': body}
