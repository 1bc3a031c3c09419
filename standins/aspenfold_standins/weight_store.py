"""The store of expert weights, with a rate limit."""

import threading
import time
import typing

from aspenfold_standins import json_server


class WeightStore:
    """Serves ``GET /weights/EXPERT``, at most ``rate`` times per second.

    Requests above the rate get a 429 response with Retry-After.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._lock = threading.Lock()
        self._next_allowed_at = 0.0
        self._served_count = 0

    def application(self) -> json_server.Application:
        """Return the HTTP routes."""
        app = json_server.Application()
        app.route('GET', 'weights', self._get)
        app.route('GET', 'record', self._record)
        return app

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        return {'served': self._served_count}

    def _get(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        now = time.monotonic()
        with self._lock:
            wait_s = self._next_allowed_at - now
            if wait_s > 0:
                raise json_server.HttpError(
                    429, 'rate limit exceeded', Retry_After=f'{wait_s:.3f}'
                )
            self._next_allowed_at = (
                max(now, self._next_allowed_at) + 1 / self._rate
            )
            self._served_count += 1
        return {'expert': path[0]}
