"""A plain service, which executes calls that must not be repeated."""

import threading
import time
import typing

import cherrypy

from aspenfold_standins import json_server


class PlainService:
    """Executes and records every call.

    Faults: ``delay_ms`` (delay of every response), ``lose_answers`` (the
    number of next calls that run but get no response).
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._executions: list[dict[str, typing.Any]] = []
        self._faults = json_server.Faults()

    def application(self) -> json_server.Application:
        """Return the HTTP routes."""
        app = json_server.Application()
        app.route('POST', 'faults', self._faults.handle_post)
        app.route('GET', 'record', self._record)
        app.route('POST', '*', self._execute)
        return app

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._lock:
            return {'runs': list(self._executions)}

    def _execute(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        headers = cherrypy.request.headers
        operation = cherrypy.request.path_info
        with self._lock:
            number = len(self._executions) + 1
            self._executions.append(
                {
                    'number': number,
                    'operation': operation,
                    'attempt': headers.get('Aspenfold-Attempt', ''),
                    'call': headers.get('X-Request-Id', ''),
                    'body': body,
                    'started': time.time(),
                }
            )
            loses_response = self._faults.consume('lose_answers')
        time.sleep(self._faults.get('delay_ms') / 1000)
        if loses_response:
            raise json_server.ResponseLost
        return {'operation': operation, 'run': number, 'echo': body}
