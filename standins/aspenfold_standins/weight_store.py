"""The weight store, limited to so many weights a second."""

import threading
import time
import typing

from aspenfold_standins import server


class WeightStore:
    """``GET /weights/EXPERT``; 429 with Retry-After above the rate."""

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._lock = threading.Lock()
        self._free_at = 0.0
        self._served = 0

    def application(self) -> server.Application:
        """Return the HTTP routes."""
        app = server.Application()
        app.route('GET', 'weights', self._get)
        app.route('GET', 'record', self._record)
        return app

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        return {'served': self._served}

    def _get(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        now = time.monotonic()
        with self._lock:
            wait = self._free_at - now
            if wait > 0:
                raise server.HttpError(
                    429, 'over the rate', Retry_After=f'{wait:.3f}'
                )
            self._free_at = max(now, self._free_at) + 1 / self._rate
            self._served += 1
        return {'expert': path[0]}
