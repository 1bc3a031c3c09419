"""A JSON-over-HTTP server on CherryPy, and its faults, for stand-ins."""

from collections import abc
import json
import logging
import time
import typing

import cherrypy

THREAD_COUNT = 80
READY_POLL_INTERVAL_S = 0.01


class HttpError(Exception):
    """Raised by a handler to respond with an error status.

    Underscores in the names of ``headers`` become hyphens.
    """

    def __init__(self, status: int, detail: str, **headers: str) -> None:
        super().__init__(detail)
        self.status = status
        self.headers = headers


class ResponseLost(Exception):
    """Raised by a handler to close the connection before the body."""


Handler = abc.Callable[..., typing.Any]


class Application:
    """Routes requests to handlers by method and first path segment.

    A handler gets the other path segments, the query and the JSON body.
    It returns a JSON value, or an iterator of bytes for a stream.
    """

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], Handler] = {}

    def route(self, method: str, name: str, handler: Handler) -> None:
        """Add a handler of ``method /name/...``; ``*`` is any name."""
        self._routes[method, name] = handler

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> typing.Any:
        """Handle every request; CherryPy calls this method."""
        request = cherrypy.request
        name = path[0] if path else ''
        handler = self._routes.get((request.method, name))
        handler = handler or self._routes.get((request.method, '*'))
        if handler is None:
            raise cherrypy.HTTPError(404)
        body = None
        if request.method in ('POST', 'PUT'):
            raw = request.rfile.read()
            body = json.loads(raw) if raw else None
        try:
            result = handler(path[1:], query, body)
        except HttpError as exc:
            cherrypy.response.status = exc.status
            for key, value in exc.headers.items():
                cherrypy.response.headers[key.replace('_', '-')] = value
            result = {'error': str(exc)}
        except ResponseLost:
            # The body is shorter than its length, so the client fails.
            cherrypy.response.headers['Content-Length'] = '100'
            cherrypy.response.headers['Connection'] = 'close'
            return iter(())
        if isinstance(result, abc.Iterator):
            cherrypy.response.headers['Content-Type'] = 'text/event-stream'
            return result
        cherrypy.response.headers['Content-Type'] = 'application/json'
        return json.dumps(result).encode()

    default._cp_config = {'response.stream': True}


class Faults:
    """Values of faults by name, set by ``POST /faults``."""

    def __init__(self, **initial: typing.Any) -> None:
        self.values: dict[str, typing.Any] = dict(initial)

    def get(self, name: str) -> typing.Any:
        """Return the value of a fault, 0 if it is off."""
        return self.values.get(name, 0)

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return whether it was above 0."""
        remaining = self.get(name)
        if remaining > 0:
            self.values[name] = remaining - 1
        return bool(remaining > 0)

    def handle_post(
        self, path: typing.Any, query: typing.Any, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Handle ``POST /faults``."""
        self.values.update(body)
        return {}


def serve(app: Application, *, name: str, port: int) -> None:
    """Serve until the process gets a signal.

    Once ready, prints a JSON line with ``name`` and the bound port.
    """
    logging.getLogger('cherrypy').setLevel(logging.CRITICAL)
    cherrypy.config.update(
        {
            'environment': 'embedded',
            'server.socket_host': '127.0.0.1',
            'server.socket_port': port,
            'server.thread_pool': THREAD_COUNT,
            'request.body.processors': {},
            'request.process_request_body': False,
            'log.screen': False,
        }
    )
    cherrypy.tree.mount(app, '/')
    cherrypy.engine.signals.subscribe()
    cherrypy.server.subscribe()
    cherrypy.engine.start()
    while not cherrypy.server.httpserver.ready:
        time.sleep(READY_POLL_INTERVAL_S)
    bound_port = cherrypy.server.httpserver.bind_addr[1]
    print(json.dumps({'ready': name, 'port': bound_port}), flush=True)
    cherrypy.engine.block()
