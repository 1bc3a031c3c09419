"""The memory that callers can make a server hold."""

import dataclasses
import typing

Headers = list[tuple[bytes, bytes]]

HEADER_BYTES = 250
"""What a header takes beside its own bytes, once it is parsed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A response to a request that is not read to its end."""

    status: int
    headers: Headers
    body: bytes


class Budget(typing.Protocol):
    """Bytes that all connections of a process may hold together."""

    def reserve(self, size: int, *, total: int) -> bool:
        """Reserve ``size`` more bytes for a request, ``total`` with these.

        Return False if there is no room.
        """

    def release(self, size: int) -> None:
        """Give back what was reserved."""


class CallerMemory(typing.Protocol):
    """What callers' requests may take of a process's memory.

    ``input`` is for heads, and for what comes before it is its turn.
    """

    bodies: Budget
    input: Budget

    def refuse(self, headers: Headers) -> Refusal:
        """Return the response to a request without room, by its headers."""


class Reservation:
    """What one connection has reserved of a budget."""

    def __init__(self, *, budget: Budget) -> None:
        self._budget = budget
        self.size = 0

    def resize(self, size: int) -> bool:
        """Reserve ``size`` bytes in all; return False if there is no room.

        The reservation is unchanged then.
        """
        growth = size - self.size
        if growth <= 0:
            self._budget.release(-growth)
        elif not self._budget.reserve(growth, total=size):
            return False
        self.size = size
        return True


def head_bytes(target: bytes, headers: Headers) -> int:
    """Return the size of a head as callers' limits count it."""
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    return size + len(target)


def parsed_head_bytes(target: bytes, headers: Headers) -> int:
    """Return what a head takes of the memory during its request."""
    return head_bytes(target, headers) + HEADER_BYTES * len(headers)
