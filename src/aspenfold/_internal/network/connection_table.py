"""Which callers' connections a server keeps open.

This module only makes decisions: it does no I/O.
"""

import typing

Connection = typing.TypeVar('Connection', bound=typing.Hashable)

MAX_CLOSING_RATIO = 0.125
"""Connections that are closed after their response, beyond the limit."""


class ConnectionTable(typing.Generic[Connection]):
    """Open connections, at most ``limit`` of them and those about to close.

    A new connection takes the place of the one that has gone longest without
    a request in progress, or else of one whose caller has sent more requests
    ahead, which is closed after its response.  Callers that keep connections
    for later lose none in use, and those that hold many keep out nobody.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self._open: set[Connection] = set()
        self._closing: set[Connection] = set()
        # Connections without a request in progress, by when that ended.
        self._waiting: dict[Connection, None] = {}
        # Connections that have sent more than their request in progress.
        self._ahead: dict[Connection, None] = {}

    def __iter__(self) -> typing.Iterator[Connection]:
        return iter([*self._open, *self._closing])

    def __len__(self) -> int:
        return len(self._open) + len(self._closing)

    def add(self, connection: Connection) -> Connection | None:
        """Add a connection; return one that has to be closed, if any.

        That is the new one if there is no room for it.
        """
        surplus = None
        if len(self._open) >= self.limit:
            surplus = self._find_surplus()
            if surplus is None:
                self._closing.add(connection)
                return connection
            self._set_closing(surplus)
        self._open.add(connection)
        self._waiting[connection] = None
        return surplus

    def _find_surplus(self) -> Connection | None:
        if self._waiting:
            return next(iter(self._waiting))
        max_closing = max(1, int(self.limit * MAX_CLOSING_RATIO))
        if self._ahead and len(self._closing) < max_closing:
            return next(iter(self._ahead))
        return None

    def _set_closing(self, connection: Connection) -> None:
        self.remove(connection)
        self._closing.add(connection)

    def begin_request(self, connection: Connection) -> None:
        """Note that a connection has a request in progress."""
        self._waiting.pop(connection, None)

    def note_ahead(self, connection: Connection) -> None:
        """Note that more came on a connection than its request."""
        if connection in self._open:
            self._ahead[connection] = None

    def end_request(self, connection: Connection) -> None:
        """Note that the handler of a connection's request has ended."""
        self._ahead.pop(connection, None)
        if connection in self._open:
            self._waiting[connection] = None

    def remove(self, connection: Connection) -> None:
        """Forget a connection; unknown ones have no effect."""
        self._open.discard(connection)
        self._closing.discard(connection)
        self._waiting.pop(connection, None)
        self._ahead.pop(connection, None)
