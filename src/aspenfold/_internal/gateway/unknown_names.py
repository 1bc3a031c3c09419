"""Logs names in what endpoints state that the gateway does not know.

An endpoint may state something that gateways of this version ignore; such a
line is the only trace of it.
"""

from collections import abc

from aspenfold._internal.observability import events

MAX_NAMES = 64
"""Names that are logged at most, as a faulty endpoint may invent many."""

MAX_LOGGED_CHARS = 80
"""Length to which a name is cut in the log."""


class UnknownNames:
    """Logs each unknown name once."""

    def __init__(self, *, event: events.Event) -> None:
        self._event = event
        self._logged: set[str] = set()

    def log(self, endpoint: str, names: abc.Iterable[str]) -> None:
        """Log those of the unknown ``names`` of an endpoint that are new."""
        for name in names:
            if name in self._logged:
                continue
            if len(self._logged) >= MAX_NAMES:
                return
            self._logged.add(name)
            events.emit(
                self._event, endpoint=endpoint, name=name[:MAX_LOGGED_CHARS]
            )
