"""What the stand-ins share: a JSON over HTTP server by CherryPy."""

from collections import abc
import json
import logging
import time
import typing

import cherrypy

THREADS = 80
READY_WAIT = 0.01


class HttpError(Exception):
    """An answer with an error status."""

    def __init__(self, status: int, detail: str, **headers: str) -> None:
        super().__init__(detail)
        self.status = status
        self.headers = headers


class Lost(Exception):
    """Cut the connection instead of answering."""


Handler = abc.Callable[..., typing.Any]


class Application:
    """Routes ``(method, first path parts)`` to handlers.

    A handler gets the rest of the path, the query and the JSON body; it
    returns a JSON value, or an iterator of bytes for a stream.
    """

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], Handler] = {}

    def route(self, method: str, name: str, handler: Handler) -> None:
        """Serve ``method /name/...`` by ``handler``."""
        self._routes[method, name] = handler

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> typing.Any:
        """Serve every request."""
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
        except Lost:
            # A length that never comes, on a connection that closes.
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
    """Faults of a stand-in by name, switched by ``POST /faults``."""

    def __init__(self, **initial: typing.Any) -> None:
        self.values: dict[str, typing.Any] = dict(initial)

    def get(self, name: str) -> typing.Any:
        """Return a fault's value, 0 if it is off."""
        return self.values.get(name, 0)

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; return whether there was one."""
        left = self.get(name)
        if left > 0:
            self.values[name] = left - 1
        return bool(left > 0)

    def serve(
        self, path: typing.Any, query: typing.Any, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Handle ``POST /faults``."""
        self.values.update(body)
        return {}


def serve(app: Application, *, name: str, port: int) -> None:
    """Serve until a signal; print a JSON line once ready."""
    logging.getLogger('cherrypy').setLevel(logging.CRITICAL)
    cherrypy.config.update(
        {
            'environment': 'embedded',
            'server.socket_host': '127.0.0.1',
            'server.socket_port': port,
            'server.thread_pool': THREADS,
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
        time.sleep(READY_WAIT)
    bound = cherrypy.server.httpserver.bind_addr[1]
    print(json.dumps({'ready': name, 'port': bound}), flush=True)
    cherrypy.engine.block()
