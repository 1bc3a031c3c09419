"""Logs headers of endpoints' responses that the gateway does not know.

An endpoint may state something that gateways of this version ignore; such a
line is the only trace of it.
"""

from collections import abc

from aspenfold._internal.observability import events

MAX_NAMES = 64
"""Names that are logged at most, as a faulty endpoint may invent many."""

MAX_LOGGED_BYTES = 80
"""Length to which a name is cut in the log."""


class UnknownHeaders:
    """Logs each unknown header name once."""

    def __init__(self, *, known_headers: abc.Container[bytes]) -> None:
        self._known = known_headers
        self._logged: set[bytes] = set()

    def check(
        self, endpoint: str, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Log the names in a response of ``endpoint`` that are new here."""
        for name, _ in headers:
            if name in self._known or name in self._logged:
                continue
            if len(self._logged) >= MAX_NAMES:
                return
            self._logged.add(name)
            events.emit(
                events.Event.HEADER_UNKNOWN,
                endpoint=endpoint,
                name=name[:MAX_LOGGED_BYTES].decode('latin-1'),
            )
