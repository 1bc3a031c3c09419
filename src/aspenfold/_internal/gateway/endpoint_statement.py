"""What an endpoint states about itself in the headers of a response."""

from collections import abc
import dataclasses
import datetime

from aspenfold._internal.gateway import directory

Headers = abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InvalidHeader:
    """A header whose value could not be used, and why."""

    name: str
    error: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointStatement:
    """The decoded headers of one response.

    ``attempt_id`` is the attempt that it belongs to, empty if it names none;
    ``responder`` is the endpoint that sent it, empty if it doesn't say.
    ``not_run`` is whether the endpoint did not run the request.  Unless it
    is None, ``load`` is the endpoint's load, ``rate_limit`` the requests a
    second that it takes from all gateways, and ``retry_after`` how long it
    wants no request from this gateway.  ``rate_limit_invalid`` is whether it
    stated a limit that could not be read.  It is ``leaving`` if it will
    stop soon.  ``at_fault`` is the endpoint that made the request fail,
    empty if it names none.  ``invalid`` are the headers that were ignored,
    ``unknown`` the names of those that are not known.
    """

    attempt_id: str = ''
    responder: str = ''
    not_run: bool = False
    load: directory.Load | None = None
    rate_limit: float | None = None
    rate_limit_invalid: bool = False
    retry_after: datetime.timedelta | None = None
    leaving: bool = False
    at_fault: str = ''
    invalid: tuple[InvalidHeader, ...] = ()
    unknown: tuple[str, ...] = ()

    def names_other(self, endpoint: str) -> bool:
        """Return whether another one than ``endpoint`` has responded."""
        return self.responder not in ('', endpoint)

    def blames_other(self, endpoint: str) -> bool:
        """Return whether another one than ``endpoint`` is at fault."""
        return self.at_fault not in ('', endpoint)


Decoder = abc.Callable[[Headers], EndpointStatement]
"""Returns what the headers of a response state."""
